//! One value that a few voters agree on, changed step by step: the register of CASPaxos (D. Rystsov, "CASPaxos:
//! Replicated State Machines without logs", arXiv:1802.07000), which is Paxos (L. Lamport, "Paxos Made Simple",
//! 2001) whose proposer writes a change of what it found. Voters are replaced by joint majorities, as in
//! section 6 of D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014. No
//! I/O, no clock, no chance: messages and their order are the caller's.

#![allow(missing_docs, reason = "not every public item is documented yet")]

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// A voter and its memory. One that comes back without its memory has a new incarnation and is another voter, so that
/// it can't vote as if it remembered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    pub member: u16,
    pub incarnation: u64,
}

/// The number of a round, never used twice: `start` is drawn anew at each start of the member. A later epoch is a
/// later bootstrap: what was voted for in one before binds nobody in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub epoch: u64,
    pub round: u64,
    pub member: u16,
    pub start: u64,
}

/// What is agreed on.
pub trait RegisterValue: Clone {
    /// Who votes: a majority of each voter_set counts. Two voter_sets stand while voters are replaced.
    fn voter_sets(&self) -> &[Vec<Voter>];
    /// Whether it was ever agreed on. What comes before the first agreement needs the promise of every voter, so
    /// that two beginnings with a voter of another incarnation between them still meet in the others.
    fn is_bootstrapped(&self) -> bool;
}

/// What the rules of counting are. The defaults are what the program runs; the lab plants faults in their place.
pub trait ConsensusRules: Clone {
    fn is_majority(votes: usize, of: usize) -> bool {
        2 * votes > of
    }

    /// Whether a ballot may be voted for after this promise.
    fn may_vote(promised: Ballot, ballot: Ballot) -> bool {
        ballot >= promised
    }

    /// Of what voters have accepted, what a new round has to start from.
    fn newest_accepted<'a, V>(accepted: impl Iterator<Item = &'a (Ballot, V)>) -> Option<&'a V> {
        accepted.max_by_key(|(ballot, _)| *ballot).map(|(_, value)| value)
    }

    /// The voter_sets whose majorities a write needs, by what was found and what is proposed.
    fn voter_sets_to_write<V: RegisterValue>(found: &V, proposed: &V) -> Vec<Vec<Voter>> {
        let mut voter_sets = found.voter_sets().to_vec();
        for voter_set in proposed.voter_sets() {
            if !voter_sets.contains(voter_set) {
                voter_sets.push(voter_set.clone());
            }
        }
        voter_sets
    }
}

/// The rules as the program keeps them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StandardConsensusRules;
impl ConsensusRules for StandardConsensusRules {}

/// What a voter must not forget. Its owner makes it durable before the answer goes out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorState<V> {
    pub promised: Ballot,
    pub accepted: Option<(Ballot, V)>,
}

impl<V> Default for AcceptorState<V> {
    fn default() -> Self {
        AcceptorState { promised: Ballot::default(), accepted: None }
    }
}

impl<V: RegisterValue> AcceptorState<V> {
    /// Promises to vote for nothing older; else what was promised already.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<(), Ballot> {
        if ballot < self.promised {
            return Err(self.promised);
        }
        self.promised = ballot;
        Ok(())
    }

    /// AcceptorState for the value; else what was promised already.
    pub fn accept<L: ConsensusRules>(&mut self, ballot: Ballot, value: V) -> Result<(), Ballot> {
        if !L::may_vote(self.promised, ballot) {
            return Err(self.promised);
        }
        self.promised = ballot;
        self.accepted = Some((ballot, value));
        Ok(())
    }
}

/// A round of one proposer: promises are collected, then votes for what it writes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round<V> {
    pub ballot: Ballot,
    known: V,
    promises: BTreeMap<Voter, Option<(Ballot, V)>>,
    proposed: Option<(V, Vec<Vec<Voter>>)>,
    votes: BTreeSet<Voter>,
}

fn has_majority<L: ConsensusRules>(voter_set: &[Voter], has: impl Fn(&Voter) -> bool) -> bool {
    L::is_majority(voter_set.iter().filter(|voter| has(voter)).count(), voter_set.len())
}

impl<V: RegisterValue> Round<V> {
    /// `known` is what the proposer knows to be agreed, or what comes before the first agreement.
    pub fn new(ballot: Ballot, known: V) -> Self {
        Round { ballot, known, promises: BTreeMap::new(), proposed: None, votes: BTreeSet::new() }
    }

    pub fn record_promise(&mut self, voter: Voter, accepted: Option<(Ballot, V)>) {
        self.promises.insert(voter, accepted);
    }

    /// The newest value that can have been agreed on, known once enough have promised.
    fn newest_value<L: ConsensusRules>(&self) -> &V {
        let accepted = self.promises.values().flatten();
        let of_epoch = accepted.filter(|(ballot, _)| ballot.epoch == self.ballot.epoch);
        L::newest_accepted(of_epoch).unwrap_or(&self.known)
    }

    /// What a change has to start from; none while promises are missing.
    pub fn prepared_value<L: ConsensusRules>(&self) -> Option<&V> {
        let newest = self.newest_value::<L>();
        let promised = |voter: &Voter| self.promises.contains_key(voter);
        let enough = |voter_set: &Vec<Voter>| has_majority::<L>(voter_set, promised);
        if !newest.is_bootstrapped() {
            return newest.voter_sets().iter().flatten().all(promised).then_some(newest);
        }
        let known = self.known.is_bootstrapped().then(|| self.known.voter_sets()).into_iter().flatten();
        known.chain(newest.voter_sets()).all(enough).then_some(newest)
    }

    /// The voters whose promise could still be of use: some are known only by what others have accepted.
    pub fn awaiting_promise<L: ConsensusRules>(&self) -> BTreeSet<Voter> {
        let of = self.known.voter_sets().iter().chain(self.newest_value::<L>().voter_sets()).flatten();
        of.filter(|voter| !self.promises.contains_key(voter)).copied().collect()
    }

    pub fn is_proposing(&self) -> bool {
        self.proposed.is_some()
    }

    /// Writes the value; returns whom to ask for a vote.
    pub fn propose<L: ConsensusRules>(&mut self, value: V) -> BTreeSet<Voter> {
        let voter_sets = L::voter_sets_to_write(self.newest_value::<L>(), &value);
        let voters = voter_sets.iter().flatten().copied().collect();
        self.proposed = Some((value, voter_sets));
        voters
    }

    /// A voter has accepted what is proposed; returns that once it is agreed on.
    pub fn record_vote<L: ConsensusRules>(&mut self, voter: Voter) -> Option<&V> {
        self.votes.insert(voter);
        let (value, voter_sets) = self.proposed.as_ref()?;
        voter_sets
            .iter()
            .all(|voter_set| has_majority::<L>(voter_set, |voter| self.votes.contains(voter)))
            .then_some(value)
    }

    /// What is proposed, for those that have not voted yet.
    pub fn awaiting_vote(&self) -> Option<(&V, BTreeSet<Voter>)> {
        let (value, voter_sets) = self.proposed.as_ref()?;
        let missing = voter_sets.iter().flatten().filter(|voter| !self.votes.contains(voter)).copied();
        Some((value, missing.collect()))
    }
}
