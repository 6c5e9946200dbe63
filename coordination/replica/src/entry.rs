//! What passes the chain: entries of the history and reads.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::application::Answer;
use crate::records::RecordWrite;

/// Where and as what a command was submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    pub endpoint: SocketAddr,
    /// The start of the process there: tickets are not the same after another start.
    pub start: u64,
    pub ticket: u64,
}

/// One command's writes at its position in the history.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub sequence: u64,
    /// The view in which the head took the command.
    pub view: u64,
    pub writes: Vec<RecordWrite>,
    pub answer: Answer,
    pub origin: Origin,
}

/// A command without writes on its way to the tail.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Read {
    /// The last entry that the command was evaluated on; it must be committed first.
    pub after: u64,
    pub answer: Answer,
    pub origin: Origin,
}

/// What a committed command was answered, kept for a while so that a command sent twice is not done twice.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    pub sequence: u64,
    pub answer: Answer,
    pub origin: Origin,
}

impl Entry {
    /// About how many bytes it takes.
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
