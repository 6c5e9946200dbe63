//! The interface of the application, which evaluates the replicated commands.

use serde::{Deserialize, Serialize};

use crate::records::{RecordWrite, Records};

/// Evaluates commands into writes and answers.
pub trait Application {
    /// Evaluates a command at the head of the chain. `records` include the writes of all earlier commands.
    fn evaluate(&self, records: &Records, command: &[u8]) -> Evaluation;
}

/// The result of evaluating a command.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evaluation {
    /// The writes of the command; empty for a read.
    pub writes: Vec<RecordWrite>,
    /// The answer to the command.
    pub answer: Answer,
}

/// The answer to a command, sent once the command is committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// Fixed bytes.
    Value(Vec<u8>),
    /// The value that the record with this key has when the answer is sent; empty if the record does not
    /// exist.
    Record(String),
}

impl Default for Answer {
    fn default() -> Self {
        Answer::Value(Vec::new())
    }
}

impl Answer {
    /// The bytes of the answer, given the committed records.
    pub fn resolve(&self, records: &Records) -> Vec<u8> {
        match self {
            Answer::Value(value) => value.clone(),
            Answer::Record(key) => records.get(key).map(|record| record.value.to_vec()).unwrap_or_default(),
        }
    }
}
