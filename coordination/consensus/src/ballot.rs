//! Identities of voters and of proposals.

use serde::{Deserialize, Serialize};

/// A voter, identified together with its durable state.
///
/// A member that restarts without its durable state draws a new incarnation and counts as a different
/// voter, because it no longer remembers its earlier promises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// The number of the member in the configuration.
    pub member: u16,
    /// Identifies the durable state of the member.
    pub incarnation: u64,
}

/// The unique number of a proposal. Ballots are compared field by field, in the order of declaration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The number of the bootstrap that the proposal belongs to. A value accepted in an earlier epoch does
    /// not bind a later one.
    pub epoch: u64,
    /// The round within the epoch.
    pub round: u64,
    /// The number of the proposing member.
    pub member: u16,
    /// Drawn at random at each start of the proposing process, so that a restarted process never reuses a
    /// ballot.
    pub start_id: u64,
}
