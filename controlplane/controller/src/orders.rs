//! What an order does to the replicated records: the application that the chain's head evaluates.
//!
//! Every order may be sent more than once. A configuration is known again by the digest that the history keeps for its
//! generation. A departure is a state that only goes forward. An evacuation names the version of the zone's record that
//! its controller knew, and raises that version: copies that are still on their way count for nothing afterwards.

use blake3::Hash;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use whinspindle_replica::{Answer, Application, Evaluation, RecordWrite, Records};

/// The record that holds the body of the newest configuration.
pub const CONFIGURATION: &str = "configuration";
/// The record that holds the generation of the newest configuration, in decimal digits.
const GENERATION: &str = "generation";
/// Records of the digests of the configurations that were taken, by generation.
const HISTORY: &str = "history/";
/// Records of the zones for which an evacuation was ever begun or finished.
pub const EVACUATION: &str = "evacuation/";
/// Records of the instances that leave or have left.
pub const DRAINED: &str = "drained/";

/// Configurations of which a repeat is still known.
const MAX_HISTORY: usize = 512;
/// Instances that are remembered as drained.
const MAX_DRAINED: usize = 2048;

const ZONE_EVACUATED: &[u8] = b"1";
const ZONE_IN_SERVICE: &[u8] = b"0";

const INSTANCE_DRAINING: &[u8] = b"draining";
const INSTANCE_GONE: &[u8] = b"gone";

/// An order on its way to the head of the chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Put a configuration in place that was checked before.
    Replace { base: u64, generation: u64, body: Vec<u8> },
    /// Read the newest configuration.
    Fetch,
    /// Begin or finish the evacuation of a zone.
    Evacuate {
        zone: String,
        evacuated: bool,
        /// The sequence of the zone's record when the order was given, 0 without one. An order that was held up on its
        /// way doesn't undo a newer one.
        seen: u64,
    },
    /// An instance leaves, or has left.
    Drain { instance: String, departure: Departure },
}

/// How far an instance is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Departure {
    /// It takes no new requests.
    Draining,
    /// It has ended.
    Gone,
}

/// What became of an order at the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is in force, by this order or by an equal one before; or it was, until a newer one came.
    Done,
    /// A later configuration is in place than the one that the order builds on. Since generations climb, it can't come
    /// into force any more.
    OtherBase { current: u64 },
    /// The generation is not above the one that the order builds on, so it can never come into force.
    NotAbove { current: u64 },
    /// The zone's record has changed since the order was given.
    Overtaken { sequence: u64 },
    /// The command could not be read.
    Unreadable,
    /// The configuration that the order builds on is not in place yet. It may come, and a copy of the order with it.
    BaseAhead { current: u64 },
    /// The generation is so old that it is not known any more whether this configuration was taken.
    Forgotten { current: u64 },
}

/// A command or an outcome that can't be read.
#[derive(Debug, Snafu)]
pub enum OrderError {
    #[snafu(display("malformed order: {source}"))]
    Malformed { source: postcard::Error },
}

/// The fixed part of an encoded order; a configuration's body follows it as it is.
#[derive(Serialize, Deserialize)]
enum OrderHead {
    Replace { base: u64, generation: u64 },
    Fetch,
    Evacuate { zone: String, evacuated: bool, seen: u64 },
    Drain { instance: String, departure: Departure },
}

impl Order {
    /// The command for the chain.
    pub fn encode(self) -> Result<Vec<u8>, OrderError> {
        let (head, body) = match self {
            Order::Replace { base, generation, body } => (OrderHead::Replace { base, generation }, body),
            Order::Fetch => (OrderHead::Fetch, Vec::new()),
            Order::Evacuate { zone, evacuated, seen } => {
                (OrderHead::Evacuate { zone, evacuated, seen }, Vec::new())
            }
            Order::Drain { instance, departure } => (OrderHead::Drain { instance, departure }, Vec::new()),
        };
        let mut command = postcard::to_stdvec(&head).context(MalformedSnafu)?;
        command.extend_from_slice(&body);
        Ok(command)
    }

