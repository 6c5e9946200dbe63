//! The application that a replica is embedded in: it gives commands their meaning.

use serde::{Deserialize, Serialize};

use crate::records::{RecordWrite, Records};

/// Evaluates commands into writes and answers.
pub trait Application {
    /// Evaluates a command at the head of the chain, on records with the writes of all commands before it.
    fn evaluate(&self, records: &Records, command: &[u8]) -> Evaluation;
}

/// What a command writes and answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evaluation {
    /// Its writes; empty for a read.
    pub writes: Vec<RecordWrite>,
    /// Its answer.
    pub answer: Answer,
}

/// The answer to a command, once it is committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// These bytes.
    Value(Vec<u8>),
    /// The value of the record with this key when the answer is sent; empty if there is none.
    Record(String),
}

impl Default for Answer {
    fn default() -> Self {
        Answer::Value(Vec::new())
    }
}

impl Answer {
    /// The bytes of the answer, with these records.
    pub fn resolve(&self, records: &Records) -> Vec<u8> {
        match self {
            Answer::Value(value) => value.clone(),
            Answer::Record(key) => records.get(key).map(|record| record.value.to_vec()).unwrap_or_default(),
        }
    }
}
