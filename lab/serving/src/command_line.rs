//! The command line.

use std::path::PathBuf;
use std::str::FromStr;

use pico_args::Arguments;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::deployment::{MOST_EDGES, MOST_REGIONS};

pub const USAGE: &str = "\
Usage: whinspindle-lab-serving cluster [options]

Starts a serving cluster of real processes on loopback addresses, uses it, and prints what came of it.

  --regions N          regions, each with a zone (3)
  --edges N            proxies, each with its agent, in each region (1)
  --seconds N          how long clients send requests (20)
  --requests-per-s N   requests of all clients together (30)
  --program PATH       the program under trial (target/release/whinspindle)
  --seed N             for the choices of clients (1)
  --log-level LEVEL    of the programs: error, warn, info or debug (info)
  --keep               leave the folder with settings and logs
";

/// What the program is asked to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    Cluster(ClusterOptions),
    Help,
}

/// How much the programs log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    Error,
    Warn,
    Info,
    Debug,
}

impl LogLevel {
    const ALL: [LogLevel; 4] = [LogLevel::Error, LogLevel::Warn, LogLevel::Info, LogLevel::Debug];

    /// As the programs' command line takes it.
    pub fn name(self) -> &'static str {
        match self {
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
        }
    }
}

/// A name that is not one of a log level.
#[derive(Debug, Snafu)]
#[snafu(display("`{name}` is no log level"))]
pub struct UnknownLogLevel {
    name: String,
}

impl FromStr for LogLevel {
    type Err = UnknownLogLevel;

    fn from_str(name: &str) -> Result<Self, UnknownLogLevel> {
        let level = LogLevel::ALL.into_iter().find(|level| level.name() == name);
        level.context(UnknownLogLevelSnafu { name })
    }
}

/// How a cluster is made up and used.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterOptions {
    pub regions: usize,
    pub edges: usize,
    pub seconds: u64,
    pub requests_per_s: f64,
    pub program: PathBuf,
    pub seed: u64,
    pub log_level: LogLevel,
    pub keep: bool,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        ClusterOptions {
            regions: 3,
            edges: 1,
            seconds: 20,
            requests_per_s: 30.0,
            program: PathBuf::from("target/release/whinspindle"),
            seed: 1,
            log_level: LogLevel::Info,
            keep: false,
        }
    }
}

/// What is wrong with a command line.
#[derive(Debug, Snafu)]
pub enum CommandLineError {
    #[snafu(display("{source}"))]
    Unreadable { source: pico_args::Error },
    #[snafu(display("`{argument}` is not known"))]
    Unknown { argument: String },
    #[snafu(display("a command is missing"))]
    NoCommand,
    #[snafu(display("`{option}` must be {expected}"))]
    OutOfRange { option: &'static str, expected: &'static str },
}

/// Reads the arguments behind the program's name.
pub fn parse(arguments: Vec<std::ffi::OsString>) -> Result<Command, CommandLineError> {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    let command = arguments.subcommand().context(UnreadableSnafu)?;
    match command.as_deref() {
        Some("cluster") => parse_cluster(arguments).map(Command::Cluster),
        Some(argument) => UnknownSnafu { argument }.fail(),
        None => NoCommandSnafu.fail(),
    }
}

fn parse_cluster(mut arguments: Arguments) -> Result<ClusterOptions, CommandLineError> {
    let default = ClusterOptions::default();
    let keep = arguments.contains("--keep");
    let mut options = || -> Result<ClusterOptions, pico_args::Error> {
        Ok(ClusterOptions {
            regions: arguments.opt_value_from_str("--regions")?.unwrap_or(default.regions),
            edges: arguments.opt_value_from_str("--edges")?.unwrap_or(default.edges),
            seconds: arguments.opt_value_from_str("--seconds")?.unwrap_or(default.seconds),
            requests_per_s: arguments
                .opt_value_from_str("--requests-per-s")?
                .unwrap_or(default.requests_per_s),
            program: arguments.opt_value_from_str("--program")?.unwrap_or(default.program.clone()),
            seed: arguments.opt_value_from_str("--seed")?.unwrap_or(default.seed),
            log_level: arguments.opt_value_from_str("--log-level")?.unwrap_or(default.log_level),
            keep,
        })
    };
    let options = options().context(UnreadableSnafu)?;
    if let Some(argument) = arguments.finish().first() {
        return UnknownSnafu { argument: argument.to_string_lossy() }.fail();
    }
    check(&options)?;
    Ok(options)
}

fn check(options: &ClusterOptions) -> Result<(), CommandLineError> {
    let regions = (1..=MOST_REGIONS).contains(&options.regions);
    ensure!(regions, OutOfRangeSnafu { option: "--regions", expected: "from 1 to 200" });
    let edges = (1..=MOST_EDGES).contains(&options.edges);
    ensure!(edges, OutOfRangeSnafu { option: "--edges", expected: "from 1 to 50" });
    ensure!(options.seconds > 0, OutOfRangeSnafu { option: "--seconds", expected: "more than 0" });
    let rate = options.requests_per_s > 0.0 && options.requests_per_s.is_finite();
    ensure!(rate, OutOfRangeSnafu { option: "--requests-per-s", expected: "more than 0" });
    Ok(())
}
