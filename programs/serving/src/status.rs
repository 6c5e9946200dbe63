//! Parses a controller's status and renders it for operators.

use std::fmt::Write;

use nanoserde::DeJson;
use snafu::{ResultExt, Snafu};

/// The fields of a controller's status that describe its replication state.
#[derive(Clone, Debug, Default, PartialEq, Eq, DeJson)]
pub struct Status {
    /// Name of the controller's node.
    pub node: String,
    /// 1 if the controller is in a quorum, otherwise 0.
    pub in_quorum: u64,
    /// The last committed sequence number.
    pub committed_sequence: u64,
    /// Generation of the active configuration.
    pub generation: u64,
    /// View number.
    pub view: u64,
    /// Members of the chain, head first.
    pub chain: Vec<String>,
    /// Members of the voter set.
    pub voters: Vec<String>,
}

/// A status that cannot be parsed.
#[derive(Debug, Snafu)]
#[snafu(display("{source}"))]
pub struct StatusError {
    source: nanoserde::DeJsonErr,
}

impl Status {
    /// Parses the JSON body of a controller's response. Unknown fields are ignored.
    pub fn parse(text: &str) -> Result<Status, StatusError> {
        DeJson::deserialize_json(text).context(StatusSnafu)
    }

    /// Renders the view as a table with one line per member, which shows its position in the chain.
    pub fn render_members(&self) -> String {
        let quorum_state = if self.in_quorum == 1 { "in a quorum" } else { "without a quorum" };
        let mut text =
            format!("{}: {quorum_state}, view {}, generation {}", self.node, self.view, self.generation);
        _ = write!(text, ", committed up to {}", self.committed_sequence);
        for voter in &self.voters {
            _ = write!(text, "\n{voter}  {}", self.chain_position(voter));
        }
        let learners = self.chain.iter().filter(|member| !self.voters.contains(member));
        for member in learners {
            _ = write!(text, "\n{member}  {}, no vote", self.chain_position(member));
        }
        text
    }

    fn chain_position(&self, member: &str) -> &'static str {
        let tail_index = self.chain.len().wrapping_sub(1);
        match self.chain.iter().position(|candidate| candidate == member) {
            None => "not in the chain",
            Some(0) if tail_index == 0 => "head and tail",
            Some(0) => "head",
            Some(position) if position == tail_index => "tail",
            Some(_) => "in the chain",
        }
    }
}
