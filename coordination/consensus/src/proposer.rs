//! The proposer: drives one proposal through both phases.

use std::collections::{BTreeMap, BTreeSet};

use crate::ballot::{Ballot, Voter};
use crate::register::RegisterValue;
use crate::rules::ConsensusRules;

/// One proposal. It first collects promises, then acceptances of the proposed value.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round<V> {
    /// The ballot of this proposal.
    pub ballot: Ballot,
    /// The newest value that the proposer knows to be chosen, or the initial value if it knows of none.
    newest_known: V,
    /// The value and ballot that each voter had accepted when it promised.
    promises: BTreeMap<Voter, Option<(Ballot, V)>>,
    /// Voters whose durable state is permanently lost. They can neither promise nor accept.
    lost: BTreeSet<Voter>,
    /// Any number of voters is a quorum once all others are lost, see [`Round::force`].
    is_forced: bool,
    /// The proposed value and the voter sets whose quorums must accept it.
    proposed: Option<(V, Vec<Vec<Voter>>)>,
    /// Voters that have accepted the proposed value.
    votes: BTreeSet<Voter>,
}

impl<V: RegisterValue> Round<V> {
    /// Starts a proposal. `newest_known` is the newest value that the proposer knows to be chosen, or the
    /// initial value if it knows of none.
    pub fn new(ballot: Ballot, newest_known: V) -> Self {
        Round {
            ballot,
            newest_known,
            promises: BTreeMap::new(),
            lost: BTreeSet::new(),
            is_forced: false,
            proposed: None,
            votes: BTreeSet::new(),
        }
    }

    /// Records a promise and the value that the voter had accepted by then.
    pub fn record_promise(&mut self, voter: Voter, accepted: Option<(Ballot, V)>) {
        self.promises.insert(voter, accepted);
    }

    /// Records that the durable state of a voter is permanently lost, as reported for this ballot by the
    /// process that replaced it.
    pub fn record_lost(&mut self, voter: Voter) {
        self.lost.insert(voter);
    }

    /// Lets any number of voters decide once all others are lost, even fewer than half. The decision may
    /// contradict a value that the lost voters have chosen, so only an operator may request this.
    pub fn force(&mut self) {
        self.is_forced = true;
    }

    /// Whether the voters that have voted are a quorum of a voter set, given the lost voters.
    fn has_quorum<Rules: ConsensusRules>(
        &self,
        voter_set: &[Voter],
        has_voted: impl Fn(&Voter) -> bool,
    ) -> bool {
        let votes = voter_set.iter().filter(|voter| has_voted(voter)).count();
        let lost = voter_set.iter().filter(|voter| !has_voted(voter) && self.lost.contains(voter)).count();
        let are_others_lost = votes > 0 && votes + lost == voter_set.len();
        Rules::is_quorum(votes, lost, voter_set.len()) || (self.is_forced && are_others_lost)
    }

    /// The newest value that may have been chosen, according to the promises so far.
    fn newest_value<Rules: ConsensusRules>(&self) -> &V {
        let accepted = self.promises.values().flatten();
        let in_epoch = accepted.filter(|(ballot, _)| ballot.epoch == self.ballot.epoch);
        Rules::newest_accepted(in_epoch).unwrap_or(&self.newest_known)
    }

    /// The value to which a change must be applied; `None` until enough voters have promised.
    pub fn prepared_value<Rules: ConsensusRules>(&self) -> Option<&V> {
        let newest = self.newest_value::<Rules>();
        let has_promised = |voter: &Voter| self.promises.contains_key(voter);
        if !newest.is_bootstrapped() {
            return newest.voter_sets().iter().flatten().all(has_promised).then_some(newest);
        }
        let known_voter_sets =
            self.newest_known.is_bootstrapped().then(|| self.newest_known.voter_sets()).into_iter().flatten();
        let is_prepared = |voter_set: &Vec<Voter>| self.has_quorum::<Rules>(voter_set, has_promised);
        known_voter_sets.chain(newest.voter_sets()).all(is_prepared).then_some(newest)
    }

    /// The voters whose promise is still missing. Accepted values in promises may add voters.
    pub fn awaiting_promise<Rules: ConsensusRules>(&self) -> BTreeSet<Voter> {
        let newest = self.newest_value::<Rules>();
        let voters = self.newest_known.voter_sets().iter().chain(newest.voter_sets()).flatten();
        let is_awaited = |voter: &&Voter| !self.promises.contains_key(voter) && !self.lost.contains(voter);
        voters.filter(is_awaited).copied().collect()
    }

    /// Whether the second phase has begun.
    pub fn is_proposing(&self) -> bool {
        self.proposed.is_some()
    }

    /// Begins the second phase with a value. Returns the voters to send it to.
    pub fn propose<Rules: ConsensusRules>(&mut self, value: V) -> BTreeSet<Voter> {
        let voter_sets = Rules::voter_sets_to_write(self.newest_value::<Rules>(), &value);
        let voters = voter_sets.iter().flatten().copied().collect();
        self.proposed = Some((value, voter_sets));
        voters
    }

    /// Records that a voter has accepted the proposed value. Returns the value once it is chosen.
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
