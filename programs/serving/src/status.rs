//! Parses a controller's status and renders it for operators.

use std::fmt::Write;

use nanoserde::DeJson;
use snafu::{ResultExt, Snafu};

/// The fields of a controller's status that describe the replication.
#[derive(Clone, Debug, Default, PartialEq, Eq, DeJson)]
pub struct Status {
    /// Name of the controller's node.
    pub node: String,
    /// 1 while the controller is in a quorum, else 0.
    pub in_quorum: u64,
    /// The last committed sequence number.
    pub committed_sequence: u64,
    /// Generation of the configuration in force.
    pub generation: u64,
    /// Number of the view.
    pub view: u64,
    /// Members of the chain, head first.
    pub chain: Vec<String>,
    /// Members of the voter set.
    pub voters: Vec<String>,
}

/// A status that can't be parsed.
#[derive(Debug, Snafu)]
#[snafu(display("{source}"))]
pub struct StatusError {
    source: nanoserde::DeJsonErr,
}

impl Status {
    /// Parses the JSON of a controller's answer; unknown fields are ignored.
    pub fn parse(text: &str) -> Result<Status, StatusError> {
        DeJson::deserialize_json(text).context(StatusSnafu)
    }

    /// The view as a table: one line for each member, with its position in the chain.
    pub fn render_members(&self) -> String {
        let quorum = if self.in_quorum == 1 { "in a quorum" } else { "without a quorum" };
        let mut text = format!("{}: {quorum}, view {}, generation {}", self.node, self.view, self.generation);
        _ = write!(text, ", committed up to {}", self.committed_sequence);
        for voter in &self.voters {
            _ = write!(text, "\n{voter}  {}", self.position(voter));
        }
        let learners = self.chain.iter().filter(|member| !self.voters.contains(member));
        for member in learners {
            _ = write!(text, "\n{member}  {}, no vote", self.position(member));
        }
        text
    }

    fn position(&self, member: &str) -> &'static str {
        let last = self.chain.len().wrapping_sub(1);
        match self.chain.iter().position(|link| link == member) {
            None => "not in the chain",
            Some(0) if last == 0 => "head and tail",
            Some(0) => "head",
            Some(position) if position == last => "tail",
            Some(_) => "in the chain",
        }
    }
}
