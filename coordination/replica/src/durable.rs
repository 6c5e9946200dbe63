//! What a replica must not forget: a state, and the records that change it step by step.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use whinspindle_consensus::{AcceptorState, Ballot};

use crate::entry::{Entry, Origin, Outcome};
use crate::records::Records;
use crate::settings::ReplicaSettings;
use crate::transfer::RangeContents;
use crate::view::{BOOTSTRAP_VIEW, View};

/// What the shell makes durable; once it is, the replica is told by [`crate::Input::Persisted`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DurableWrite {
    /// Records to append to the log.
    Append(Vec<Vec<u8>>),
    /// The whole state; the log starts anew after it.
    Checkpoint(Vec<u8>),
}

/// The disk holds something that this program can't read.
#[derive(Debug, Snafu)]
pub enum RecoverError {
    #[snafu(display("the checkpoint can't be read"))]
    Checkpoint { source: postcard::Error },
    #[snafu(display("record {index} of the log can't be read"))]
    Log { index: usize, source: postcard::Error },
}

/// Outcomes that are kept to recognise a command that is submitted again.
const MAX_OUTCOMES: usize = 512;

/// A view and the ballot that it was agreed on with.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decided {
    pub ballot: Ballot,
    pub view: View,
}

/// One step of the durable state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DurableRecord {
    AcceptorState(AcceptorState<View>),
    Decided(Decided),
    Entry(Entry),
    /// All entries up to this one are committed.
    Committed(u64),
    /// Entries after this one are dropped from the log; they were not committed.
    Truncate(u64),
    /// Ranges of the committed records are replaced, which brings them to this position. Entries after it stay.
    Replace {
        position: u64,
        ranges: Vec<RangeContents>,
        outcomes: Vec<Outcome>,
    },
    /// The log holds all that was committed before this view, and what will be in it is added.
    Complete(u64),
}

impl DurableRecord {
    pub fn encode(&self) -> Vec<u8> {
        // Writing to a growing vector never fails.
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// The durable state as it will be once all records handed out are written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DurableState {
    pub incarnation: u64,
    pub votes: AcceptorState<View>,
    pub decided: Decided,
    /// The last view with a [`DurableRecord::Complete`].
    pub complete: u64,
    /// The committed records and their position in the history.
    pub records: Records,
    pub committed: u64,
    /// Entries after the committed ones, without gaps.
    pub log: VecDeque<Entry>,
    pub outcomes: VecDeque<Outcome>,
}

impl DurableState {
    /// The state of a replica with an empty disk.
    pub fn fresh(settings: &ReplicaSettings, incarnation: u64) -> DurableState {
        let founds = settings.bootstrap && settings.seeds.contains(&settings.endpoint);
        let view = if settings.bootstrap { View::bootstrap(&settings.seeds) } else { View::default() };
        DurableState {
            incarnation,
            votes: AcceptorState::default(),
            decided: Decided { ballot: Ballot::default(), view },
            complete: if founds { BOOTSTRAP_VIEW } else { 0 },
            records: Records::default(),
            committed: 0,
            log: VecDeque::new(),
            outcomes: VecDeque::new(),
        }
    }

    /// The state that a checkpoint and the log after it tell of.
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

    pub fn encode(&self) -> Vec<u8> {
        // Writing to a growing vector never fails.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The sequence of the newest entry.
    pub fn last(&self) -> u64 {
        self.committed + self.log.len() as u64
    }

    pub fn apply(&mut self, record: DurableRecord) {
        match record {
            DurableRecord::AcceptorState(votes) => self.votes = votes,
            DurableRecord::Decided(decided) => self.decided = decided,
            DurableRecord::Entry(entry) => {
                if entry.sequence == self.last() + 1 {
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
            DurableRecord::Complete(view) => self.complete = view,
        }
    }

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

    /// Entries after this sequence up to another, as far as they are in the log.
    pub fn entries(&self, after: u64, up_to: u64) -> impl Iterator<Item = &Entry> {
        let wanted = move |entry: &&Entry| entry.sequence > after && entry.sequence <= up_to;
        self.log.iter().filter(wanted)
    }

    /// The entry with this sequence, if it is in the log.
    pub fn entry(&self, sequence: u64) -> Option<&Entry> {
        let index = sequence.checked_sub(self.committed + 1)?;
        self.log.get(usize::try_from(index).ok()?)
    }

    pub fn is_pending(&self, origin: Origin) -> bool {
        self.log.iter().any(|entry| entry.origin == origin)
    }

    pub fn outcome(&self, origin: Origin) -> Option<&Outcome> {
        self.outcomes.iter().rev().find(|outcome| outcome.origin == origin)
    }

    /// Whether a vote binds this replica to a newer view than the one that it knows as agreed on.
    pub fn is_fenced(&self) -> bool {
        self.votes.promised > self.decided.ballot
    }
}
