//! The evaluation of commands on the newest records, at the head of the chain.

use blake3::Hash;
use whinspindle_replica::{Answer, Application, Evaluation, RecordWrite, Records};

use super::records::{
    CONFIGURATION_KEY, DRAINED_PREFIX, GENERATION_KEY, HISTORY_PREFIX, ZONE_EVACUATED, ZONE_IN_SERVICE,
    current_generation, departure_of, drained_key, evacuation_key, evacuation_sequence, history_key,
};
use super::{Command, Departure, Outcome};

/// The number of configurations of which a repeat is recognized.
const MAX_HISTORY: usize = 512;
/// The number of departures that are kept.
const MAX_DRAINED: usize = 2048;

/// The application that the chain replicates: evaluates commands on the newest records.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommandApplication;

impl Application for CommandApplication {
    fn evaluate(&self, records: &Records, command: &[u8]) -> Evaluation {
        match Command::decode(command) {
            Ok(Command::Replace { base, generation, body }) => replace(records, base, generation, body),
            Ok(Command::Fetch) => {
                Evaluation { writes: Vec::new(), answer: Answer::Record(CONFIGURATION_KEY.to_owned()) }
            }
            Ok(Command::Evacuate { zone, evacuated, observed_sequence }) => {
                evacuate(records, &zone, evacuated, observed_sequence)
            }
            Ok(Command::Drain { instance, departure }) => drain(records, &instance, departure),
            Err(_) => answer_only(Outcome::Unreadable),
        }
    }
}

fn replace(records: &Records, base: u64, generation: u64, body: Vec<u8>) -> Evaluation {
    let digest = blake3::hash(&body);
    if was_taken(records, generation, &digest) {
        return answer_only(Outcome::Applied);
    }
    let current = current_generation(records);
    if let Some(rejection) = rejection(records, current, base, generation) {
        return answer_only(rejection);
    }
    let mut writes = vec![
        write(CONFIGURATION_KEY.to_owned(), body),
        write(GENERATION_KEY.to_owned(), generation.to_string().into_bytes()),
        write(history_key(generation), digest.as_bytes().to_vec()),
    ];
    writes.extend(oldest_of_full_history(records));
    Evaluation { writes, answer: Answer::Value(Outcome::Applied.encode()) }
}

/// Why a configuration is not put in place. Clear refusals are final: no later copy of the command can be taken.
fn rejection(records: &Records, current: u64, base: u64, generation: u64) -> Option<Outcome> {
    if generation <= base {
        return Some(Outcome::GenerationTooLow { current });
    }
    if base > current {
        return Some(Outcome::BaseNotInPlace { current });
    }
    if generation < oldest_known_generation(records) {
        return Some(Outcome::HistoryExpired { current });
    }
    (base < current).then_some(Outcome::BaseMismatch { current })
}

/// The lowest generation whose fate the history still holds; 0 while it holds all.
fn oldest_known_generation(records: &Records) -> u64 {
    if records.with_prefix(HISTORY_PREFIX).count() < MAX_HISTORY {
        return 0;
    }
    let oldest = records.with_prefix(HISTORY_PREFIX).next();
    oldest.and_then(|(key, _)| key[HISTORY_PREFIX.len()..].parse().ok()).unwrap_or(0)
}

fn was_taken(records: &Records, generation: u64, digest: &Hash) -> bool {
    records.get(&history_key(generation)).is_some_and(|record| record.value.as_slice() == digest.as_bytes())
}

/// The write that removes the oldest entry of a full history. Generations rise and their keys sort alike, so the first
/// entry is the oldest.
fn oldest_of_full_history(records: &Records) -> Option<RecordWrite> {
    if records.with_prefix(HISTORY_PREFIX).count() < MAX_HISTORY {
        return None;
    }
    records
        .with_prefix(HISTORY_PREFIX)
        .next()
        .map(|(key, _)| RecordWrite { key: key.to_owned(), value: None })
}

/// Writes the record also if the zone is in that state already: the new sequence voids every copy of an earlier command.
fn evacuate(records: &Records, zone: &str, evacuated: bool, observed_sequence: u64) -> Evaluation {
    let sequence = evacuation_sequence(records, zone);
    if sequence != observed_sequence {
        return answer_only(Outcome::Superseded { sequence });
    }
    let value = if evacuated { ZONE_EVACUATED } else { ZONE_IN_SERVICE };
    let writes = vec![write(evacuation_key(zone), value.to_vec())];
    Evaluation { writes, answer: Answer::Value(Outcome::Applied.encode()) }
}

fn drain(records: &Records, instance: &str, departure: Departure) -> Evaluation {
    let known = departure_of(records, instance);
    if known >= Some(departure) {
        return answer_only(Outcome::Applied);
    }
    let mut writes = vec![write(drained_key(instance), departure.value().to_vec())];
    if known.is_none() {
        writes.extend(oldest_of_full_drained(records));
    }
    Evaluation { writes, answer: Answer::Value(Outcome::Applied.encode()) }
}

fn oldest_of_full_drained(records: &Records) -> Option<RecordWrite> {
    if records.with_prefix(DRAINED_PREFIX).count() < MAX_DRAINED {
        return None;
    }
    let oldest = records.with_prefix(DRAINED_PREFIX).min_by_key(|(_, record)| record.sequence);
    oldest.map(|(key, _)| RecordWrite { key: key.to_owned(), value: None })
}

fn answer_only(outcome: Outcome) -> Evaluation {
    Evaluation { writes: Vec::new(), answer: Answer::Value(outcome.encode()) }
}

fn write(key: String, value: Vec<u8>) -> RecordWrite {
    RecordWrite { key, value: Some(value) }
}
