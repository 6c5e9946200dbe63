//! The command line of the serving system.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use pico_args::Arguments;
use snafu::{ResultExt, Snafu};
use whinspindle_configuration::{Mechanism, Mechanisms, UnknownMechanism};
use whinspindle_metrics::MetricsEndpoint;

/// Names the settings file where `--settings` is not given.
pub const SETTINGS_VARIABLE: &str = "WHINSPINDLE_CONFIG";
/// The settings file where neither is given.
const DEFAULT_SETTINGS: &str = "/etc/whinspindle/boot.json";

/// The first arguments that this crate handles.
pub const COMMANDS: [&str; 9] =
    ["proxy", "agent", "controller", "directory", "status", "members", "config", "evacuate", "serving-help"];

/// Stands in the help for the list of mechanisms.
const MECHANISMS: &str = "{MECHANISMS}";

const HELP: &str = "\
Daemons of the serving system:
  whinspindle proxy       carries clients' requests to upstreams
  whinspindle agent       links the proxy of its machine to the control plane
  whinspindle controller  keeps the configuration, the upstreams and the balancers; answers operators and clients
  whinspindle directory   carries clients' questions where to connect to the controller of its machine
      --settings FILE     settings of the process (else $WHINSPINDLE_CONFIG, else /etc/whinspindle/boot.json)
      --log-level LEVEL   error, warn, info or debug; info by default
      --metrics PORT/PATH (not directory) serves its figures on this port of the machine
      --without NAME,...  (proxy, controller) switches mechanisms of decision off, to measure what they are worth

Operator's commands, sent to any controller:
  whinspindle status --control ADDRESS                      the controller's state as JSON
  whinspindle members --control ADDRESS                     its view: voters and chain
  whinspindle config check FILE                             reads a configuration and tells its fault
  whinspindle config fetch --control ADDRESS                the newest acknowledged configuration
  whinspindle config replace FILE --base N --control ADDRESS  sends a configuration built on generation N
  whinspindle config diff FILE --control ADDRESS            routes and services that differ from those in force
  whinspindle evacuate begin|finish ZONE --control ADDRESS  sends nothing more to a zone, or takes that back

Mechanisms, and what happens without them (all but `recall` are the proxy's, that one is the controller's):
{MECHANISMS}
Exit status: 0 done; 1 refused or failed; 2 wrong arguments or settings.";

/// What `whinspindle serving-help` prints.
pub fn help() -> String {
    let line = |mechanism: Mechanism| format!("  {:<24}{}\n", mechanism.name(), mechanism.absence());
    HELP.replace(MECHANISMS, &Mechanism::all().map(line).collect::<String>())
}

/// What the command line asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    Help,
    Daemon(DaemonCommand),
    Operator(OperatorCommand),
}

/// Which program of the system runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    Proxy,
    Agent,
    Controller,
    Directory,
}

/// A daemon's start.
#[derive(Debug, PartialEq, Eq)]
pub struct DaemonCommand {
    pub program: Program,
    pub settings: PathBuf,
    pub log_level: LogLevel,
    /// Those that are on.
    pub mechanisms: Mechanisms,
    /// Where the process serves its own figures.
    pub metrics: Option<MetricsEndpoint>,
}

/// The least severe lines that are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    Error,
    Warn,
    Info,
    Debug,
}

/// An order or question to a controller, or a check of a file.
#[derive(Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    Status { control: SocketAddr },
    Members { control: SocketAddr },
    ConfigCheck { file: PathBuf },
    ConfigFetch { control: SocketAddr },
    ConfigReplace { control: SocketAddr, file: PathBuf, base: u64 },
    ConfigDiff { control: SocketAddr, file: PathBuf },
    EvacuateBegin { control: SocketAddr, zone: String },
    EvacuateFinish { control: SocketAddr, zone: String },
}

/// Arguments that name no command.
#[derive(Debug, Snafu)]
pub enum CommandLineError {
    #[snafu(display("no command is given"))]
    Missing,
    #[snafu(display("unknown command `{name}`"))]
    Unknown { name: String },
    #[snafu(display("{source}"))]
    Argument { source: pico_args::Error },
    #[snafu(display("unexpected argument `{}`", argument.to_string_lossy()))]
    Surplus { argument: OsString },
    #[snafu(display("`--without`: {source}"))]
    Mechanism { source: UnknownMechanism },
    #[snafu(display("`--without`: `{}` is not a mechanism of this program: see `serving-help`", mechanism.name()))]
    ForeignMechanism { mechanism: Mechanism },
    #[snafu(display("unknown log level `{name}`: error, warn, info or debug"))]
    Level { name: String },
}

