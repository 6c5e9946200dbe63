//! Identities of voters and of proposals.

use serde::{Deserialize, Serialize};

/// A voter, identified together with its durable state.
///
/// A member that restarts without its durable state draws a new incarnation and is another voter, so it cannot vote as
/// if it remembered its earlier promises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// The number of the member in the configuration.
    pub member: u16,
    /// Identifies the durable state that the member votes with.
    pub incarnation: u64,
}

/// The number of a proposal, never used twice. Ballots are ordered by their fields, the first one first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The bootstrap that the proposal belongs to. A value accepted in an earlier epoch does not bind a later one.
    pub epoch: u64,
    /// The round within the epoch.
    pub round: u64,
    /// The member that proposes.
    pub member: u16,
    /// Drawn at each start of the proposing process, so that a restart does not use a number again.
    pub start_id: u64,
}
