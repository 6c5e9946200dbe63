//! A controller's status as an operator reads it.

use std::fmt::Write;

use nanoserde::DeJson;
use snafu::{ResultExt, Snafu};

/// The fields of a controller's status that say who replicates.
#[derive(Clone, Debug, Default, PartialEq, Eq, DeJson)]
pub struct Status {
    pub node: String,
    pub in_quorum: u64,
    pub committed_sequence: u64,
    pub generation: u64,
    pub view: u64,
    /// Head first.
    pub chain: Vec<String>,
    pub voters: Vec<String>,
}

/// A status that can't be read.
#[derive(Debug, Snafu)]
#[snafu(display("{source}"))]
pub struct StatusError {
    source: nanoserde::DeJsonErr,
}

impl Status {
    /// Reads the JSON that a controller answers; fields that are not of this view are skipped.
    pub fn parse(text: &str) -> Result<Status, StatusError> {
        DeJson::deserialize_json(text).context(StatusSnafu)
    }

    /// The view as a table: one line for each voter, with its place in the chain.
    pub fn members(&self) -> String {
        let quorum = if self.in_quorum == 1 { "in a quorum" } else { "without a quorum" };
        let mut text = format!("{}: {quorum}, view {}, generation {}", self.node, self.view, self.generation);
        _ = write!(text, ", committed up to {}", self.committed_sequence);
        for voter in &self.voters {
            _ = write!(text, "\n{voter}  {}", self.place(voter));
        }
        let learners = self.chain.iter().filter(|member| !self.voters.contains(member));
        for member in learners {
            _ = write!(text, "\n{member}  {}, no vote", self.place(member));
        }
        text
    }

    fn place(&self, member: &str) -> &'static str {
        let last = self.chain.len().wrapping_sub(1);
        match self.chain.iter().position(|link| link == member) {
            None => "not in the chain",
            Some(0) if last == 0 => "head and tail",
            Some(0) => "head",
            Some(place) if place == last => "tail",
            Some(_) => "in the chain",
        }
    }
}
