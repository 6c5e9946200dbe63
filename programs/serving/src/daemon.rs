//! Starts a daemon: sets up logging, reads and checks the settings, and runs the daemon on a new runtime.

use std::path::Path;
use std::process::ExitCode;

use snafu::{ResultExt, Snafu, ensure};
use spdlog::{error, warn};
use tokio::task::LocalSet;
use whinspindle_configuration::{Settings, SettingsError};

use crate::command_line::{DaemonCommand, Program};
use crate::requirements::missing_keys;
use crate::{FAILURE_STATUS, USAGE_STATUS, logging};

/// An error that prevents a daemon from starting or makes it exit.
#[derive(Debug, Snafu)]
enum DaemonError {
    #[snafu(display("{}: {source}", path.display()))]
    ReadSettings { path: std::path::PathBuf, source: std::io::Error },
    #[snafu(display("{}: {source}", path.display()))]
    InvalidSettings { path: std::path::PathBuf, source: SettingsError },
    #[snafu(display("{}: missing settings: {}", path.display(), keys.join(", ")))]
    MissingKeys { path: std::path::PathBuf, keys: Vec<&'static str> },
    #[snafu(display("cannot set up logging: {source}"))]
    SetUpLogging { source: spdlog::Error },
    #[snafu(display("cannot start the async runtime: {source}"))]
    StartRuntime { source: std::io::Error },
    #[snafu(display("{source}"))]
    Proxy { source: whinspindle_proxy::ProxyError },
    #[snafu(display("{source}"))]
    Agent { source: whinspindle_agent::AgentError },
    #[snafu(display("{source}"))]
    Controller { source: whinspindle_controller::ControllerError },
}

impl DaemonError {
    fn exit_status(&self) -> u8 {
        match self {
            DaemonError::ReadSettings { .. }
            | DaemonError::InvalidSettings { .. }
            | DaemonError::MissingKeys { .. } => USAGE_STATUS,
            _ => FAILURE_STATUS,
        }
    }
}

/// Runs a daemon until it shuts down or fails.
pub fn run(command: &DaemonCommand) -> ExitCode {
    match try_run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(daemon_error) => {
            error!("whinspindle: {daemon_error}");
            ExitCode::from(daemon_error.exit_status())
        }
    }
}

fn try_run(command: &DaemonCommand) -> Result<(), DaemonError> {
    logging::start(command.log_level).context(SetUpLoggingSnafu)?;
    let mut settings = read_settings(&command.settings)?;
    settings.mechanisms = command.mechanisms;
    for mechanism in settings.mechanisms.switched_off() {
        warn!("mechanism {} is disabled: {}", mechanism.name(), mechanism.effect_when_off());
    }
    let keys = missing_keys(command.program, &settings);
    ensure!(keys.is_empty(), MissingKeysSnafu { path: &command.settings, keys });
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(StartRuntimeSnafu)?;
    let program = command.program;
    let metrics = command.metrics.clone();
    LocalSet::new().block_on(&runtime, async {
        match program {
            Program::Proxy => whinspindle_proxy::run(settings, metrics).await.context(ProxySnafu),
            Program::Agent => {
                let settings_path = command.settings.clone();
                whinspindle_agent::run(settings, settings_path, metrics).await.context(AgentSnafu)
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
    Settings::parse(&text).context(InvalidSettingsSnafu { path })
}
