//! The keys and values of the replicated records that commands read and write.

use whinspindle_replica::{RecordWrite, Records};

use super::Departure;

/// The key of the record that holds the body of the newest configuration.
pub const CONFIGURATION_KEY: &str = "configuration";
/// The key of the record that holds the generation of the newest configuration, in decimal digits.
pub(super) const GENERATION_KEY: &str = "generation";
/// The key prefix of the records that hold the digests of accepted configurations, by generation.
pub(super) const HISTORY_PREFIX: &str = "history/";
/// The key prefix of the records of zones for which an evacuation command was ever applied.
pub const EVACUATION_PREFIX: &str = "evacuation/";
/// The key prefix of the records of draining and deregistered instances.
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

/// The generation of the current configuration, or 0 without one.
pub fn current_generation(records: &Records) -> u64 {
    let digits = records.get(GENERATION_KEY).and_then(|record| std::str::from_utf8(&record.value).ok());
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// The zones that are currently evacuated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuatedZones {
    /// The newest sequence of all evacuation records, including those of zones that are in service again.
    pub sequence: u64,
    /// The evacuated zones.
    pub zones: Vec<String>,
}

/// Reads the evacuated zones from the records.
pub fn evacuated_zones(records: &Records) -> EvacuatedZones {
    let mut newest_sequence = 0;
    let mut zones = Vec::new();
    for (key, record) in records.with_prefix(EVACUATION_PREFIX) {
        newest_sequence = newest_sequence.max(record.sequence);
        if record.value.as_slice() == ZONE_EVACUATED {
            zones.push(key[EVACUATION_PREFIX.len()..].to_owned());
        }
    }
    EvacuatedZones { sequence: newest_sequence, zones }
}

/// The evacuation of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneEvacuation {
    /// The sequence of the zone's record, or 0 without one.
    pub sequence: u64,
    /// Whether the zone is evacuated.
    pub is_evacuated: bool,
}

/// Reads the evacuation of a zone.
pub fn zone_evacuation(records: &Records, zone: &str) -> ZoneEvacuation {
    records.get(&evacuation_key(zone)).map_or(ZoneEvacuation { sequence: 0, is_evacuated: false }, |record| {
        ZoneEvacuation { sequence: record.sequence, is_evacuated: record.value.as_slice() == ZONE_EVACUATED }
    })
}

/// The zones that have an evacuation record, with its sequence.
pub fn evacuation_sequences(records: &Records) -> impl Iterator<Item = (&str, u64)> {
    let records = records.with_prefix(EVACUATION_PREFIX);
    records.map(|(key, record)| (&key[EVACUATION_PREFIX.len()..], record.sequence))
}

/// The sequence of a zone's evacuation record, or 0 without one.
pub fn evacuation_sequence(records: &Records, zone: &str) -> u64 {
    records.get(&evacuation_key(zone)).map_or(0, |record| record.sequence)
}

/// The departure of an instance; none if the instance is in service.
pub fn departure_of(records: &Records, instance: &str) -> Option<Departure> {
    records.get(&drained_key(instance)).map(|record| Departure::from_value(&record.value))
}

/// The ids of all departed instances, with their departures.
pub fn departures(records: &Records) -> impl Iterator<Item = (&str, Departure)> {
    let records = records.with_prefix(DRAINED_PREFIX);
    records.map(|(key, record)| (&key[DRAINED_PREFIX.len()..], Departure::from_value(&record.value)))
}

/// The instance id and the departure that a write records; none for other writes.
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
