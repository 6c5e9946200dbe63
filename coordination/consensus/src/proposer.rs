//! The proposer: one proposal through both phases.

use std::collections::{BTreeMap, BTreeSet};

use crate::ballot::{Ballot, Voter};
use crate::register::RegisterValue;
use crate::rules::ConsensusRules;

/// One proposal: promises are collected first, then acceptances of the value that is proposed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round<V> {
    /// The number of this proposal.
    pub ballot: Ballot,
    /// The newest value that the proposer knows to be chosen, or the one before the first that is.
    known: V,
    /// What each voter had accepted when it promised.
    promises: BTreeMap<Voter, Option<(Ballot, V)>>,
    /// Voters whose durable state is lost for good: they will neither promise nor accept.
    lost: BTreeSet<Voter>,
    /// Any number of voters decides once all others are lost, see [`Round::force`].
    is_forced: bool,
    /// The proposed value, and the voter sets whose majorities must accept it.
    proposed: Option<(V, Vec<Vec<Voter>>)>,
    /// Voters that have accepted the proposed value.
    votes: BTreeSet<Voter>,
}

impl<V: RegisterValue> Round<V> {
    /// Starts a proposal. `known` is the newest value that the proposer knows to be chosen, or the one that stands
    /// before the first that is.
    pub fn new(ballot: Ballot, known: V) -> Self {
        Round {
            ballot,
            known,
            promises: BTreeMap::new(),
            lost: BTreeSet::new(),
            is_forced: false,
            proposed: None,
            votes: BTreeSet::new(),
        }
    }

    /// Takes in a promise, with what the voter had accepted by then.
    pub fn record_promise(&mut self, voter: Voter, accepted: Option<(Ballot, V)>) {
        self.promises.insert(voter, accepted);
    }

    /// Takes in that the durable state of a voter is lost for good, as the process that took its place has answered to
    /// this ballot.
    pub fn record_lost(&mut self, voter: Voter) {
        self.lost.insert(voter);
    }

    /// Has any number of voters decide once all others are lost, fewer than half too. A value that was chosen by those that
    /// are lost may be contradicted: only an operator can answer for that.
    pub fn force(&mut self) {
        self.is_forced = true;
    }

    /// Whether those of a voter set that have voted decide, given the voters that are lost.
    fn has_quorum<Rules: ConsensusRules>(
        &self,
        voter_set: &[Voter],
        has_voted: impl Fn(&Voter) -> bool,
    ) -> bool {
        let votes = voter_set.iter().filter(|voter| has_voted(voter)).count();
        let lost = voter_set.iter().filter(|voter| !has_voted(voter) && self.lost.contains(voter)).count();
        let is_all = votes > 0 && votes + lost == voter_set.len();
        Rules::is_quorum(votes, lost, voter_set.len()) || (self.is_forced && is_all)
    }

    /// The newest value that may have been chosen, by the promises so far.
    fn newest_value<Rules: ConsensusRules>(&self) -> &V {
        let accepted = self.promises.values().flatten();
        let of_epoch = accepted.filter(|(ballot, _)| ballot.epoch == self.ballot.epoch);
        Rules::newest_accepted(of_epoch).unwrap_or(&self.known)
    }

    /// The value that a change has to start from; `None` until enough voters have promised.
    pub fn prepared_value<Rules: ConsensusRules>(&self) -> Option<&V> {
        let newest = self.newest_value::<Rules>();
        let has_promised = |voter: &Voter| self.promises.contains_key(voter);
        if !newest.is_bootstrapped() {
            return newest.voter_sets().iter().flatten().all(has_promised).then_some(newest);
        }
        let known_voter_sets =
            self.known.is_bootstrapped().then(|| self.known.voter_sets()).into_iter().flatten();
        let is_prepared = |voter_set: &Vec<Voter>| self.has_quorum::<Rules>(voter_set, has_promised);
        known_voter_sets.chain(newest.voter_sets()).all(is_prepared).then_some(newest)
    }

    /// The voters whose promise is still missing. Some are learned only from what other voters have accepted.
    pub fn awaiting_promise<Rules: ConsensusRules>(&self) -> BTreeSet<Voter> {
        let newest = self.newest_value::<Rules>();
        let voters = self.known.voter_sets().iter().chain(newest.voter_sets()).flatten();
        let is_awaited = |voter: &&Voter| !self.promises.contains_key(voter) && !self.lost.contains(voter);
        voters.filter(is_awaited).copied().collect()
    }

    /// Whether the second phase has begun.
    pub fn is_proposing(&self) -> bool {
        self.proposed.is_some()
    }

    /// Begins the second phase with a value; returns the voters to send it to.
    pub fn propose<Rules: ConsensusRules>(&mut self, value: V) -> BTreeSet<Voter> {
        let voter_sets = Rules::voter_sets_to_write(self.newest_value::<Rules>(), &value);
        let voters = voter_sets.iter().flatten().copied().collect();
        self.proposed = Some((value, voter_sets));
        voters
    }

    /// Takes in that a voter has accepted the proposed value; returns the value once it is chosen.
    pub fn record_vote<Rules: ConsensusRules>(&mut self, voter: Voter) -> Option<&V> {
        self.votes.insert(voter);
        let (value, voter_sets) = self.proposed.as_ref()?;
        voter_sets
            .iter()
            .all(|voter_set| self.has_quorum::<Rules>(voter_set, |voter| self.votes.contains(voter)))
            .then_some(value)
    }

    /// The proposed value and the voters that have not accepted it yet; `None` before the second phase.
    pub fn awaiting_vote(&self) -> Option<(&V, BTreeSet<Voter>)> {
        let (value, voter_sets) = self.proposed.as_ref()?;
        let missing = voter_sets.iter().flatten().filter(|voter| !self.votes.contains(voter)).copied();
        Some((value, missing.collect()))
    }
}