/// Reads the arguments that follow the program's name.
pub fn parse(arguments: Vec<OsString>) -> Result<Command, CommandLineError> {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    let name = arguments.subcommand().context(ArgumentSnafu)?;
    let command = match name.as_deref() {
        None => return Err(CommandLineError::Missing),
        Some("serving-help") => Command::Help,
        Some("proxy") => daemon(Program::Proxy, &mut arguments)?,
        Some("agent") => daemon(Program::Agent, &mut arguments)?,
        Some("controller") => daemon(Program::Controller, &mut arguments)?,
        Some("directory") => daemon(Program::Directory, &mut arguments)?,
        Some("status") => Command::Operator(OperatorCommand::Status { control: control(&mut arguments)? }),
        Some("members") => Command::Operator(OperatorCommand::Members { control: control(&mut arguments)? }),
        Some("config") => config(&mut arguments)?,
        Some("evacuate") => evacuate(&mut arguments)?,
        Some(other) => return Err(CommandLineError::Unknown { name: other.to_owned() }),
    };
    match arguments.finish().into_iter().next() {
        Some(argument) => Err(CommandLineError::Surplus { argument }),
        None => Ok(command),
    }
}

fn daemon(program: Program, arguments: &mut Arguments) -> Result<Command, CommandLineError> {
    let settings = arguments.opt_value_from_os_str("--settings", path).context(ArgumentSnafu)?;
    let settings = settings.unwrap_or_else(default_settings);
    let log_level = arguments.opt_value_from_str::<_, String>("--log-level").context(ArgumentSnafu)?;
    let log_level = log_level.map_or(Ok(LogLevel::Info), level)?;
    let mut daemon =
        DaemonCommand { program, settings, log_level, mechanisms: Mechanisms::default(), metrics: None };
    if matches!(program, Program::Proxy | Program::Controller) {
        daemon.mechanisms = mechanisms(program, arguments)?;
    }
    if program != Program::Directory {
        daemon.metrics = arguments.opt_value_from_str("--metrics").context(ArgumentSnafu)?;
    }
    Ok(Command::Daemon(daemon))
}

/// The mechanisms that are on. Each program takes the names of its own alone: others would change nothing there.
fn mechanisms(program: Program, arguments: &mut Arguments) -> Result<Mechanisms, CommandLineError> {
    let without = arguments.opt_value_from_str::<_, String>("--without").context(ArgumentSnafu)?;
    let mechanisms = Mechanisms::without(&without.unwrap_or_default()).context(MechanismSnafu)?;
    let is_controller = program == Program::Controller;
    match mechanisms.switched_off().find(|mechanism| mechanism.is_of_controller() != is_controller) {
        Some(mechanism) => ForeignMechanismSnafu { mechanism }.fail(),
        None => Ok(mechanisms),
    }
}

fn config(arguments: &mut Arguments) -> Result<Command, CommandLineError> {
    let verb = arguments.subcommand().context(ArgumentSnafu)?;
    let command = match verb.as_deref() {
        Some("check") => OperatorCommand::ConfigCheck { file: file(arguments)? },
        Some("fetch") => OperatorCommand::ConfigFetch { control: control(arguments)? },
        Some("replace") => {
            let control = control(arguments)?;
            let base = arguments.value_from_str("--base").context(ArgumentSnafu)?;
            OperatorCommand::ConfigReplace { control, file: file(arguments)?, base }
        }
        Some("diff") => {
            let control = control(arguments)?;
            OperatorCommand::ConfigDiff { control, file: file(arguments)? }
        }
        other => return Err(unknown("config", other)),
    };
    Ok(Command::Operator(command))
}

fn evacuate(arguments: &mut Arguments) -> Result<Command, CommandLineError> {
    let verb = arguments.subcommand().context(ArgumentSnafu)?;
    let control = control(arguments)?;
    let mut zone = || arguments.free_from_str::<String>().context(ArgumentSnafu);
    let command = match verb.as_deref() {
        Some("begin") => OperatorCommand::EvacuateBegin { control, zone: zone()? },
        Some("finish") => OperatorCommand::EvacuateFinish { control, zone: zone()? },
        other => return Err(unknown("evacuate", other)),
    };
    Ok(Command::Operator(command))
}

fn control(arguments: &mut Arguments) -> Result<SocketAddr, CommandLineError> {
    arguments.value_from_str("--control").context(ArgumentSnafu)
}

fn file(arguments: &mut Arguments) -> Result<PathBuf, CommandLineError> {
    arguments.free_from_os_str(path).context(ArgumentSnafu)
}

fn path(argument: &std::ffi::OsStr) -> Result<PathBuf, std::convert::Infallible> {
    Ok(PathBuf::from(argument))
}

fn default_settings() -> PathBuf {
    std::env::var_os(SETTINGS_VARIABLE).map_or_else(|| PathBuf::from(DEFAULT_SETTINGS), PathBuf::from)
}

fn level(name: String) -> Result<LogLevel, CommandLineError> {
    match name.as_str() {
        "error" => Ok(LogLevel::Error),
        "warn" => Ok(LogLevel::Warn),
        "info" => Ok(LogLevel::Info),
        "debug" => Ok(LogLevel::Debug),
        _ => Err(CommandLineError::Level { name }),
    }
}

fn unknown(command: &str, verb: Option<&str>) -> CommandLineError {
    CommandLineError::Unknown { name: format!("{command} {}", verb.unwrap_or_default()).trim().to_owned() }
}
