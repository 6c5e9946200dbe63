//! The settings file of a process.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use snafu::{ResultExt, Snafu};

use crate::json::JsonError;
use crate::mechanism::Mechanisms;
use crate::raw_settings::RawSettings;

/// The settings of a process, which it reads when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the node.
    pub node: String,
    /// The role of the process.
    pub role: String,
    /// The IP address of the machine.
    pub ip: IpAddr,
    /// The zone of the machine.
    pub zone: String,
    /// The region of the machine.
    pub region: String,
    /// The region of each zone, including the zone of this machine.
    pub zones: BTreeMap<String, String>,
    /// The addresses on which the process accepts connections of clients, operators and upstreams.
    pub listen: Listen,
    /// The first and the last port for connections between the processes of the system.
    pub port_range: (u16, u16),
    /// The control addresses of the controllers to which the process connects first.
    pub seeds: Vec<SocketAddr>,
    /// Whether this controller takes part in the initial bootstrap of the system.
    pub bootstrap: bool,
    /// The resource limits of the process.
    pub limits: MachineLimits,
    /// The directory for persistent state.
    pub data_dir: Option<PathBuf>,
    /// The heartbeat interval of upstreams, in milliseconds.
    pub heartbeat_ms: u64,
    /// The number of simultaneous failures that the system must tolerate.
    pub tolerate: Tolerance,
    /// Bounds for the behaviour of the system.
    pub bounds: Bounds,
    /// The enabled mechanisms. The command line sets them, the file can't.
    pub mechanisms: Mechanisms,
}

/// The listening addresses of a process; `None` for endpoints that its role does not serve.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listen {
    /// The address on which a proxy accepts client requests.
    pub front: Option<SocketAddr>,
    /// The address of a proxy's readiness check.
    pub ready: Option<SocketAddr>,
    /// The address on which a controller accepts calls of operators and upstreams.
    pub control: Option<SocketAddr>,
    /// The address on which the directory accepts calls of clients.
    pub directory: Option<SocketAddr>,
}

/// The resource limits of a process. A limit is 0 if the file does not set it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineLimits {
    /// The maximum memory, in megabytes.
    pub memory_mb: u64,
    /// The maximum number of open file descriptors.
    pub max_fds: u64,
    /// The maximum disk space, in megabytes.
    pub disk_mb: u64,
}

/// The number of simultaneous failures of each kind that the system must tolerate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// The number of failed machines.
    pub machines: usize,
    /// The number of failed zones.
    pub zones: usize,
    /// The number of failed regions.
    pub regions: usize,
}

/// Bounds for the behaviour of the system. The fields are named after the keys of the settings file; a key
/// that the file does not contain has a default value.
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
    /// The time in which a process in graceful shutdown may complete its requests, in milliseconds.
    pub grace_ms: u64,
    /// The value of `converge_ms`, in milliseconds.
    pub converge_ms: u64,
    /// The value of `downgrade_ms`, in milliseconds.
    pub downgrade_ms: u64,
    /// The number of retries allowed per first attempt.
    pub retry_ratio: f64,
    /// The length of the window in which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// The number of retries allowed in a window in addition to `retry_ratio`.
    pub retry_slack: f64,
    /// The factor by which traffic to an upstream in slow start may exceed the upstream's capacity.
    pub cold_overrun: f64,
    /// The number of requests allowed in addition to `cold_overrun`.
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

/// The reason why settings were rejected.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum SettingsError {
    /// The file is not a JSON object with the keys of settings.
    #[snafu(display("the settings can't be read: {source}"))]
    Unreadable {
        /// The error of the JSON parser.
        source: JsonError,
    },

    /// Values are missing or invalid.
    #[snafu(display("{}", describe_all(faults)))]
    Invalid {
        /// All faults of the file; never empty.
        faults: Vec<SettingsFault>,
    },
}

/// A key whose value is missing or invalid.
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
        /// The error of the address parser.
        source: std::net::AddrParseError,
    },

    /// A value is of the wrong type or out of range.
    #[snafu(display("`{key}` is `{value}`, expected {expected}"))]
    InvalidValue {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// A description of the valid values.
        expected: &'static str,
    },
}

fn describe_all(faults: &[SettingsFault]) -> String {
    let faults: Vec<String> = faults.iter().map(SettingsFault::to_string).collect();
    faults.join("; ")
}

impl Settings {
    /// Parses a settings file. Unknown keys are ignored; the error lists all invalid values.
    pub fn parse(bytes: &[u8]) -> Result<Settings, SettingsError> {
        let raw: RawSettings = crate::json::parse(bytes).context(UnreadableSnafu)?;
        raw.validate().map_err(|faults| SettingsError::Invalid { faults })
    }

    /// Returns the address on which the machine with the given IP address accepts connections of other
    /// machines.
    pub fn internal_endpoint(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.port_range.0)
    }

    /// Returns the loopback address on which the agent accepts the connection of the proxy on the same
    /// machine. If `ip` is itself a loopback address, as in a demonstration on one computer, that address is
    /// used.
    pub fn agent_endpoint(&self) -> SocketAddr {
        let loopback = if self.ip.is_loopback() { self.ip } else { IpAddr::from([127, 0, 0, 1]) };
        SocketAddr::new(loopback, self.port_range.0 + 1)
    }
}
