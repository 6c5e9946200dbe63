//! The operator's commands: calls to a controller, and checks of files.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use snafu::{ResultExt, Snafu};
use tokio::task::LocalSet;
use whinspindle_client::{Call, CallError, Response};
use whinspindle_configuration::{Configuration, ConfigurationError, Route, Service};

use crate::FAILURE_STATUS;
use crate::command_line::OperatorCommand;
use crate::status::{Status, StatusError};

/// Time-out of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a command failed.
#[derive(Debug, Snafu)]
enum OperatorError {
    #[snafu(display("{}: {source}", path.display()))]
    Read { path: PathBuf, source: std::io::Error },
    #[snafu(display("{}: {source}", path.display()))]
    Invalid { path: PathBuf, source: ConfigurationError },
    #[snafu(display("the configuration in force: {source}"))]
    InForce { source: ConfigurationError },
    #[snafu(display("the controller's status: {source}"))]
    Status { source: StatusError },
    #[snafu(display("the runtime: {source}"))]
    Runtime { source: std::io::Error },
    #[snafu(display("{source}"))]
    Call { source: CallError },
    #[snafu(display("refused with {}: {}", answer.status, String::from_utf8_lossy(&answer.body)))]
    Refused { answer: Response },
}

/// Carries out a command and prints its result.
pub fn run(command: &OperatorCommand) -> ExitCode {
    match answer(command) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("whinspindle: {failure}");
            ExitCode::from(FAILURE_STATUS)
        }
    }
}

fn answer(command: &OperatorCommand) -> Result<String, OperatorError> {
    match command {
        OperatorCommand::Status { control } => ask(*control, Call::get("/status")),
        OperatorCommand::Members { control } => members(*control),
        OperatorCommand::DeclareLost { control, lost_voters, confirmed_view } => {
            declare_lost(*control, lost_voters, *confirmed_view)
        }
        OperatorCommand::ConfigCheck { file } => check(file),
        OperatorCommand::ConfigFetch { control } => ask(*control, Call::get("/Config.Fetch")),
        OperatorCommand::ConfigReplace { control, file, base_generation } => {
            replace(*control, file, *base_generation)
        }
        OperatorCommand::ConfigDiff { control, file } => difference(*control, file),
        OperatorCommand::EvacuateBegin { control, zone } => {
            ask(*control, Call::post(format!("/Evacuate.Begin/{zone}"), Bytes::new()))
        }
        OperatorCommand::EvacuateFinish { control, zone } => {
            ask(*control, Call::post(format!("/Evacuate.Finish/{zone}"), Bytes::new()))
        }
    }
}

fn ask(control: SocketAddr, call: Call) -> Result<String, OperatorError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let answer = whinspindle_client::call(control, &call, CALL_TIMEOUT);
    let answer = LocalSet::new().block_on(&runtime, answer).context(CallSnafu)?;
    if !answer.status.is_success() {
        return Err(OperatorError::Refused { answer });
    }
    Ok(String::from_utf8_lossy(&answer.body).into_owned())
}

fn members(control: SocketAddr) -> Result<String, OperatorError> {
    let status = ask(control, Call::get("/status"))?;
    let status = Status::parse(&status).context(StatusSnafu)?;
    Ok(status.render_members())
}

fn declare_lost(
    control: SocketAddr,
    lost_voters: &str,
    confirmed_view: Option<u64>,
) -> Result<String, OperatorError> {
    let confirmation = confirmed_view.map(|view| format!("?confirm={view}")).unwrap_or_default();
    ask(control, Call::post(format!("/Members.DeclareLost/{lost_voters}{confirmation}"), Bytes::new()))?;
    Ok(format!("{lost_voters} are declared lost: see `members`"))
}

fn read(file: &Path) -> Result<(Vec<u8>, Configuration), OperatorError> {
    let text = std::fs::read(file).context(ReadSnafu { path: file })?;
    let configuration = Configuration::parse(&text).context(InvalidSnafu { path: file })?;
    Ok((text, configuration))
}

fn check(file: &Path) -> Result<String, OperatorError> {
    let (_, configuration) = read(file)?;
    let (routes, services) = (configuration.routes.len(), configuration.services.len());
    Ok(format!("generation {}: {routes} routes, {services} services, valid", configuration.generation))
}

fn replace(control: SocketAddr, file: &Path, base_generation: u64) -> Result<String, OperatorError> {
    let (text, configuration) = read(file)?;
    let mut call = Call::post("/Config.Replace", text);
    call.base_version = Some(base_generation);
    ask(control, call)?;
    Ok(format!("generation {} is in place", configuration.generation))
}

fn difference(control: SocketAddr, file: &Path) -> Result<String, OperatorError> {
    let (_, wanted) = read(file)?;
    let in_force = ask(control, Call::get("/Config.Fetch"))?;
    let in_force = Configuration::parse(in_force.as_bytes()).context(InForceSnafu)?;
    let mut text =
        format!("generation {} in force, {} in the file\n", in_force.generation, wanted.generation);
    let route_name = |route: &Route| format!("route {}", route.name);
    let service_name = |service: &Service| format!("service {}", service.name);
    describe_changes(&mut text, &in_force.routes, &wanted.routes, route_name);
    describe_changes(&mut text, &in_force.services, &wanted.services, service_name);
    Ok(text)
}

/// One line for each entry that is new, changed or no longer there.
fn describe_changes<T: PartialEq>(text: &mut String, old: &[T], new: &[T], name: impl Fn(&T) -> String) {
    for entry in new {
        let before = old.iter().find(|candidate| name(candidate) == name(entry));
        match before {
            None => _ = writeln!(text, "+ {}", name(entry)),
            Some(before) if before != entry => _ = writeln!(text, "~ {}", name(entry)),
            Some(_) => {}
        }
    }
    for entry in old {
        if !new.iter().any(|candidate| name(candidate) == name(entry)) {
            _ = writeln!(text, "- {}", name(entry));
        }
    }
}
