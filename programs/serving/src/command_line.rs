//! The command line of the serving system: its commands, options and help.

mod parser;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;
use whinspindle_configuration::{Mechanism, Mechanisms, UnknownMechanism};
use whinspindle_metrics::MetricsEndpoint;

pub use self::parser::parse;

/// Environment variable that holds the path of the settings file. `--settings` overrides it.
pub const SETTINGS_VARIABLE: &str = "WHINSPINDLE_CONFIG";
/// The settings file if neither `--settings` nor the environment variable is given.
const DEFAULT_SETTINGS: &str = "/etc/whinspindle/boot.json";

/// The commands that this crate handles, as they appear in the first argument.
pub const COMMANDS: [&str; 10] = [
    "proxy",
    "agent",
    "controller",
    "directory",
    "status",
    "members",
    "declare-lost",
    "config",
    "evacuate",
    "serving-help",
];

/// Placeholder in the help for the list of mechanisms.
const MECHANISMS_PLACEHOLDER: &str = "{MECHANISMS}";

const HELP: &str = "\
Daemons of the serving system:
  whinspindle proxy       forwards clients' requests to upstreams
  whinspindle agent       connects the proxy on its machine to the control plane
  whinspindle controller  replicates the configuration and the registries of upstreams and balancers; serves operators and clients
  whinspindle directory   forwards clients' address lookups to the controller on its machine
      --settings FILE     settings file (default: $WHINSPINDLE_CONFIG, then /etc/whinspindle/boot.json)
      --log-level LEVEL   error, warn, info or debug (default: info)
      --metrics PORT/PATH (not directory) serves metrics on this port and path
      --without NAME,...  (proxy, controller) disables mechanisms, to measure their effect

Operator commands, sent to any controller:
  whinspindle status --control ADDRESS                      prints the controller's state as JSON
  whinspindle members --control ADDRESS                     prints the controller's view: voters and chain
  whinspindle declare-lost ADDRESS,... --control ADDRESS [--confirm VIEW]  declares voters permanently lost if the others have no quorum
  whinspindle config check FILE                             validates a configuration file
  whinspindle config fetch --control ADDRESS                prints the newest acknowledged configuration
  whinspindle config replace FILE --base N --control ADDRESS  replaces the configuration, based on generation N
  whinspindle config diff FILE --control ADDRESS            lists routes and services that differ from the active ones
  whinspindle evacuate begin|finish ZONE --control ADDRESS  starts or ends the evacuation of a zone

Mechanisms, and the effect of disabling each one (`recall` belongs to the controller, all others to the proxy):
{MECHANISMS}
Exit status: 0 success; 1 rejected or failed; 2 invalid arguments or settings.";

/// Returns the help text that `whinspindle serving-help` prints.
pub fn help() -> String {
    let render_line =
        |mechanism: Mechanism| format!("  {:<24}{}\n", mechanism.name(), mechanism.effect_when_off());
    HELP.replace(MECHANISMS_PLACEHOLDER, &Mechanism::all().map(render_line).collect::<String>())
}

/// A parsed command line.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Run a daemon.
    Daemon(DaemonCommand),
    /// Execute an operator command.
    Operator(OperatorCommand),
}

/// The daemons of the serving system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// Forwards requests to upstreams.
    Proxy,
    /// Connects a proxy to the control plane.
    Agent,
    /// Replicates the state of the control plane.
    Controller,
    /// Forwards clients' address lookups to a controller.
    Directory,
}

/// A daemon and its options.
#[derive(Debug, PartialEq, Eq)]
pub struct DaemonCommand {
    /// The daemon to run.
    pub program: Program,
    /// The settings file.
    pub settings: PathBuf,
    /// Minimum severity of the logged lines.
    pub log_level: LogLevel,
    /// The enabled mechanisms.
    pub mechanisms: Mechanisms,
    /// Port and path that serve the metrics. `None` disables them.
    pub metrics: Option<MetricsEndpoint>,
}

/// Minimum severity of the logged lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings and errors.
    Warn,
    /// Informational lines, warnings and errors.
    Info,
    /// All lines, including debug lines.
    Debug,
}

/// A call to a controller, or the validation of a file.
#[derive(Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Print a controller's state.
    Status {
        /// The operator address of the controller.
        control: SocketAddr,
    },
    /// Print the voters and the chain.
    Members {
        /// The operator address of the controller.
        control: SocketAddr,
    },
    /// Declare voters permanently lost if the other voters have no quorum without them.
    DeclareLost {
        /// The operator address of a controller that still runs.
        control: SocketAddr,
        /// The addresses of the lost voters, separated by commas.
        lost_voters: String,
        /// The view for which the operator has confirmed the consequences.
        confirmed_view: Option<u64>,
    },
    /// Validate a configuration file.
    ConfigCheck {
        /// The configuration file.
        file: PathBuf,
    },
    /// Print the newest acknowledged configuration.
    ConfigFetch {
        /// The operator address of the controller.
        control: SocketAddr,
    },
    /// Replace the configuration.
    ConfigReplace {
        /// The operator address of the controller.
        control: SocketAddr,
        /// The new configuration.
        file: PathBuf,
        /// The generation on which the new configuration is based.
        base_generation: u64,
    },
    /// Compare a configuration file with the active configuration.
    ConfigDiff {
        /// The operator address of the controller.
        control: SocketAddr,
        /// The configuration file.
        file: PathBuf,
    },
    /// Begin the evacuation of a zone.
    EvacuateBegin {
        /// The operator address of the controller.
        control: SocketAddr,
        /// The zone.
        zone: String,
    },
    /// End the evacuation of a zone.
    EvacuateFinish {
        /// The operator address of the controller.
        control: SocketAddr,
        /// The zone.
        zone: String,
    },
}

/// An error in the command-line arguments.
#[derive(Debug, Snafu)]
pub enum CommandLineError {
    /// No command is given.
    #[snafu(display("no command is given"))]
    MissingCommand,
    /// The command is unknown.
    #[snafu(display("unknown command `{name}`"))]
    UnknownCommand {
        /// The unknown command.
        name: String,
    },
    /// An option or an operand is missing or malformed.
    #[snafu(display("{source}"))]
    InvalidArgument {
        /// The parser error.
        source: pico_args::Error,
    },
    /// The command does not take this many arguments.
    #[snafu(display("unexpected argument `{}`", argument.to_string_lossy()))]
    UnexpectedArgument {
        /// The first unexpected argument.
        argument: OsString,
    },
    /// `--without` names an unknown mechanism.
    #[snafu(display("`--without`: {source}"))]
    UnknownMechanism {
        /// The error with the unknown name.
        source: UnknownMechanism,
    },
    /// `--without` names a mechanism of another program.
    #[snafu(display("`--without`: `{}` is not a mechanism of this program; see `serving-help`", mechanism.name()))]
    ForeignMechanism {
        /// The mechanism.
        mechanism: Mechanism,
    },
    /// `--log-level` names an unknown level.
    #[snafu(display("unknown log level `{name}`; known: error, warn, info, debug"))]
    UnknownLogLevel {
        /// The unknown level.
        name: String,
    },
}
