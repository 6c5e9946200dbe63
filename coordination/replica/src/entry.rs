//! The data that passes through the chain: history entries and reads.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::application::Answer;
use crate::records::RecordWrite;

/// Identifies a submitted command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// The replica that the command was submitted to.
    pub endpoint: SocketAddr,
    /// The start ID of that replica's process. A restarted process reuses tickets.
    pub start_id: u64,
    /// The ticket of the command.
    pub ticket: u64,
}

/// The writes of one command at its position in the history.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The position in the history.
    pub sequence: u64,
    /// The view in which the head evaluated the command.
    pub view: u64,
    /// The writes of the command.
    pub writes: Vec<RecordWrite>,
    /// The answer to the command, sent once it is committed.
    pub answer: Answer,
    /// Identifies the submitted command.
    pub origin: Origin,
}

/// A command without writes, which is forwarded to the tail.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Read {
    /// The last entry that the read was evaluated on. That entry must be committed before the read is
    /// answered.
    pub after: u64,
    /// The answer to the read.
    pub answer: Answer,
    /// Identifies the submitted command.
    pub origin: Origin,
}

/// The answer to a committed command, kept so that a duplicate is not executed again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// The position of the command in the history.
    pub sequence: u64,
    /// The answer to the command.
    pub answer: Answer,
    /// Identifies the submitted command.
    pub origin: Origin,
}

impl Entry {
    /// The approximate size.
    pub fn size_bytes(&self) -> usize {
        let write_bytes = |write: &RecordWrite| write.key.len() + write.value.as_ref().map_or(0, Vec::len);
        let answer_bytes = match &self.answer {
            Answer::Value(value) => value.len(),
            Answer::Record(key) => key.len(),
        };
        ENTRY_OVERHEAD_BYTES + answer_bytes + self.writes.iter().map(write_bytes).sum::<usize>()
    }
}

/// The size of an entry without its writes and its answer.
const ENTRY_OVERHEAD_BYTES: usize = 64;
