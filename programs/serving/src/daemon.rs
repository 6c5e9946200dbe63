//! Starts a daemon: reads its settings, sets up logging and the runtime, and runs it.

use std::path::Path;
use std::process::ExitCode;

use snafu::{ResultExt, Snafu, ensure};
use spdlog::{error, warn};
use tokio::task::LocalSet;
use whinspindle_configuration::{Settings, SettingsError};

use crate::command_line::{DaemonCommand, Program};
use crate::requirements::missing_keys;
use crate::{FAILURE_STATUS, USAGE_STATUS, logging};

/// Why a daemon could not start, or failed.
#[derive(Debug, Snafu)]
enum DaemonError {
    #[snafu(display("{}: {source}", path.display()))]
    ReadSettings { path: std::path::PathBuf, source: std::io::Error },
    #[snafu(display("{}: {source}", path.display()))]
    Settings { path: std::path::PathBuf, source: SettingsError },
    #[snafu(display("{}: missing: {}", path.display(), keys.join(", ")))]
    Missing { path: std::path::PathBuf, keys: Vec<&'static str> },
    #[snafu(display("the log: {source}"))]
    Log { source: spdlog::Error },
    #[snafu(display("the runtime: {source}"))]
    Runtime { source: std::io::Error },
    #[snafu(display("{source}"))]
    Proxy { source: whinspindle_proxy::ProxyError },
    #[snafu(display("{source}"))]
    Agent { source: whinspindle_agent::AgentError },
    #[snafu(display("{source}"))]
    Controller { source: whinspindle_controller::ControllerError },
}

impl DaemonError {
    fn status(&self) -> u8 {
        match self {
            DaemonError::ReadSettings { .. } | DaemonError::Settings { .. } | DaemonError::Missing { .. } => {
                USAGE_STATUS
            }
            _ => FAILURE_STATUS,
        }
    }
}

/// Runs a daemon until it is told to shut down.
pub fn run(command: &DaemonCommand) -> ExitCode {
    match start(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!("whinspindle: {failure}");
            ExitCode::from(failure.status())
        }
    }
}

fn start(command: &DaemonCommand) -> Result<(), DaemonError> {
    logging::start(command.log_level).context(LogSnafu)?;
    let mut settings = read_settings(&command.settings)?;
    settings.mechanisms = command.mechanisms;
    for mechanism in settings.mechanisms.switched_off() {
        warn!("without {}: {}", mechanism.name(), mechanism.effect_when_off());
    }
    let keys = missing_keys(command.program, &settings);
    ensure!(keys.is_empty(), MissingSnafu { path: &command.settings, keys });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let program = command.program;
    let metrics = command.metrics.clone();
    LocalSet::new().block_on(&runtime, async {
        match program {
            Program::Proxy => whinspindle_proxy::run(settings, metrics).await.context(ProxySnafu),
            Program::Agent => {
                let file = command.settings.clone();
                whinspindle_agent::run(settings, file, metrics).await.context(AgentSnafu)
            }
            Program::Controller => {
                whinspindle_controller::run(settings, metrics).await.context(ControllerSnafu)
            }
            Program::Directory => {
                whinspindle_controller::run_directory(settings).await.context(ControllerSnafu)
            }
        }
    })
}

fn read_settings(path: &Path) -> Result<Settings, DaemonError> {
    let text = std::fs::read(path).context(ReadSettingsSnafu { path })?;
    Settings::parse(&text).context(SettingsSnafu { path })
}
