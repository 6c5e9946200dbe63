//! What passes the chain: entries of the history and reads.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::application::Answer;
use crate::records::RecordWrite;

/// Identifies a submitted command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// The replica that it was submitted to.
    pub endpoint: SocketAddr,
    /// The start of the process there: tickets are used again after another start.
    pub start_id: u64,
    /// The ticket that it was submitted with.
    pub ticket: u64,
}

/// The writes of one command at its position in the history.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// That position.
    pub sequence: u64,
    /// The view in which the head has evaluated the command.
    pub view: u64,
    /// What it writes.
    pub writes: Vec<RecordWrite>,
    /// What it answers once it is committed.
    pub answer: Answer,
    /// Where it was submitted.
    pub origin: Origin,
}

/// A command without writes on its way to the tail.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Read {
    /// The last entry that it was evaluated on, which must be committed before it is answered.
    pub after: u64,
    /// What it answers.
    pub answer: Answer,
    /// Where it was submitted.
    pub origin: Origin,
}

/// The answer to a committed command, kept so that a duplicate is not executed again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// The position of the command in the history.
    pub sequence: u64,
    /// What it answered.
    pub answer: Answer,
    /// Where it was submitted.
    pub origin: Origin,
}

impl Entry {
    /// The approximate size in bytes.
    pub fn size(&self) -> usize {
        let write = |write: &RecordWrite| write.key.len() + write.value.as_ref().map_or(0, Vec::len);
        let answer = match &self.answer {
            Answer::Value(value) => value.len(),
            Answer::Record(key) => key.len(),
        };
        ENTRY_OVERHEAD + answer + self.writes.iter().map(write).sum::<usize>()
    }
}

/// Bytes of an entry besides its writes and its answer.
const ENTRY_OVERHEAD: usize = 64;
