//! The JSON representation of the settings, and its conversion to [`Settings`].

// The code that `DeJson` derives uses `return Err(..)` in place of `?`.
#![allow(clippy::question_mark, reason = "code derived by nanoserde")]

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::str::{Chars, FromStr};

use nanoserde::{DeJson, DeJsonErr, DeJsonState, DeJsonTok};
use snafu::{OptionExt, ResultExt, ensure};

use crate::mechanism::Mechanisms;
use crate::number::{RoundedUp, WholeNumber};
use crate::settings::{
    Bounds, InvalidAddressSnafu, InvalidValueSnafu, Listen, MachineLimits, MissingSnafu, Settings,
    SettingsFault, Tolerance,
};

/// The heartbeat interval of upstreams if the file does not set `heartbeat_ms`.
const DEFAULT_HEARTBEAT_MS: u64 = 1_000;
/// The maximum duration of a setting, one day. Durations are added without an overflow check.
const MAX_DURATION_MS: u64 = 86_400_000;

/// Replaces an invalid address until all errors are collected; settings that contain it are never returned.
const PLACEHOLDER_IP: IpAddr = IpAddr::V4(Ipv4Addr::UNSPECIFIED);

#[derive(DeJson)]
pub struct RawSettings {
    node: Option<String>,
    role: Option<String>,
    ip: Option<String>,
    zone: Option<String>,
    region: Option<String>,
    zones: Option<BTreeMap<String, String>>,
    listen: Option<RawListen>,
    port_range: Option<Vec<WholeNumber>>,
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
    max_fds: Option<WholeNumber>,
    disk_mb: Option<RoundedUp>,
}

#[derive(DeJson)]
struct RawTolerance {
    machines: Option<WholeNumber>,
    zones: Option<WholeNumber>,
    regions: Option<WholeNumber>,
}

/// The value of a key in `bounds`. Values of other types are accepted for unknown keys.
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

/// Collects the faults of the settings.
#[derive(Default)]
struct Faults(Vec<SettingsFault>);

impl Faults {
    /// Returns the value. On an error, records the fault and returns the default.
    fn value_or_default<T: Default>(&mut self, value: Result<T, SettingsFault>) -> T {
        self.value_or(T::default(), value)
    }

    /// Returns the value. On an error, records the fault and returns the fallback.
    fn value_or<T>(&mut self, fallback: T, value: Result<T, SettingsFault>) -> T {
        match value {
            Ok(value) => value,
            Err(fault) => {
                self.0.push(fault);
                fallback
            }
        }
    }
}

impl RawSettings {
    /// Validates and converts the values. Returns all faults if there are any.
    pub fn validate(self) -> Result<Settings, Vec<SettingsFault>> {
        let mut faults = Faults::default();
        let zone = faults.value_or_default(required("zone", self.zone));
        let region = faults.value_or_default(required("region", self.region));
        let mut zones = self.zones.unwrap_or_default();
        zones.entry(zone.clone()).or_insert_with(|| region.clone());
        let settings = Settings {
            node: faults.value_or_default(required("node", self.node)),
            role: self.role.unwrap_or_default(),
            ip: faults.value_or(PLACEHOLDER_IP, convert_ip(self.ip)),
            zone,
            region,
            zones,
            listen: self.listen.unwrap_or_default().convert(&mut faults),
            port_range: faults.value_or_default(convert_port_range(self.port_range)),
            seeds: convert_seeds(&self.seeds.unwrap_or_default(), &mut faults),
            bootstrap: self.bootstrap.unwrap_or(false),
            limits: self.limits.map(RawLimits::convert).unwrap_or_default(),
            data_dir: self.data_dir.filter(|path| !path.is_empty()).map(PathBuf::from),
            heartbeat_ms: faults.value_or_default(convert_heartbeat(self.heartbeat_ms)),
            tolerate: self.tolerate.map(RawTolerance::convert).unwrap_or_default(),
            bounds: RawBounds(self.bounds.unwrap_or_default()).convert(&mut faults),
            mechanisms: Mechanisms::default(),
        };
        if faults.0.is_empty() { Ok(settings) } else { Err(faults.0) }
    }
}

fn required<T>(key: &'static str, value: Option<T>) -> Result<T, SettingsFault> {
    value.context(MissingSnafu { key })
}

fn convert_ip(ip: Option<String>) -> Result<IpAddr, SettingsFault> {
    parse_address("ip", &required("ip", ip)?)
}

fn parse_address<T: FromStr<Err = std::net::AddrParseError>>(
    key: &str,
    value: &str,
) -> Result<T, SettingsFault> {
    value.parse().context(InvalidAddressSnafu { key, value })
}

