//! The command line of the serving system: its commands, options and help.

mod parser;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;
use whinspindle_configuration::{Mechanism, Mechanisms, UnknownMechanism};
use whinspindle_metrics::MetricsEndpoint;

pub use self::parser::parse;

/// Environment variable with the path of the settings file, used without `--settings`.
pub const SETTINGS_VARIABLE: &str = "WHINSPINDLE_CONFIG";
/// The settings file without either.
const DEFAULT_SETTINGS: &str = "/etc/whinspindle/boot.json";

/// The first arguments that belong to this crate.
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
const MECHANISMS: &str = "{MECHANISMS}";

const HELP: &str = "\
Daemons of the serving system:
  whinspindle proxy       forwards clients' requests to upstreams
  whinspindle agent       links the proxy of its machine to the control plane
  whinspindle controller  replicates the configuration, the upstreams and the balancers; answers operators and clients
  whinspindle directory   forwards clients' look-ups of where to connect to the controller of its machine
      --settings FILE     settings of the process (else $WHINSPINDLE_CONFIG, else /etc/whinspindle/boot.json)
      --log-level LEVEL   error, warn, info or debug; info by default
      --metrics PORT/PATH (not directory) serves metrics on this port of the machine
      --without NAME,...  (proxy, controller) switches mechanisms off, to measure their effect

Operator's commands, sent to any controller:
  whinspindle status --control ADDRESS                      the controller's state as JSON
  whinspindle members --control ADDRESS                     its view: voters and chain
  whinspindle declare-lost ADDRESS,... --control ADDRESS [--confirm VIEW]  voters never come back, and the rest can't decide
  whinspindle config check FILE                             checks a configuration
  whinspindle config fetch --control ADDRESS                the newest acknowledged configuration
  whinspindle config replace FILE --base N --control ADDRESS  sends a configuration built on generation N
  whinspindle config diff FILE --control ADDRESS            routes and services that differ from those in force
  whinspindle evacuate begin|finish ZONE --control ADDRESS  sends nothing more to a zone, or ends that

Mechanisms, and what happens without them (all but `recall` are the proxy's, that one is the controller's):
{MECHANISMS}
Exit status: 0 done; 1 refused or failed; 2 wrong arguments or settings.";

/// What `whinspindle serving-help` prints.
pub fn help() -> String {
    let line = |mechanism: Mechanism| format!("  {:<24}{}\n", mechanism.name(), mechanism.absence());
    HELP.replace(MECHANISMS, &Mechanism::all().map(line).collect::<String>())
}

/// A parsed command line.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Run a daemon.
    Daemon(DaemonCommand),
    /// Carry out an operator's command.
    Operator(OperatorCommand),
}

/// The daemons of the serving system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// Forwards requests to upstreams.
    Proxy,
    /// Links a proxy to the control plane.
    Agent,
    /// Replicates the state of the control plane.
    Controller,
    /// Answers clients' look-ups of where to connect.
    Directory,
}

/// A daemon and its options.
#[derive(Debug, PartialEq, Eq)]
pub struct DaemonCommand {
    /// Which daemon.
    pub program: Program,
    /// The settings file.
    pub settings: PathBuf,
    /// The least severe lines that are logged.
    pub log_level: LogLevel,
    /// The mechanisms that are switched on.
    pub mechanisms: Mechanisms,
    /// Where the process serves its metrics, if at all.
    pub metrics: Option<MetricsEndpoint>,
}

/// The least severe lines that are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Errors alone.
    Error,
    /// Warnings as well.
    Warn,
    /// Informational lines as well.
    Info,
    /// Debug lines as well.
    Debug,
}

/// A call to a controller, or a check of a file.
#[derive(Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Print a controller's state.
    Status {
        /// The controller's address for operators.
        control: SocketAddr,
    },
    /// Print the voters and the chain.
    Members {
        /// The controller's address for operators.
        control: SocketAddr,
    },
    /// Answer for it that voters never come back, where the others can't decide without them.
    DeclareLost {
        /// The address for operators of a controller that is left.
        control: SocketAddr,
        /// The addresses of the voters among the controllers, with commas between them.
        lost_voters: String,
        /// The view whose consequences were read.
        confirmed_view: Option<u64>,
    },
    /// Check a configuration file.
    ConfigCheck {
        /// The file.
        file: PathBuf,
    },
    /// Print the newest acknowledged configuration.
    ConfigFetch {
        /// The controller's address for operators.
        control: SocketAddr,
    },
    /// Replace the configuration.
    ConfigReplace {
        /// The controller's address for operators.
        control: SocketAddr,
        /// The new configuration.
        file: PathBuf,
        /// The generation that it is based on.
        base_generation: u64,
    },
    /// Compare a configuration file with the configuration in force.
    ConfigDiff {
        /// The controller's address for operators.
        control: SocketAddr,
        /// The file.
        file: PathBuf,
    },
    /// Evacuate a zone.
    EvacuateBegin {
        /// The controller's address for operators.
        control: SocketAddr,
        /// The zone.
        zone: String,
    },
    /// End the evacuation of a zone.
    EvacuateFinish {
        /// The controller's address for operators.
        control: SocketAddr,
        /// The zone.
        zone: String,
    },
}

/// Why arguments are no command.
#[derive(Debug, Snafu)]
pub enum CommandLineError {
    /// There are no arguments.
    #[snafu(display("no command is given"))]
    MissingCommand,
    /// The command is unknown.
    #[snafu(display("unknown command `{name}`"))]
    UnknownCommand {
        /// Its name.
        name: String,
    },
    /// An option or an operand is missing or malformed.
    #[snafu(display("{source}"))]
    InvalidArgument {
        /// Why.
        source: pico_args::Error,
    },
    /// There are more arguments than the command takes.
    #[snafu(display("unexpected argument `{}`", argument.to_string_lossy()))]
    UnexpectedArgument {
        /// The first one of these.
        argument: OsString,
    },
    /// `--without` names an unknown mechanism.
    #[snafu(display("`--without`: {source}"))]
    UnknownMechanism {
        /// Which one.
        source: UnknownMechanism,
    },
    /// `--without` names a mechanism of another program.
    #[snafu(display("`--without`: `{}` is not a mechanism of this program: see `serving-help`", mechanism.name()))]
    ForeignMechanism {
        /// Which one.
        mechanism: Mechanism,
    },
    /// `--log-level` names no level.
    #[snafu(display("unknown log level `{name}`: error, warn, info or debug"))]
    UnknownLogLevel {
        /// The name.
        name: String,
    },
}
