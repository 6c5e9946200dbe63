//! Operator commands: calls to a controller, and validation of configuration files.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use snafu::{ResultExt, Snafu};
use tokio::task::LocalSet;
use whinspindle_client::{Call, CallError, RedirectLimits, Response};
use whinspindle_configuration::{Configuration, ConfigurationError, Route, Service};

use crate::FAILURE_STATUS;
use crate::command_line::OperatorCommand;
use crate::status::{Status, StatusError};

/// Timeout of a call to a controller.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// An error of an operator command.
#[derive(Debug, Snafu)]
enum OperatorError {
    #[snafu(display("{}: {source}", path.display()))]
    ReadFile { path: PathBuf, source: std::io::Error },
    #[snafu(display("{}: {source}", path.display()))]
    InvalidFile { path: PathBuf, source: ConfigurationError },
    #[snafu(display("cannot parse the active configuration: {source}"))]
    InvalidActiveConfiguration { source: ConfigurationError },
    #[snafu(display("cannot parse the controller's status: {source}"))]
    InvalidStatus { source: StatusError },
    #[snafu(display("cannot start the async runtime: {source}"))]
    StartRuntime { source: std::io::Error },
    #[snafu(display("{source}"))]
    Call { source: CallError },
    #[snafu(display("rejected with status {}: {}", response.status, String::from_utf8_lossy(&response.body)))]
    Rejected { response: Response },
}

/// Executes a command and prints its result.
pub fn run(command: &OperatorCommand) -> ExitCode {
    match execute(command) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("whinspindle: {error}");
            ExitCode::from(FAILURE_STATUS)
        }
    }
}

fn execute(command: &OperatorCommand) -> Result<String, OperatorError> {
    match command {
        OperatorCommand::Status { control } => send_call(*control, Call::get("/status")),
        OperatorCommand::Members { control } => render_members(*control),
        OperatorCommand::DeclareLost { control, lost_voters, confirmed_view } => {
            declare_lost(*control, lost_voters, *confirmed_view)
        }
        OperatorCommand::ConfigCheck { file } => check_file(file),
        OperatorCommand::ConfigFetch { control } => send_call(*control, Call::get("/Config.Fetch")),
        OperatorCommand::ConfigReplace { control, file, base_generation } => {
            replace_configuration(*control, file, *base_generation)
        }
        OperatorCommand::ConfigDiff { control, file } => diff_configurations(*control, file),
        OperatorCommand::EvacuateBegin { control, zone } => {
            send_call(*control, Call::post(format!("/Evacuate.Begin/{zone}"), Bytes::new()))
        }
        OperatorCommand::EvacuateFinish { control, zone } => {
            send_call(*control, Call::post(format!("/Evacuate.Finish/{zone}"), Bytes::new()))
        }
    }
}

fn send_call(control: SocketAddr, call: Call) -> Result<String, OperatorError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(StartRuntimeSnafu)?;
    let response =
        whinspindle_client::call_with_redirects(control, &call, CALL_TIMEOUT, RedirectLimits::default());
    let response = LocalSet::new().block_on(&runtime, response).context(CallSnafu)?;
    if !response.status.is_success() {
        return Err(OperatorError::Rejected { response });
    }
    Ok(String::from_utf8_lossy(&response.body).into_owned())
}

fn render_members(control: SocketAddr) -> Result<String, OperatorError> {
    let status = send_call(control, Call::get("/status"))?;
    let status = Status::parse(&status).context(InvalidStatusSnafu)?;
    Ok(status.render_members())
}

fn declare_lost(
    control: SocketAddr,
    lost_voters: &str,
    confirmed_view: Option<u64>,
) -> Result<String, OperatorError> {
    let confirmation = confirmed_view.map(|view| format!("?confirm={view}")).unwrap_or_default();
    send_call(
        control,
        Call::post(format!("/Members.DeclareLost/{lost_voters}{confirmation}"), Bytes::new()),
    )?;
    Ok(format!("declared lost: {lost_voters}; run `members` to see the new view"))
}

fn read_configuration(file: &Path) -> Result<(Vec<u8>, Configuration), OperatorError> {
    let text = std::fs::read(file).context(ReadFileSnafu { path: file })?;
    let configuration = Configuration::parse(&text).context(InvalidFileSnafu { path: file })?;
    Ok((text, configuration))
}

fn check_file(file: &Path) -> Result<String, OperatorError> {
    let (_, configuration) = read_configuration(file)?;
    let (routes, services) = (configuration.routes.len(), configuration.services.len());
    Ok(format!("generation {}: {routes} routes, {services} services, valid", configuration.generation))
}

fn replace_configuration(
    control: SocketAddr,
    file: &Path,
    base_generation: u64,
) -> Result<String, OperatorError> {
    let (text, configuration) = read_configuration(file)?;
    let mut call = Call::post("/Config.Replace", text);
    call.base_version = Some(base_generation);
    send_call(control, call)?;
    Ok(format!("generation {} is in place", configuration.generation))
}

fn diff_configurations(control: SocketAddr, file: &Path) -> Result<String, OperatorError> {
    let (_, proposed) = read_configuration(file)?;
    let active = send_call(control, Call::get("/Config.Fetch"))?;
    let active = Configuration::parse(active.as_bytes()).context(InvalidActiveConfigurationSnafu)?;
    let mut text = format!(
        "generation {} is active, generation {} is in the file\n",
        active.generation, proposed.generation
    );
    let route_name = |route: &Route| format!("route {}", route.name);
    let service_name = |service: &Service| format!("service {}", service.name);
    describe_changes(&mut text, &active.routes, &proposed.routes, route_name);
    describe_changes(&mut text, &active.services, &proposed.services, service_name);
    Ok(text)
}

/// Appends one line per entry that was added (`+`), changed (`~`) or removed (`-`).
fn describe_changes<T: PartialEq>(text: &mut String, old: &[T], new: &[T], name: impl Fn(&T) -> String) {
    for entry in new {
        let old_entry = old.iter().find(|candidate| name(candidate) == name(entry));
        match old_entry {
            None => _ = writeln!(text, "+ {}", name(entry)),
            Some(old_entry) if old_entry != entry => _ = writeln!(text, "~ {}", name(entry)),
            Some(_) => {}
        }
    }
    for entry in old {
        if !new.iter().any(|candidate| name(candidate) == name(entry)) {
            _ = writeln!(text, "- {}", name(entry));
        }
    }
}