fn convert_port_range(range: Option<Vec<WholeNumber>>) -> Result<(u16, u16), SettingsFault> {
    let range = required("port_range", range)?;
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

fn convert_seeds(seeds: &[String], faults: &mut Faults) -> Vec<SocketAddr> {
    let parsed = seeds.iter().map(|seed| parse_address("seeds", seed).map(Some));
    parsed.filter_map(|seed| faults.value_or_default(seed)).collect()
}

fn convert_heartbeat(interval: Option<RoundedUp>) -> Result<u64, SettingsFault> {
    let interval = interval.map_or(DEFAULT_HEARTBEAT_MS, |interval| interval.0);
    let value = interval.to_string();
    let expected = "more than 0 and no more than a day";
    ensure!(
        (1..=MAX_DURATION_MS).contains(&interval),
        InvalidValueSnafu { key: "heartbeat_ms", value, expected }
    );
    Ok(interval)
}

impl RawListen {
    fn convert(self, faults: &mut Faults) -> Listen {
        Listen {
            front: faults.value_or_default(convert_listen("listen.front", self.front)),
            ready: faults.value_or_default(convert_listen("listen.ready", self.ready)),
            control: faults.value_or_default(convert_listen("listen.control", self.control)),
            directory: faults.value_or_default(convert_listen("listen.directory", self.directory)),
        }
    }
}

fn convert_listen(key: &str, address: Option<String>) -> Result<Option<SocketAddr>, SettingsFault> {
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
            machines: self.machines.map_or(default.machines, WholeNumber::saturating_convert),
            zones: self.zones.map_or(default.zones, WholeNumber::saturating_convert),
            regions: self.regions.map_or(default.regions, WholeNumber::saturating_convert),
        }
    }
}

/// The values of `bounds` by key.
struct RawBounds(BTreeMap<String, RawBound>);

impl RawBounds {
    fn convert(&self, faults: &mut Faults) -> Bounds {
        let default = Bounds::default();
        Bounds {
            seed_lag_ms: faults.value_or_default(self.duration_ms("seed_lag", default.seed_lag_ms)),
            reuse_after_ms: faults.value_or_default(self.duration_ms("reuse_after", default.reuse_after_ms)),
            contact_ms: faults.value_or_default(self.duration_ms("contact", default.contact_ms)),
            ack_ms: faults.value_or_default(self.duration_ms("ack", default.ack_ms)),
            sync_ms: faults.value_or_default(self.duration_ms("sync", default.sync_ms)),
            drain_ms: faults.value_or_default(self.duration_ms("drain", default.drain_ms)),
            grace_ms: faults.value_or_default(self.duration_ms("grace", default.grace_ms)),
            converge_ms: faults.value_or_default(self.duration_ms("converge", default.converge_ms)),
            downgrade_ms: faults.value_or_default(self.duration_ms("downgrade", default.downgrade_ms)),
            retry_ratio: faults.value_or_default(self.number("retry_ratio", default.retry_ratio)),
            retry_window_ms: faults
                .value_or_default(self.duration_ms("retry_window", default.retry_window_ms)),
            retry_slack: faults.value_or_default(self.number("retry_slack", default.retry_slack)),
            cold_overrun: faults.value_or_default(self.number("cold_overrun", default.cold_overrun)),
            cold_slack: faults.value_or_default(self.number("cold_slack", default.cold_slack)),
            evac_ms: faults.value_or_default(self.duration_ms("evac", default.evac_ms)),
            recover_ms: faults.value_or_default(self.duration_ms("recover", default.recover_ms)),
            pass_ms: faults.value_or_default(self.duration_ms("pass", default.pass_ms)),
            again_ms: faults.value_or_default(self.duration_ms("again", default.again_ms)),
            ttl_max_ms: faults.value_or_default(self.duration_ms("ttl_max", default.ttl_max_ms)),
        }
    }

    /// Returns a duration in milliseconds. Its key is `name` followed by `_ms` or `_s`.
    fn duration_ms(&self, name: &str, default: u64) -> Result<u64, SettingsFault> {
        for (suffix, unit_ms) in [("ms", 1.0), ("s", 1_000.0)] {
            let key = format!("{name}_{suffix}");
            if let Some(number) = self.find(&key)? {
                return round_up_duration(key, number * unit_ms);
            }
        }
        Ok(default)
    }

    fn number(&self, key: &str, default: f64) -> Result<f64, SettingsFault> {
        Ok(self.find(key)?.unwrap_or(default))
    }

    fn find(&self, key: &str) -> Result<Option<f64>, SettingsFault> {
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

fn round_up_duration(key: String, milliseconds: f64) -> Result<u64, SettingsFault> {
    let value = format!("{milliseconds} ms");
    let expected = "no more than a day";
    let key = format!("bounds.{key}");
    ensure!(milliseconds <= MAX_DURATION_MS as f64, InvalidValueSnafu { key, value, expected });
    Ok(milliseconds.ceil() as u64)
}
