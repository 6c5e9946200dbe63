//! The settings file of a process.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use snafu::{ResultExt, Snafu};

use crate::json::JsonError;
use crate::mechanism::Mechanisms;
use crate::raw_settings::RawSettings;

/// The settings of a process, as read at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the node.
    pub node: String,
    /// The role of the process.
    pub role: String,
    /// The address of the machine.
    pub ip: IpAddr,
    /// The zone of the machine.
    pub zone: String,
    /// The region of the machine.
    pub region: String,
    /// The region of each zone, its own included.
    pub zones: BTreeMap<String, String>,
    /// The addresses that are served to others.
    pub listen: Listen,
    /// The first and the last port that the processes use among themselves.
    pub port_range: (u16, u16),
    /// The control addresses of the first controllers to try.
    pub seeds: Vec<SocketAddr>,
    /// Whether this controller belongs to the first start of the whole system.
    pub bootstrap: bool,
    /// Limits of the process.
    pub limits: MachineLimits,
    /// The folder for state on the disk.
    pub data_dir: Option<PathBuf>,
    /// The time between two heartbeats of an upstream, in milliseconds.
    pub heartbeat_ms: u64,
    /// The losses that the system is to survive.
    pub tolerate: Tolerance,
    /// Bounds of the system's behaviour.
    pub bounds: Bounds,
    /// The mechanisms that are on; set by the command line, not by the file.
    pub mechanisms: Mechanisms,
}

/// The addresses of what the role serves to others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listen {
    /// Where a proxy takes requests of clients.
    pub front: Option<SocketAddr>,
    /// Where a proxy serves its readiness.
    pub ready: Option<SocketAddr>,
    /// Where a controller takes calls of operators and upstreams.
    pub control: Option<SocketAddr>,
    /// Where the directory takes calls of clients.
    pub directory: Option<SocketAddr>,
}

/// Limits of the process; 0 where the file names none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineLimits {
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Open file descriptors.
    pub max_fds: u64,
    /// Space on the disk, in megabytes.
    pub disk_mb: u64,
}

/// The losses that the system is to survive at once: so many machines, or zones, or regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// The number of machines.
    pub machines: usize,
    /// The number of zones.
    pub zones: usize,
    /// The number of regions.
    pub regions: usize,
}

/// Bounds of the system's behaviour; a default stands for one that the file lacks. The fields have the names of the keys
/// in the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The value of `seed_lag_ms`, in milliseconds.
    pub seed_lag_ms: u64,
    /// The value of `reuse_after_ms`, in milliseconds.
    pub reuse_after_ms: u64,
    /// The value of `contact_ms`, in milliseconds.
    pub contact_ms: u64,
    /// The value of `ack_ms`, in milliseconds.
    pub ack_ms: u64,
    /// The value of `sync_ms`, in milliseconds.
    pub sync_ms: u64,
    /// The value of `drain_ms`, in milliseconds.
    pub drain_ms: u64,
    /// How long a process in graceful shutdown may finish its requests, in milliseconds.
    pub grace_ms: u64,
    /// The value of `converge_ms`, in milliseconds.
    pub converge_ms: u64,
    /// The value of `downgrade_ms`, in milliseconds.
    pub downgrade_ms: u64,
    /// The retries allowed for each first attempt.
    pub retry_ratio: f64,
    /// The window over which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// The retries allowed in a window beside those of the ratio.
    pub retry_slack: f64,
    /// The factor by which traffic to an upstream in slow start may exceed what it bears.
    pub cold_overrun: f64,
    /// The requests by which it may exceed that in addition.
    pub cold_slack: f64,
    /// The value of `evac_ms`, in milliseconds.
    pub evac_ms: u64,
    /// The value of `recover_ms`, in milliseconds.
    pub recover_ms: u64,
    /// The value of `pass_ms`, in milliseconds.
    pub pass_ms: u64,
    /// The value of `again_ms`, in milliseconds.
    pub again_ms: u64,
    /// The value of `ttl_max_ms`, in milliseconds.
    pub ttl_max_ms: u64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Tolerance { machines: 1, zones: 1, regions: 1 }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            seed_lag_ms: 3_000,
            reuse_after_ms: 2_000,
            contact_ms: 4_000,
            ack_ms: 5_000,
            sync_ms: 4_000,
            drain_ms: 2_500,
            grace_ms: 8_000,
            converge_ms: 2_500,
            downgrade_ms: 250,
            retry_ratio: 0.2,
            retry_window_ms: 10_000,
            retry_slack: 50.0,
            cold_overrun: 1.5,
            cold_slack: 5.0,
            evac_ms: 5_000,
            recover_ms: 12_000,
            pass_ms: 250,
            again_ms: 10_000,
            ttl_max_ms: 5_000,
        }
    }
}

/// Why settings were refused.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum SettingsError {
    /// The file is no JSON object of settings.
    #[snafu(display("the settings can't be read: {source}"))]
    Unreadable {
        /// What is wrong, and where.
        source: JsonError,
    },

    /// Values are missing or invalid.
    #[snafu(display("{}", describe_all(faults)))]
    Invalid {
        /// All faults, at least one.
        faults: Vec<SettingsFault>,
    },
}

/// What is wrong with the value of one key.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsFault {
    /// A required key is missing.
    #[snafu(display("`{key}` is missing"))]
    Missing {
        /// The key.
        key: &'static str,
    },

    /// An address can't be parsed.
    #[snafu(display("`{key}` is `{value}`: {source}"))]
    InvalidAddress {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// What is wrong with it.
        source: std::net::AddrParseError,
    },

    /// A value is of the wrong type or out of range.
    #[snafu(display("`{key}` is `{value}`, expected {expected}"))]
    InvalidValue {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// What is expected instead.
        expected: &'static str,
    },
}

fn describe_all(faults: &[SettingsFault]) -> String {
    let faults: Vec<String> = faults.iter().map(SettingsFault::to_string).collect();
    faults.join("; ")
}

impl Settings {
    /// Parses a settings file. Unknown keys are skipped; all invalid values are reported at once.
    pub fn parse(bytes: &[u8]) -> Result<Settings, SettingsError> {
        let raw: RawSettings = crate::json::parse(bytes).context(UnreadableSnafu)?;
        raw.check().map_err(|faults| SettingsError::Invalid { faults })
    }

    /// The address at which the machine with this IP address accepts connections of other machines.
    pub fn internal_endpoint(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.port_range.0)
    }

    /// The loopback address at which the agent serves the proxy of its machine. Machines that are themselves loopback
    /// addresses of one computer, as in a demonstration, use their own address.
    pub fn agent_endpoint(&self) -> SocketAddr {
        let loopback = if self.ip.is_loopback() { self.ip } else { IpAddr::from([127, 0, 0, 1]) };
        SocketAddr::new(loopback, self.port_range.0 + 1)
    }
}
