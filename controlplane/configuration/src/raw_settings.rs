//! The settings as their JSON spells them, and their conversion.

// `DeJson`'s derive writes `return Err(..)` where `?` would do.
#![allow(clippy::question_mark)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::{Chars, FromStr};

use nanoserde::{DeJson, DeJsonErr, DeJsonState, DeJsonTok};
use snafu::{ResultExt, ensure};

use crate::number::{RoundedUp, Whole};
use crate::settings::{
    Bounds, InvalidAddressSnafu, InvalidValueSnafu, Listen, MachineLimits, Settings, SettingsError, Tolerance,
};

const DEFAULT_HEARTBEAT_MS: u64 = 1_000;

#[derive(DeJson)]
pub struct RawSettings {
    node: String,
    role: Option<String>,
    ip: String,
    zone: String,
    region: String,
    zones: Option<BTreeMap<String, String>>,
    listen: Option<RawListen>,
    port_range: Vec<Whole>,
    seeds: Option<Vec<String>>,
    bootstrap: Option<bool>,
    limits: Option<RawLimits>,
    data_dir: Option<String>,
    heartbeat_ms: Option<RoundedUp>,
    tolerate: Option<RawTolerance>,
    bounds: Option<BTreeMap<String, RawBound>>,
}

#[derive(DeJson, Default)]
struct RawListen {
    front: Option<String>,
    ready: Option<String>,
    control: Option<String>,
    directory: Option<String>,
}

#[derive(DeJson)]
struct RawLimits {
    memory_mb: Option<RoundedUp>,
    max_fds: Option<Whole>,
    disk_mb: Option<RoundedUp>,
}

#[derive(DeJson)]
struct RawTolerance {
    machines: Option<Whole>,
    zones: Option<Whole>,
    regions: Option<Whole>,
}

/// A figure of the rules. Other kinds of values belong to keys that are not known.
enum RawBound {
    Number(f64),
    Other,
}

impl DeJson for RawBound {
    fn de_json(state: &mut DeJsonState, input: &mut Chars) -> Result<Self, DeJsonErr> {
        let bound = match state.tok {
            DeJsonTok::U64(_) | DeJsonTok::I64(_) | DeJsonTok::F64(_) => RawBound::Number(state.as_f64()?),
            _ => RawBound::Other,
        };
        state.whole_field(input)?;
        Ok(bound)
    }
}

impl RawSettings {
    /// Converts the values and checks them.
    pub fn check(self) -> Result<Settings, SettingsError> {
        let mut zones = self.zones.unwrap_or_default();
        zones.entry(self.zone.clone()).or_insert_with(|| self.region.clone());
        Ok(Settings {
            node: self.node,
            role: self.role.unwrap_or_default(),
            ip: parse_address("ip", &self.ip)?,
            zone: self.zone,
            region: self.region,
            zones,
            listen: self.listen.unwrap_or_default().convert()?,
            port_range: convert_port_range(&self.port_range)?,
            seeds: convert_seeds(&self.seeds.unwrap_or_default())?,
            bootstrap: self.bootstrap.unwrap_or(false),
            limits: self.limits.map(RawLimits::convert).unwrap_or_default(),
            data_dir: self.data_dir.filter(|path| !path.is_empty()).map(PathBuf::from),
            heartbeat_ms: convert_heartbeat(self.heartbeat_ms)?,
            tolerate: self.tolerate.map(RawTolerance::convert).unwrap_or_default(),
            bounds: RawBounds(self.bounds.unwrap_or_default()).convert()?,
        })
    }
}

fn parse_address<T: FromStr<Err = std::net::AddrParseError>>(
    key: &str,
    value: &str,
) -> Result<T, SettingsError> {
    value.parse().context(InvalidAddressSnafu { key, value })
}

fn convert_port_range(range: &[Whole]) -> Result<(u16, u16), SettingsError> {
    let ports: Vec<u16> = range.iter().filter_map(|port| u16::try_from(port.0).ok()).collect();
    if let (&[first, last], 2) = (ports.as_slice(), range.len())
        && first > 0
        && first < last
    {
        return Ok((first, last));
    }
    let value = range.iter().map(|port| port.0.to_string()).collect::<Vec<_>>().join(", ");
    InvalidValueSnafu { key: "port_range", value, expected: "a first port and a higher last port" }.fail()
}

fn convert_seeds(seeds: &[String]) -> Result<Vec<SocketAddr>, SettingsError> {
    seeds.iter().map(|seed| parse_address("seeds", seed)).collect()
}

