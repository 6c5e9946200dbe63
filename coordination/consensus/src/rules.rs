//! The safety rules of the protocol as a type parameter, so that tests can inject a faulty rule.

use crate::ballot::{Ballot, Voter};
use crate::register::RegisterValue;

/// The safety rules. The default methods are correct; the model checker overrides one at a time with a
/// faulty rule.
pub trait ConsensusRules: Clone {
    /// Whether `votes` are a majority of `voters`.
    fn is_majority(votes: usize, voters: usize) -> bool {
        2 * votes > voters
    }

    /// Whether `votes` of `voters` are a quorum, where the durable state of `lost` other voters is
    /// permanently lost.
    ///
    /// A majority is a quorum. Half of an even number of voters is also a quorum once all others are lost.
    /// It intersects every majority and every half except the lost one, and it suffices that the quorums of
    /// both phases intersect (H. Howard, D. Malkhi and A. Spiegelman, "Flexible Paxos: Quorum intersection
    /// revisited", 2016).
    fn is_quorum(votes: usize, lost: usize, voters: usize) -> bool {
        Self::is_majority(votes, voters) || (2 * votes == voters && votes + lost == voters)
    }

    /// Whether a voter that has promised `promised` may accept a proposal with `ballot`.
    fn may_vote(promised: Ballot, ballot: Ballot) -> bool {
        ballot >= promised
    }

    /// The accepted value with the highest ballot, which a new proposal must start from (Paxos Made Simple,
    /// section 2.2, P2c).
    fn newest_accepted<'a, V>(accepted: impl Iterator<Item = &'a (Ballot, V)>) -> Option<&'a V> {
        accepted.max_by_key(|(ballot, _)| *ballot).map(|(_, value)| value)
    }

    /// The voter sets whose quorums must accept `proposed`, a change of the `prepared` value. They are the
    /// voter sets of both values (Raft, section 6).
    fn voter_sets_to_write<V: RegisterValue>(prepared: &V, proposed: &V) -> Vec<Vec<Voter>> {
        let mut voter_sets = prepared.voter_sets().to_vec();
        for voter_set in proposed.voter_sets() {
            if !voter_sets.contains(voter_set) {
                voter_sets.push(voter_set.clone());
            }
        }
        voter_sets
    }
}

/// The correct rules, used in production.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StandardConsensusRules;

impl ConsensusRules for StandardConsensusRules {}
