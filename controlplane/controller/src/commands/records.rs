//! The replicated records that commands read and write: their keys and values.

use whinspindle_replica::{RecordWrite, Records};

use super::Departure;

/// The record that holds the body of the newest configuration.
pub const CONFIGURATION_KEY: &str = "configuration";
/// The record that holds the generation of the newest configuration, in decimal digits.
pub(super) const GENERATION_KEY: &str = "generation";
/// The prefix of the records with the digests of accepted configurations, by generation.
pub(super) const HISTORY_PREFIX: &str = "history/";
/// The prefix of the records of zones for which an evacuation was ever begun or finished.
pub const EVACUATION_PREFIX: &str = "evacuation/";
/// The prefix of the records of departed instances, draining or deregistered.
pub const DRAINED_PREFIX: &str = "drained/";

pub(super) const ZONE_EVACUATED: &[u8] = b"1";
pub(super) const ZONE_IN_SERVICE: &[u8] = b"0";

const INSTANCE_DRAINING: &[u8] = b"draining";
const INSTANCE_DEREGISTERED: &[u8] = b"gone";

impl Departure {
    pub(super) fn value(self) -> &'static [u8] {
        match self {
            Departure::Draining => INSTANCE_DRAINING,
            Departure::Deregistered => INSTANCE_DEREGISTERED,
        }
    }

    fn from_value(value: &[u8]) -> Departure {
        if value == INSTANCE_DEREGISTERED { Departure::Deregistered } else { Departure::Draining }
    }
}

/// The generation of the configuration in place, 0 before the first.
pub fn current_generation(records: &Records) -> u64 {
    let digits = records.get(GENERATION_KEY).and_then(|record| std::str::from_utf8(&record.value).ok());
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// The evacuations that are in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuatedZones {
    /// The newest sequence of all evacuation records, also of zones that are in service again.
    pub sequence: u64,
    /// The evacuated zones.
    pub zones: Vec<String>,
}

/// The zones that are evacuated.
pub fn evacuated_zones(records: &Records) -> EvacuatedZones {
    let mut newest = 0;
    let mut zones = Vec::new();
    for (key, record) in records.with_prefix(EVACUATION_PREFIX) {
        newest = newest.max(record.sequence);
        if record.value.as_slice() == ZONE_EVACUATED {
            zones.push(key[EVACUATION_PREFIX.len()..].to_owned());
        }
    }
    EvacuatedZones { sequence: newest, zones }
}

/// The sequence of a zone's evacuation record, 0 without one.
pub fn evacuation_sequence(records: &Records, zone: &str) -> u64 {
    records.get(&evacuation_key(zone)).map_or(0, |record| record.sequence)
}

/// The departure of an instance, none if it is in service.
pub fn departure_of(records: &Records, instance: &str) -> Option<Departure> {
    records.get(&drained_key(instance)).map(|record| Departure::from_value(&record.value))
}

/// All departed instances with their departures.
pub fn departures(records: &Records) -> impl Iterator<Item = (&str, Departure)> {
    let records = records.with_prefix(DRAINED_PREFIX);
    records.map(|(key, record)| (&key[DRAINED_PREFIX.len()..], Departure::from_value(&record.value)))
}

/// The instance and its departure, if a write records one.
pub fn departure_in(write: &RecordWrite) -> Option<(&str, Departure)> {
    let instance = write.key.strip_prefix(DRAINED_PREFIX)?;
    Some((instance, Departure::from_value(write.value.as_deref()?)))
}

pub(super) fn history_key(generation: u64) -> String {
    format!("{HISTORY_PREFIX}{generation:020}")
}

pub(super) fn evacuation_key(zone: &str) -> String {
    format!("{EVACUATION_PREFIX}{zone}")
}

pub(super) fn drained_key(instance: &str) -> String {
    format!("{DRAINED_PREFIX}{instance}")
}
