//! Admission of evacuation commands: which of them are submitted to the chain, and on which record.
//!
//! An evacuation command carries no identity. One that was delayed by the network, or that was read late
//! because the process was paused, looks like a new command. Its caller may have moved on to another
//! controller since, and may have had the opposite command acknowledged there. So a command that would revert
//! a recent change of its zone is not submitted at once. Its caller is redirected to the same controller with
//! the sequence of the zone's record. A caller that has moved on does not follow. The redirected command only
//! has an effect on the record with that sequence, so it may be delayed as well.

use std::collections::BTreeMap;

use crate::commands::records::ZoneEvacuation;
use crate::process_pauses::ProcessPauses;

/// The time after a change of a zone's record in which a command that reverts it must be confirmed, in
/// milliseconds. It is longer than any command is delayed: a connection on which no request is read is closed
/// after a few seconds.
const CONFIRMATION_WINDOW_MS: u64 = 60_000;

/// What to do with an evacuation command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Submit the command. It has an effect only if the zone's record still has this sequence.
    Submit {
        /// The sequence of the zone's record on which the command is based.
        observed_sequence: u64,
    },
    /// Ask the caller to confirm the command for the record with this sequence.
    Confirm {
        /// The sequence of the zone's record that the command would revert.
        sequence: u64,
    },
    /// Reject the command. It may have been sent before a pause of this process.
    Reject,
}

/// The knowledge on which the admission of evacuation commands is decided. Times are in milliseconds of the
/// process's monotonic clock.
#[derive(Debug)]
pub struct EvacuationAdmission {
    pauses: ProcessPauses,
    /// The newest known sequence of each zone's record, and when this controller learned of it.
    changes: BTreeMap<String, KnownChange>,
}

#[derive(Clone, Copy, Debug)]
struct KnownChange {
    sequence: u64,
    learned_at: u64,
}

impl EvacuationAdmission {
    /// Creates the state of a process that starts now.
    pub fn new(now: u64) -> EvacuationAdmission {
        EvacuationAdmission { pauses: ProcessPauses::new(now), changes: BTreeMap::new() }
    }

    /// Detects a pause of the process. Must be called before each event is handled.
    pub fn observe_time(&mut self, now: u64) {
        self.pauses.observe_time(now);
    }

    /// Records that this controller knows the zone's record with this sequence.
    pub fn observe_record(&mut self, now: u64, zone: &str, sequence: u64) {
        if self.changes.get(zone).is_none_or(|known| known.sequence != sequence) {
            self.changes.insert(zone.to_owned(), KnownChange { sequence, learned_at: now });
        }
    }

    /// Decides on a command that has just been read and that was not confirmed by its caller. `current` is
    /// the evacuation of the zone as far as this controller knows.
    pub fn admit(&self, now: u64, zone: &str, evacuated: bool, current: ZoneEvacuation) -> Admission {
        let reverts_recent_change = current.is_evacuated != evacuated && self.has_changed_recently(now, zone);
        if reverts_recent_change {
            return self.require_confirmation(now, current.sequence);
        }
        Admission::Submit { observed_sequence: current.sequence }
    }

    /// Decides on a command whose zone has a newer record, with this sequence, than the command was based on.
    pub fn require_confirmation(&self, now: u64, sequence: u64) -> Admission {
        if self.pauses.may_have_waited(now) { Admission::Reject } else { Admission::Confirm { sequence } }
    }

    fn has_changed_recently(&self, now: u64, zone: &str) -> bool {
        self.changes.get(zone).is_some_and(|change| now < change.learned_at + CONFIRMATION_WINDOW_MS)
    }
}

#[cfg(test)]
mod tests;
