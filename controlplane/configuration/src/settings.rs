//! The settings file of a process.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use snafu::{ResultExt, Snafu};

use crate::json::JsonError;
use crate::mechanism::Mechanisms;
use crate::raw_settings::RawSettings;

/// What a process is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub node: String,
    pub role: String,
    pub ip: IpAddr,
    pub zone: String,
    pub region: String,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    pub listen: Listen,
    /// First and last port that processes of this project may use among themselves.
    pub port_range: (u16, u16),
    /// Control addresses.
    pub seeds: Vec<SocketAddr>,
    pub bootstrap: bool,
    pub limits: MachineLimits,
    pub data_dir: Option<PathBuf>,
    pub heartbeat_ms: u64,
    pub tolerate: Tolerance,
    pub bounds: Bounds,
    /// Told by the command line, not by the file.
    pub mechanisms: Mechanisms,
}

/// The addresses of what the role serves to others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listen {
    pub front: Option<SocketAddr>,
    pub ready: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
    pub directory: Option<SocketAddr>,
}

/// Bounds of the process; 0 where the file names none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineLimits {
    pub memory_mb: u64,
    pub max_fds: u64,
    pub disk_mb: u64,
}

/// How many may be lost at once: machines, or zones, or regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    pub machines: usize,
    pub zones: usize,
    pub regions: usize,
}

/// Figures of the rules; a default stands for one that the file lacks.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    pub seed_lag_ms: u64,
    pub reuse_after_ms: u64,
    pub contact_ms: u64,
    pub ack_ms: u64,
    pub sync_ms: u64,
    pub drain_ms: u64,
    pub grace_ms: u64,
    pub converge_ms: u64,
    pub downgrade_ms: u64,
    pub retry_ratio: f64,
    pub retry_window_ms: u64,
    pub retry_slack: f64,
    pub cold_overrun: f64,
    pub cold_slack: f64,
    pub evac_ms: u64,
    pub recover_ms: u64,
    pub pass_ms: u64,
    pub again_ms: u64,
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
    #[snafu(display("the settings can't be read: {source}"))]
    Unreadable { source: JsonError },

    /// All that is wrong, at least one.
    #[snafu(display("{}", described(faults)))]
    Invalid { faults: Vec<SettingsFault> },
}

/// What is wrong with the value of one key.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsFault {
    #[snafu(display("`{key}` is missing"))]
    Missing { key: &'static str },

    #[snafu(display("`{key}` is `{value}`: {source}"))]
    InvalidAddress { key: String, value: String, source: std::net::AddrParseError },

    #[snafu(display("`{key}` is `{value}`, expected {expected}"))]
    InvalidValue { key: String, value: String, expected: &'static str },
}

fn described(faults: &[SettingsFault]) -> String {
    let faults: Vec<String> = faults.iter().map(SettingsFault::to_string).collect();
    faults.join("; ")
}

impl Settings {
    /// Reads a settings file. Keys that are not known are skipped; all values at fault are told at once.
    pub fn parse(bytes: &[u8]) -> Result<Settings, SettingsError> {
        let raw: RawSettings = crate::json::parse(bytes).context(UnreadableSnafu)?;
        raw.check().map_err(|faults| SettingsError::Invalid { faults })
    }

    /// The address on which a machine with this control or machine address takes connections of other machines.
    pub fn internal_endpoint(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.port_range.0)
    }

    /// The loopback address on which the agent feeds the proxy of its machine. Machines that are themselves loopback
    /// addresses of one computer, as in a demonstration, each use their own.
    pub fn agent_endpoint(&self) -> SocketAddr {
        let loopback = if self.ip.is_loopback() { self.ip } else { IpAddr::from([127, 0, 0, 1]) };
        SocketAddr::new(loopback, self.port_range.0 + 1)
    }
}