    /// Reads a command.
    pub fn decode(command: &[u8]) -> Result<Order, OrderError> {
        let (head, body) = postcard::take_from_bytes(command).context(MalformedSnafu)?;
        Ok(match head {
            OrderHead::Replace { base, generation } => {
                Order::Replace { base, generation, body: body.to_vec() }
            }
            OrderHead::Fetch => Order::Fetch,
            OrderHead::Evacuate { zone, evacuated, seen } => Order::Evacuate { zone, evacuated, seen },
            OrderHead::Drain { instance, departure } => Order::Drain { instance, departure },
        })
    }
}

impl Departure {
    fn value(self) -> &'static [u8] {
        match self {
            Departure::Draining => INSTANCE_DRAINING,
            Departure::Gone => INSTANCE_GONE,
        }
    }

    fn from_value(value: &[u8]) -> Departure {
        if value == INSTANCE_GONE { Departure::Gone } else { Departure::Draining }
    }
}

impl Outcome {
    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads the answer to an order.
    pub fn decode(answer: &[u8]) -> Result<Outcome, OrderError> {
        postcard::from_bytes(answer).context(MalformedSnafu)
    }
}

/// Evaluates orders on the newest records.
#[derive(Clone, Copy, Debug, Default)]
pub struct Orders;

impl Application for Orders {
    fn evaluate(&self, records: &Records, command: &[u8]) -> Evaluation {
        match Order::decode(command) {
            Ok(Order::Replace { base, generation, body }) => replace(records, base, generation, body),
            Ok(Order::Fetch) => {
                Evaluation { writes: Vec::new(), answer: Answer::Record(CONFIGURATION.to_owned()) }
            }
            Ok(Order::Evacuate { zone, evacuated, seen }) => evacuate(records, &zone, evacuated, seen),
            Ok(Order::Drain { instance, departure }) => drain(records, &instance, departure),
            Err(_) => answer_only(Outcome::Unreadable),
        }
    }
}

