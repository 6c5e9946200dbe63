//! What the records mean: commands are evaluated by the application that embeds the replica.

use serde::{Deserialize, Serialize};

use crate::records::{RecordWrite, Records};

/// Turns commands into writes and answers.
pub trait Application {
    /// Called at the head of the chain, on records with all writes before this command in place.
    fn evaluate(&self, records: &Records, command: &[u8]) -> Evaluation;
}

/// What a command does and what its caller is told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evaluation {
    /// Empty for a read.
    pub writes: Vec<RecordWrite>,
    pub answer: Answer,
}

/// What the caller is told once the command is committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    Value(Vec<u8>),
    /// The value that this record has where the answer is made; empty if there is none.
    Record(String),
}

impl Default for Answer {
    fn default() -> Self {
        Answer::Value(Vec::new())
    }
}