fn convert_heartbeat(interval: Option<RoundedUp>) -> Result<u64, SettingsError> {
    let interval = interval.map_or(DEFAULT_HEARTBEAT_MS, |interval| interval.0);
    let expected = "more than 0";
    ensure!(interval > 0, InvalidValueSnafu { key: "heartbeat_ms", value: "0", expected });
    Ok(interval)
}

impl RawListen {
    fn convert(self) -> Result<Listen, SettingsError> {
        Ok(Listen {
            front: convert_listen("listen.front", self.front)?,
            ready: convert_listen("listen.ready", self.ready)?,
            control: convert_listen("listen.control", self.control)?,
            directory: convert_listen("listen.directory", self.directory)?,
        })
    }
}

fn convert_listen(key: &str, address: Option<String>) -> Result<Option<SocketAddr>, SettingsError> {
    address.map(|address| parse_address(key, &address)).transpose()
}

impl RawLimits {
    fn convert(self) -> MachineLimits {
        MachineLimits {
            memory_mb: self.memory_mb.unwrap_or_default().0,
            max_fds: self.max_fds.unwrap_or_default().0,
            disk_mb: self.disk_mb.unwrap_or_default().0,
        }
    }
}

impl RawTolerance {
    fn convert(self) -> Tolerance {
        let default = Tolerance::default();
        Tolerance {
            machines: self.machines.map_or(default.machines, Whole::saturated),
            zones: self.zones.map_or(default.zones, Whole::saturated),
            regions: self.regions.map_or(default.regions, Whole::saturated),
        }
    }
}

/// The figures by their keys.
struct RawBounds(BTreeMap<String, RawBound>);

impl RawBounds {
    fn convert(&self) -> Result<Bounds, SettingsError> {
        let default = Bounds::default();
        Ok(Bounds {
            seed_lag_ms: self.milliseconds("seed_lag", default.seed_lag_ms)?,
            reuse_after_ms: self.milliseconds("reuse_after", default.reuse_after_ms)?,
            contact_ms: self.milliseconds("contact", default.contact_ms)?,
            ack_ms: self.milliseconds("ack", default.ack_ms)?,
            sync_ms: self.milliseconds("sync", default.sync_ms)?,
            drain_ms: self.milliseconds("drain", default.drain_ms)?,
            grace_ms: self.milliseconds("grace", default.grace_ms)?,
            converge_ms: self.milliseconds("converge", default.converge_ms)?,
            downgrade_ms: self.milliseconds("downgrade", default.downgrade_ms)?,
            retry_ratio: self.number("retry_ratio", default.retry_ratio)?,
            retry_window_ms: self.milliseconds("retry_window", default.retry_window_ms)?,
            retry_slack: self.number("retry_slack", default.retry_slack)?,
            cold_overrun: self.number("cold_overrun", default.cold_overrun)?,
            cold_slack: self.number("cold_slack", default.cold_slack)?,
            evac_ms: self.milliseconds("evac", default.evac_ms)?,
            recover_ms: self.milliseconds("recover", default.recover_ms)?,
            pass_ms: self.milliseconds("pass", default.pass_ms)?,
            again_ms: self.milliseconds("again", default.again_ms)?,
            ttl_max_ms: self.milliseconds("ttl_max", default.ttl_max_ms)?,
        })
    }

    /// A duration, given under `name` with the suffix of its unit.
    fn milliseconds(&self, name: &str, default: u64) -> Result<u64, SettingsError> {
        if let Some(milliseconds) = self.find(&format!("{name}_ms"))? {
            return Ok(milliseconds.ceil() as u64);
        }
        let seconds = self.find(&format!("{name}_s"))?;
        Ok(seconds.map_or(default, |seconds| (seconds * 1_000.0).ceil() as u64))
    }

    fn number(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        Ok(self.find(key)?.unwrap_or(default))
    }

    fn find(&self, key: &str) -> Result<Option<f64>, SettingsError> {
        let expected = "a number that is not negative";
        match self.0.get(key) {
            None => Ok(None),
            Some(&RawBound::Number(number)) if number.is_finite() && number >= 0.0 => Ok(Some(number)),
            Some(RawBound::Number(number)) => {
                let value = number.to_string();
                InvalidValueSnafu { key: format!("bounds.{key}"), value, expected }.fail()
            }
            Some(RawBound::Other) => {
                InvalidValueSnafu { key: format!("bounds.{key}"), value: "no number", expected }.fail()
            }
        }
    }
}
