//! Parses command-line arguments into a command.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use pico_args::Arguments;
use snafu::ResultExt;
use whinspindle_configuration::Mechanisms;

use super::{
    Command, CommandLineError, DEFAULT_SETTINGS, DaemonCommand, ForeignMechanismSnafu, InvalidArgumentSnafu,
    LogLevel, OperatorCommand, Program, SETTINGS_VARIABLE, UnknownMechanismSnafu,
};

/// Parses the arguments that follow the program name.
pub fn parse(arguments: Vec<OsString>) -> Result<Command, CommandLineError> {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    let name = arguments.subcommand().context(InvalidArgumentSnafu)?;
    let command = match name.as_deref() {
        None => return Err(CommandLineError::MissingCommand),
        Some("serving-help") => Command::Help,
        Some("proxy") => parse_daemon(Program::Proxy, &mut arguments)?,
        Some("agent") => parse_daemon(Program::Agent, &mut arguments)?,
        Some("controller") => parse_daemon(Program::Controller, &mut arguments)?,
        Some("directory") => parse_daemon(Program::Directory, &mut arguments)?,
        Some("status") => {
            Command::Operator(OperatorCommand::Status { control: parse_control(&mut arguments)? })
        }
        Some("members") => {
            Command::Operator(OperatorCommand::Members { control: parse_control(&mut arguments)? })
        }
        Some("declare-lost") => parse_declare_lost(&mut arguments)?,
        Some("config") => parse_config(&mut arguments)?,
        Some("evacuate") => parse_evacuate(&mut arguments)?,
        Some(other) => return Err(CommandLineError::UnknownCommand { name: other.to_owned() }),
    };
    match arguments.finish().into_iter().next() {
        Some(argument) => Err(CommandLineError::UnexpectedArgument { argument }),
        None => Ok(command),
    }
}

fn parse_daemon(program: Program, arguments: &mut Arguments) -> Result<Command, CommandLineError> {
    let settings = arguments.opt_value_from_os_str("--settings", to_path).context(InvalidArgumentSnafu)?;
    let settings = settings.unwrap_or_else(default_settings_path);
    let log_level = arguments.opt_value_from_str::<_, String>("--log-level").context(InvalidArgumentSnafu)?;
    let log_level = log_level.map_or(Ok(LogLevel::Info), parse_log_level)?;
    let mut daemon =
        DaemonCommand { program, settings, log_level, mechanisms: Mechanisms::default(), metrics: None };
    if matches!(program, Program::Proxy | Program::Controller) {
        daemon.mechanisms = parse_mechanisms(program, arguments)?;
    }
    if program != Program::Directory {
        daemon.metrics = arguments.opt_value_from_str("--metrics").context(InvalidArgumentSnafu)?;
    }
    Ok(Command::Daemon(daemon))
}

/// Parses `--without` and returns the enabled mechanisms. Each program accepts only its own mechanisms.
fn parse_mechanisms(program: Program, arguments: &mut Arguments) -> Result<Mechanisms, CommandLineError> {
    let disabled_names =
        arguments.opt_value_from_str::<_, String>("--without").context(InvalidArgumentSnafu)?;
    let mechanisms =
        Mechanisms::without(&disabled_names.unwrap_or_default()).context(UnknownMechanismSnafu)?;
    let is_controller = program == Program::Controller;
    match mechanisms.switched_off().find(|mechanism| mechanism.belongs_to_controller() != is_controller) {
        Some(mechanism) => ForeignMechanismSnafu { mechanism }.fail(),
        None => Ok(mechanisms),
    }
}

fn parse_declare_lost(arguments: &mut Arguments) -> Result<Command, CommandLineError> {
    let control = parse_control(arguments)?;
    let confirmed_view = arguments.opt_value_from_str("--confirm").context(InvalidArgumentSnafu)?;
    let lost_voters = arguments.free_from_str().context(InvalidArgumentSnafu)?;
    Ok(Command::Operator(OperatorCommand::DeclareLost { control, lost_voters, confirmed_view }))
}

fn parse_config(arguments: &mut Arguments) -> Result<Command, CommandLineError> {
    let subcommand = arguments.subcommand().context(InvalidArgumentSnafu)?;
    let command = match subcommand.as_deref() {
        Some("check") => OperatorCommand::ConfigCheck { file: parse_file(arguments)? },
        Some("fetch") => OperatorCommand::ConfigFetch { control: parse_control(arguments)? },
        Some("replace") => {
            let control = parse_control(arguments)?;
            let base_generation = arguments.value_from_str("--base").context(InvalidArgumentSnafu)?;
            OperatorCommand::ConfigReplace { control, file: parse_file(arguments)?, base_generation }
        }
        Some("diff") => {
            let control = parse_control(arguments)?;
            OperatorCommand::ConfigDiff { control, file: parse_file(arguments)? }
        }
        other => return Err(unknown_subcommand("config", other)),
    };
    Ok(Command::Operator(command))
}

fn parse_evacuate(arguments: &mut Arguments) -> Result<Command, CommandLineError> {
    let subcommand = arguments.subcommand().context(InvalidArgumentSnafu)?;
    let control = parse_control(arguments)?;
    let mut parse_zone = || arguments.free_from_str::<String>().context(InvalidArgumentSnafu);
    let command = match subcommand.as_deref() {
        Some("begin") => OperatorCommand::EvacuateBegin { control, zone: parse_zone()? },
        Some("finish") => OperatorCommand::EvacuateFinish { control, zone: parse_zone()? },
        other => return Err(unknown_subcommand("evacuate", other)),
    };
    Ok(Command::Operator(command))
}

fn parse_control(arguments: &mut Arguments) -> Result<SocketAddr, CommandLineError> {
    arguments.value_from_str("--control").context(InvalidArgumentSnafu)
}

fn parse_file(arguments: &mut Arguments) -> Result<PathBuf, CommandLineError> {
    arguments.free_from_os_str(to_path).context(InvalidArgumentSnafu)
}

fn to_path(argument: &std::ffi::OsStr) -> Result<PathBuf, std::convert::Infallible> {
    Ok(PathBuf::from(argument))
}

fn default_settings_path() -> PathBuf {
    std::env::var_os(SETTINGS_VARIABLE).map_or_else(|| PathBuf::from(DEFAULT_SETTINGS), PathBuf::from)
}

fn parse_log_level(name: String) -> Result<LogLevel, CommandLineError> {
    match name.as_str() {
        "error" => Ok(LogLevel::Error),
        "warn" => Ok(LogLevel::Warn),
        "info" => Ok(LogLevel::Info),
        "debug" => Ok(LogLevel::Debug),
        _ => Err(CommandLineError::UnknownLogLevel { name }),
    }
}

fn unknown_subcommand(command: &str, subcommand: Option<&str>) -> CommandLineError {
    CommandLineError::UnknownCommand {
        name: format!("{command} {}", subcommand.unwrap_or_default()).trim().to_owned(),
    }
}