/// The generation of the configuration in place, 0 before the first.
pub fn current_generation(records: &Records) -> u64 {
    let digits = records.get(GENERATION).and_then(|record| std::str::from_utf8(&record.value).ok());
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// The zones that are evacuated, and the newest sequence of all evacuation records.
pub fn evacuated_zones(records: &Records) -> (u64, Vec<String>) {
    let mut newest = 0;
    let mut zones = Vec::new();
    for (key, record) in records.range(EVACUATION) {
        newest = newest.max(record.sequence);
        if record.value.as_slice() == ZONE_EVACUATED {
            zones.push(key[EVACUATION.len()..].to_owned());
        }
    }
    (newest, zones)
}

/// The sequence of a zone's evacuation record, 0 without one.
pub fn evacuation_sequence(records: &Records, zone: &str) -> u64 {
    records.get(&evacuation_key(zone)).map_or(0, |record| record.sequence)
}

/// How far an instance is known to be on its way out.
pub fn departure_of(records: &Records, instance: &str) -> Option<Departure> {
    records.get(&drained_key(instance)).map(|record| Departure::from_value(&record.value))
}

/// The instances that leave or have left.
pub fn departures(records: &Records) -> impl Iterator<Item = (&str, Departure)> {
    let records = records.range(DRAINED);
    records.map(|(key, record)| (&key[DRAINED.len()..], Departure::from_value(&record.value)))
}

/// The departure that a write tells of, if it is one of those.
pub fn departure_in(write: &RecordWrite) -> Option<(&str, Departure)> {
    let instance = write.key.strip_prefix(DRAINED)?;
    Some((instance, Departure::from_value(write.value.as_deref()?)))
}

fn replace(records: &Records, base: u64, generation: u64, body: Vec<u8>) -> Evaluation {
    let digest = blake3::hash(&body);
    if was_taken(records, generation, &digest) {
        return answer_only(Outcome::Done);
    }
    let current = current_generation(records);
    if let Some(obstacle) = obstacle(records, current, base, generation) {
        return answer_only(obstacle);
    }
    let mut writes = vec![
        write(CONFIGURATION.to_owned(), body),
        write(GENERATION.to_owned(), generation.to_string().into_bytes()),
        write(history_key(generation), digest.as_bytes().to_vec()),
    ];
    writes.extend(oldest_of_full_history(records));
    Evaluation { writes, answer: Answer::Value(Outcome::Done.encode()) }
}

/// Why a configuration is not put in place. Clear refusals are final: no later copy of the order can be taken.
fn obstacle(records: &Records, current: u64, base: u64, generation: u64) -> Option<Outcome> {
    if generation <= base {
        return Some(Outcome::NotAbove { current });
    }
    if base > current {
        return Some(Outcome::BaseAhead { current });
    }
    if generation < oldest_known_generation(records) {
        return Some(Outcome::Forgotten { current });
    }
    (base < current).then_some(Outcome::OtherBase { current })
}

/// Whether a configuration of a lower generation was taken may be forgotten.
fn oldest_known_generation(records: &Records) -> u64 {
    if records.range(HISTORY).count() < MAX_HISTORY {
        return 0;
    }
    let oldest = records.range(HISTORY).next();
    oldest.and_then(|(key, _)| key[HISTORY.len()..].parse().ok()).unwrap_or(0)
}

fn was_taken(records: &Records, generation: u64, digest: &Hash) -> bool {
    records.get(&history_key(generation)).is_some_and(|record| record.value.as_slice() == digest.as_bytes())
}

/// Generations climb and their keys sort alike, so the first is the oldest.
fn oldest_of_full_history(records: &Records) -> Option<RecordWrite> {
    if records.range(HISTORY).count() < MAX_HISTORY {
        return None;
    }
    records.range(HISTORY).next().map(|(key, _)| RecordWrite { key: key.to_owned(), value: None })
}

/// Writes also where the zone is in that state: the new sequence voids every copy of an earlier order.
fn evacuate(records: &Records, zone: &str, evacuated: bool, seen: u64) -> Evaluation {
    let sequence = evacuation_sequence(records, zone);
    if sequence != seen {
        return answer_only(Outcome::Overtaken { sequence });
    }
    let value = if evacuated { ZONE_EVACUATED } else { ZONE_IN_SERVICE };
    let writes = vec![write(evacuation_key(zone), value.to_vec())];
    Evaluation { writes, answer: Answer::Value(Outcome::Done.encode()) }
}

fn drain(records: &Records, instance: &str, departure: Departure) -> Evaluation {
    let known = departure_of(records, instance);
    if known >= Some(departure) {
        return answer_only(Outcome::Done);
    }
    let mut writes = vec![write(drained_key(instance), departure.value().to_vec())];
    if known.is_none() {
        writes.extend(oldest_of_full_drained(records));
    }
    Evaluation { writes, answer: Answer::Value(Outcome::Done.encode()) }
}

fn oldest_of_full_drained(records: &Records) -> Option<RecordWrite> {
    if records.range(DRAINED).count() < MAX_DRAINED {
        return None;
    }
    let oldest = records.range(DRAINED).min_by_key(|(_, record)| record.sequence);
    oldest.map(|(key, _)| RecordWrite { key: key.to_owned(), value: None })
}

fn answer_only(outcome: Outcome) -> Evaluation {
    Evaluation { writes: Vec::new(), answer: Answer::Value(outcome.encode()) }
}

fn write(key: String, value: Vec<u8>) -> RecordWrite {
    RecordWrite { key, value: Some(value) }
}

fn history_key(generation: u64) -> String {
    format!("{HISTORY}{generation:020}")
}

fn evacuation_key(zone: &str) -> String {
    format!("{EVACUATION}{zone}")
}

fn drained_key(instance: &str) -> String {
    format!("{DRAINED}{instance}")
}
