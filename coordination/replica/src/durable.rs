//! The durable state of a replica, and the log records that change it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use whinspindle_consensus::{AcceptorState, Ballot};

use crate::entry::{Entry, Origin, Outcome};
use crate::records::Records;
use crate::settings::ReplicaSettings;
use crate::transfer::RangeContents;
use crate::view::{BOOTSTRAP_VIEW, View};

/// A write that the embedding program must make durable and then confirm with [`crate::Input::Persisted`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DurableWrite {
    /// Append records to the log.
    Append(Vec<Vec<u8>>),
    /// Replace the checkpoint and the log with this encoded state.
    Checkpoint(Vec<u8>),
}

/// Why the durable state could not be decoded.
#[derive(Debug, Snafu)]
pub enum RecoverError {
    /// The checkpoint cannot be decoded.
    #[snafu(display("the checkpoint cannot be decoded"))]
    Checkpoint {
        /// The error of the decoder.
        source: postcard::Error,
    },
    /// A record of the log cannot be decoded.
    #[snafu(display("record {index} of the log cannot be decoded"))]
    Log {
        /// The position of the record in the log, from 0.
        index: usize,
        /// The error of the decoder.
        source: postcard::Error,
    },
}

/// The number of outcomes that are kept to detect duplicate commands.
const MAX_OUTCOMES: usize = 512;

/// A decided view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decided {
    /// The ballot of the decision.
    pub ballot: Ballot,
    /// The view.
    pub view: View,
}

/// A log record: one change of the durable state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DurableRecord {
    /// The acceptor state of this voter.
    AcceptorState(AcceptorState<View>),
    /// A newer view was decided.
    Decided(Decided),
    /// An entry is appended to the log.
    Entry(Entry),
    /// All entries up to this one are committed.
    Committed(u64),
    /// Entries after this one are removed from the log. They were not committed.
    Truncate(u64),
    /// A state transfer replaces ranges of the committed records. Log entries after its position are kept.
    Replace {
        /// The committed position after the transfer.
        position: u64,
        /// The new contents of the ranges.
        ranges: Vec<RangeContents>,
        /// The outcomes as of that position.
        outcomes: Vec<Outcome>,
    },
    /// The log contains all entries committed before this view, and will contain all entries committed in it.
    Complete(u64),
}

impl DurableRecord {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing to a growing vector never fails.
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// The durable state once all requested writes are complete.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DurableState {
    /// Identifies this durable state. A replica with an empty disk gets a new incarnation.
    pub incarnation: u64,
    /// The acceptor state of this voter.
    pub votes: AcceptorState<View>,
    /// The newest decided view known to this replica.
    pub decided: Decided,
    /// The view of the last [`DurableRecord::Complete`].
    pub complete_view: u64,
    /// The committed records.
    pub records: Records,
    /// The position of the committed records in the history.
    pub committed: u64,
    /// Consecutive entries after the committed ones.
    pub log: VecDeque<Entry>,
    /// The outcomes of the most recently committed commands.
    pub outcomes: VecDeque<Outcome>,
}

impl DurableState {
    /// Creates the state of a replica with an empty disk.
    pub fn fresh(settings: &ReplicaSettings, incarnation: u64) -> DurableState {
        let is_bootstrap_member = settings.bootstrap && settings.seeds.contains(&settings.endpoint);
        let view = if settings.bootstrap { View::bootstrap(&settings.seeds) } else { View::default() };
        DurableState {
            incarnation,
            votes: AcceptorState::default(),
            decided: Decided { ballot: Ballot::default(), view },
            complete_view: if is_bootstrap_member { BOOTSTRAP_VIEW } else { 0 },
            records: Records::default(),
            committed: 0,
            log: VecDeque::new(),
            outcomes: VecDeque::new(),
        }
    }

    /// Recovers the state from a checkpoint and the log after it.
    pub fn recover(
        settings: &ReplicaSettings,
        incarnation: u64,
        checkpoint: Option<&[u8]>,
        log: &[Vec<u8>],
    ) -> Result<DurableState, RecoverError> {
        let mut state = match checkpoint {
            Some(bytes) => postcard::from_bytes(bytes).context(CheckpointSnafu)?,
            None => DurableState::fresh(settings, incarnation),
        };
        for (index, bytes) in log.iter().enumerate() {
            let record: DurableRecord = postcard::from_bytes(bytes).context(LogSnafu { index })?;
            state.apply(record);
        }
        Ok(state)
    }

    /// Encodes the state as a checkpoint.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing to a growing vector never fails.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The sequence number of the newest entry, committed or not.
    pub fn last_sequence(&self) -> u64 {
        self.committed + self.log.len() as u64
    }

    /// Applies one log record.
    pub fn apply(&mut self, record: DurableRecord) {
        match record {
            DurableRecord::AcceptorState(votes) => self.votes = votes,
            DurableRecord::Decided(decided) => self.decided = decided,
            DurableRecord::Entry(entry) => {
                if entry.sequence == self.last_sequence() + 1 {
                    self.log.push_back(entry);
                }
            }
            DurableRecord::Committed(sequence) => self.commit(sequence),
            DurableRecord::Truncate(last) => self.log.retain(|entry| entry.sequence <= last),
            DurableRecord::Replace { position, ranges, outcomes } => {
                self.log.retain(|entry| entry.sequence > position);
                for range in ranges {
                    range.replace_in(&mut self.records);
                }
                self.committed = position;
                self.outcomes = outcomes.into();
            }
            DurableRecord::Complete(view) => self.complete_view = view,
        }
    }

    /// Commits the entries up to this sequence number.
    fn commit(&mut self, sequence: u64) {
        while self.committed < sequence {
            let Some(entry) = self.log.pop_front() else { return };
            self.committed = entry.sequence;
            self.records.apply(entry.sequence, &entry.writes);
            if self.outcomes.len() == MAX_OUTCOMES {
                self.outcomes.pop_front();
            }
            let Entry { sequence, answer, origin, .. } = entry;
            self.outcomes.push_back(Outcome { sequence, answer, origin });
        }
    }

    /// The log entries with sequence numbers after `after` and up to `up_to`.
    pub fn entries(&self, after: u64, up_to: u64) -> impl Iterator<Item = &Entry> {
        let is_in_range = move |entry: &&Entry| entry.sequence > after && entry.sequence <= up_to;
        self.log.iter().filter(is_in_range)
    }

    /// The entry with this sequence number, if it is in the log.
    pub fn entry(&self, sequence: u64) -> Option<&Entry> {
        let index = sequence.checked_sub(self.committed + 1)?;
        self.log.get(usize::try_from(index).ok()?)
    }

    /// Whether a command is in the log and not committed yet.
    pub fn is_pending(&self, origin: Origin) -> bool {
        self.log.iter().any(|entry| entry.origin == origin)
    }

    /// The kept outcome of a command.
    pub fn outcome(&self, origin: Origin) -> Option<&Outcome> {
        self.outcomes.iter().rev().find(|outcome| outcome.origin == origin)
    }

    /// Whether this voter has accepted a view after the one it knows to be decided. The accepted view may
    /// be decided too.
    pub fn has_accepted_another_view(&self) -> bool {
        self.votes.accepted.as_ref().is_some_and(|(ballot, _)| *ballot > self.decided.ballot)
    }

    /// Whether this voter has promised a higher ballot than that of the view it knows. It then no longer
    /// takes part in the chain of that view.
    pub fn is_fenced(&self) -> bool {
        self.votes.promised > self.decided.ballot
    }
}
