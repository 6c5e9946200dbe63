//! The safety rules of the protocol as a type parameter, so that tests can replace one by a fault.

use crate::ballot::{Ballot, Voter};
use crate::register::RegisterValue;

/// The safety rules. The defaults are the correct ones; the model checker overrides one at a time by a fault.
pub trait ConsensusRules: Clone {
    /// Whether `votes` of `of` voters are a majority.
    fn is_majority(votes: usize, of: usize) -> bool {
        2 * votes > of
    }

    /// Whether `votes` of `of` voters decide, where the durable state of `lost` of the others is lost for good.
    ///
    /// A majority decides. So does half of an even number of voters, once all others are lost: half of the voters meets
    /// every majority, and it meets every half but the one that is lost (H. Howard, D. Malkhi and A. Spiegelman,
    /// "Flexible Paxos: Quorum intersection revisited", 2016: it suffices that the quorums of both phases meet).
    fn is_quorum(votes: usize, lost: usize, of: usize) -> bool {
        Self::is_majority(votes, of) || (2 * votes == of && votes + lost == of)
    }

    /// Whether a voter that has promised `promised` may accept a proposal of `ballot`.
    fn may_vote(promised: Ballot, ballot: Ballot) -> bool {
        ballot >= promised
    }

    /// Of the values that voters have accepted, the one that a new proposal must start from: that of the highest
    /// ballot (Paxos Made Simple, section 2.2, P2c).
    fn newest_accepted<'a, V>(accepted: impl Iterator<Item = &'a (Ballot, V)>) -> Option<&'a V> {
        accepted.max_by_key(|(ballot, _)| *ballot).map(|(_, value)| value)
    }

    /// The voter sets whose majorities must accept `proposed`, a change of the `prepared` value: those of both (Raft,
    /// section 6).
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

/// The correct rules, which the program runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StandardConsensusRules;

impl ConsensusRules for StandardConsensusRules {}
