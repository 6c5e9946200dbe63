//! The programs under trial, as child processes. They are ended by their ids, also when the lab gives up.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tokio::time::{Instant, sleep};

use crate::command_line::{ClusterOptions, LogLevel};
use crate::deployment::{Deployment, Machine};
use crate::settings_file::{Role, settings_text};
use crate::usage::{RoleUsage, Usage};

/// The variable that names the settings file.
const SETTINGS_VARIABLE: &str = "WHINSPINDLE_CONFIG";
/// How long processes may take to end after SIGTERM.
const GRACE: Duration = Duration::from_secs(8);
const GRACE_CHECK: Duration = Duration::from_millis(50);
/// Lines of a log that are shown for a process that ended by itself.
const SHOWN_LINES: usize = 3;

/// Why a program could not be started.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    #[snafu(display("{}: {source}", path.display()))]
    WriteFile { path: PathBuf, source: io::Error },
    #[snafu(display("starting {}: {source}", program.display()))]
    Spawn { program: PathBuf, source: io::Error },
}

/// One program on one machine.
#[derive(Debug)]
pub struct Process {
    machine: Machine,
    role: Role,
    child: Option<Child>,
    /// Whether the lab itself ended it.
    may_be_down: bool,
}

/// All programs of a cluster.
#[derive(Debug)]
pub struct Processes {
    program: PathBuf,
    log_level: LogLevel,
    folder: PathBuf,
    deployment: Deployment,
    processes: Vec<Process>,
}

/// A process that ended though nobody ended it.
#[derive(Debug)]
pub struct EndedProcess {
    pub name: String,
    pub log: String,
}

impl Process {
    fn name(&self) -> String {
        format!("{}-{}", self.machine.name, self.role.name())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Processes {
    /// Starts all programs of a cluster, with their files in a folder.
    pub fn start(
        options: &ClusterOptions,
        folder: &Path,
        deployment: &Deployment,
    ) -> Result<Self, ProcessError> {
        let on = |machines: &[Machine], role: Role| -> Vec<Process> {
            let process = |machine: &Machine| Process {
                machine: machine.clone(),
                role,
                child: None,
                may_be_down: true,
            };
            machines.iter().map(process).collect()
        };
        let mut processes = on(&deployment.controllers, Role::Controller);
        processes.extend(on(&deployment.edges, Role::Agent));
        processes.extend(on(&deployment.edges, Role::Proxy));
        let mut all = Processes {
            program: options.program.clone(),
            log_level: options.log_level,
            folder: folder.to_owned(),
            deployment: deployment.clone(),
            processes,
        };
        for index in 0..all.processes.len() {
            all.start_one(index, true)?;
        }
        Ok(all)
    }

    /// Kills a controller; its disk stays.
    pub fn kill_controller(&mut self, controller: usize) {
        let process = &mut self.processes[controller];
        process.may_be_down = true;
        process.kill();
    }

    /// Starts a killed controller again.
    pub fn restart_controller(&mut self, controller: usize) -> Result<(), ProcessError> {
        self.start_one(controller, false)
    }

    /// Tells the proxy and the agent of an edge machine to end.
    pub fn stop_edge(&mut self, edge: usize) {
        let name = &self.deployment.edges[edge].name;
        for process in self.processes.iter_mut().filter(|process| process.machine.name == *name) {
            process.may_be_down = true;
            if let Some(child) = &process.child {
                terminate(child);
            }
        }
    }

    /// Starts the programs of a stopped edge machine again, once they have ended.
    pub async fn start_edge(&mut self, edge: usize) -> Result<(), ProcessError> {
        let name = self.deployment.edges[edge].name.clone();
        for index in 0..self.processes.len() {
            if self.processes[index].machine.name == name {
                self.wait_for_end(index).await;
                self.start_one(index, false)?;
            }
        }
        Ok(())
    }

    /// Waits until a process has ended after SIGTERM, and kills it if it does not.
    async fn wait_for_end(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let deadline = Instant::now() + GRACE;
        while is_running(process) && Instant::now() < deadline {
            sleep(GRACE_CHECK).await;
        }
        process.kill();
    }

    /// The processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<EndedProcess> {
        let folder = &self.folder;
        let ended = |process: &mut Process| {
            let status = process.child.as_mut()?.try_wait().ok()??;
            if process.may_be_down {
                return None;
            }
            let name = process.name();
            let log = format!("{status}; {}", last_lines(&log_path(folder, &name)));
            Some(EndedProcess { name, log })
        };
        self.processes.iter_mut().filter_map(ended).collect()
    }

    /// What the running processes of each role have used.
    pub fn usage(&self) -> Vec<RoleUsage> {
        let roles = [Role::Controller, Role::Agent, Role::Proxy];
        let of_role = |role: Role| {
            let processes = self.processes.iter().filter(move |process| process.role == role);
            let usages: Vec<Usage> =
                processes.filter_map(|process| Usage::of_process(process.child.as_ref()?.id())).collect();
            RoleUsage::new(role.name(), &usages)
        };
        roles.map(of_role).into()
    }

    /// Ends all with SIGTERM, and those that stay with SIGKILL; returns the names of the latter.
    pub async fn end_all(&mut self) -> Vec<String> {
        for process in &mut self.processes {
            process.may_be_down = true;
            if let Some(child) = &process.child {
                terminate(child);
            }
        }
        let deadline = Instant::now() + GRACE;
        while self.processes.iter_mut().any(is_running) && Instant::now() < deadline {
            sleep(GRACE_CHECK).await;
        }
        let stubborn =
            self.processes.iter_mut().filter_map(|process| is_running(process).then(|| process.name()));
        let stubborn = stubborn.collect();
        self.kill_all();
        stubborn
    }

    fn start_one(&mut self, index: usize, bootstrap: bool) -> Result<(), ProcessError> {
        let process = &mut self.processes[index];
        let name = process.name();
        let data = self.folder.join(format!("{name}.data"));
        let data = (process.role == Role::Controller).then_some(data);
        if let Some(path) = &data {
            std::fs::create_dir_all(path).context(WriteFileSnafu { path })?;
        }
        let text =
            settings_text(&self.deployment, &process.machine, process.role, data.as_deref(), bootstrap);
        let settings = self.folder.join(format!("{name}.json"));
        std::fs::write(&settings, text).context(WriteFileSnafu { path: &settings })?;
        let path = log_path(&self.folder, &name);
        let log =
            File::options().create(true).append(true).open(&path).context(WriteFileSnafu { path: &path })?;
        let errors = log.try_clone().context(WriteFileSnafu { path: &path })?;
        let child = Command::new(&self.program)
            .arg(process.role.name())
            .args(["--log-level", self.log_level.name()])
            .env(SETTINGS_VARIABLE, &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .context(SpawnSnafu { program: &self.program })?;
        process.child = Some(child);
        process.may_be_down = false;
        Ok(())
    }

    fn kill_all(&mut self) {
        for process in &mut self.processes {
            process.kill();
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.kill_all();
    }
}

fn is_running(process: &mut Process) -> bool {
    process.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
}

fn terminate(child: &Child) {
    let _ = Command::new("kill").args(["-s", "TERM", &child.id().to_string()]).status();
}

fn log_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.log"))
}

fn last_lines(path: &Path) -> String {
    let log = std::fs::read(path).unwrap_or_default();
    let log = String::from_utf8_lossy(&log);
    let lines: Vec<&str> = log.lines().collect();
    lines[lines.len().saturating_sub(SHOWN_LINES)..].join(" | ")
}
