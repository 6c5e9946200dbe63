//! One value that a few voters agree on, changed step by step: the register of CASPaxos (D. Rystsov, "CASPaxos:
//! Replicated State Machines without logs", arXiv:1802.07000), which is Paxos (L. Lamport, "Paxos Made Simple",
//! 2001) whose proposer writes a change of what it found. Voters are replaced by joint majorities, as in
//! section 6 of D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014. No
//! I/O, no clock, no chance: messages and their order are the caller's.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// A voter and its memory. One that comes back without its memory has a new birth and is another voter, so that
/// it can't vote as if it remembered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    pub member: u16,
    pub birth: u64,
}

/// The number of a round, never used twice: `start` is drawn anew at each start of the member. A later epoch is a
/// later founding: what was voted for in one before binds nobody in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub epoch: u64,
    pub round: u64,
    pub member: u16,
    pub start: u64,
}

/// What is agreed on.
pub trait Agreed: Clone {
    /// Who votes: a majority of each board counts. Two boards stand while voters are replaced.
    fn boards(&self) -> &[Vec<Voter>];
    /// Whether it was ever agreed on. What comes before the first agreement needs the promise of every voter, so
    /// that two beginnings with a voter of another birth between them still meet in the others.
    fn is_founded(&self) -> bool;
}

/// What the rules of counting are. The defaults are what the program runs; the lab plants faults in their place.
pub trait Laws: Clone {
    fn is_majority(votes: usize, of: usize) -> bool {
        2 * votes > of
    }

    /// Whether a ballot may be voted for after this promise.
    fn may_vote(promised: Ballot, ballot: Ballot) -> bool {
        ballot >= promised
    }

    /// Of what voters have accepted, what a new round has to start from.
    fn newest<'a, V>(accepted: impl Iterator<Item = &'a (Ballot, V)>) -> Option<&'a V> {
        accepted.max_by_key(|(ballot, _)| *ballot).map(|(_, value)| value)
    }

    /// The boards whose majorities a write needs, by what was found and what is written.
    fn boards_to_write<V: Agreed>(found: &V, written: &V) -> Vec<Vec<Voter>> {
        let mut boards = found.boards().to_vec();
        for board in written.boards() {
            if !boards.contains(board) {
                boards.push(board.clone());
            }
        }
        boards
    }
}

/// The laws as the program keeps them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AsPublished;
impl Laws for AsPublished {}

/// What a voter must not forget. Its owner makes it durable before the answer goes out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Votes<V> {
    pub promised: Ballot,
    pub accepted: Option<(Ballot, V)>,
}

impl<V> Default for Votes<V> {
    fn default() -> Self {
        Votes { promised: Ballot::default(), accepted: None }
    }
}

impl<V: Agreed> Votes<V> {
    /// Promises to vote for nothing older; else what was promised already.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<(), Ballot> {
        if ballot < self.promised {
            return Err(self.promised);
        }
        self.promised = ballot;
        Ok(())
    }

    /// Votes for the value; else what was promised already.
    pub fn accept<L: Laws>(&mut self, ballot: Ballot, value: V) -> Result<(), Ballot> {
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
    written: Option<(V, Vec<Vec<Voter>>)>,
    votes: BTreeSet<Voter>,
}

fn counts<L: Laws>(board: &[Voter], has: impl Fn(&Voter) -> bool) -> bool {
    L::is_majority(board.iter().filter(|voter| has(voter)).count(), board.len())
}

impl<V: Agreed> Round<V> {
    /// `known` is what the proposer knows to be agreed, or what comes before the first agreement.
    pub fn new(ballot: Ballot, known: V) -> Self {
        Round { ballot, known, promises: BTreeMap::new(), written: None, votes: BTreeSet::new() }
    }

    pub fn promised(&mut self, voter: Voter, accepted: Option<(Ballot, V)>) {
        self.promises.insert(voter, accepted);
    }

    /// The newest value that can have been agreed on, known once enough have promised.
    fn newest<L: Laws>(&self) -> &V {
        let accepted = self.promises.values().flatten();
        let of_epoch = accepted.filter(|(ballot, _)| ballot.epoch == self.ballot.epoch);
        L::newest(of_epoch).unwrap_or(&self.known)
    }

    /// What a change has to start from; none while promises are wanting.
    pub fn found<L: Laws>(&self) -> Option<&V> {
        let newest = self.newest::<L>();
        let promised = |voter: &Voter| self.promises.contains_key(voter);
        let enough = |board: &Vec<Voter>| counts::<L>(board, promised);
        if !newest.is_founded() {
            return newest.boards().iter().flatten().all(promised).then_some(newest);
        }
        let known = self.known.is_founded().then(|| self.known.boards()).into_iter().flatten();
        known.chain(newest.boards()).all(enough).then_some(newest)
    }

    /// The voters whose promise could still be of use: some are known only by what others have accepted.
    pub fn unheard<L: Laws>(&self) -> BTreeSet<Voter> {
        let of = self.known.boards().iter().chain(self.newest::<L>().boards()).flatten();
        of.filter(|voter| !self.promises.contains_key(voter)).copied().collect()
    }

    pub fn is_writing(&self) -> bool {
        self.written.is_some()
    }

    /// Writes the value; returns whom to ask for a vote.
    pub fn write<L: Laws>(&mut self, value: V) -> BTreeSet<Voter> {
        let boards = L::boards_to_write(self.newest::<L>(), &value);
        let voters = boards.iter().flatten().copied().collect();
        self.written = Some((value, boards));
        voters
    }

    /// A voter has accepted what is written; returns that once it is agreed on.
    pub fn voted<L: Laws>(&mut self, voter: Voter) -> Option<&V> {
        self.votes.insert(voter);
        let (value, boards) = self.written.as_ref()?;
        boards.iter().all(|board| counts::<L>(board, |voter| self.votes.contains(voter))).then_some(value)
    }

    /// What is written, for those that have not voted yet.
    pub fn unvoted(&self) -> Option<(&V, BTreeSet<Voter>)> {
        let (value, boards) = self.written.as_ref()?;
        let wanting = boards.iter().flatten().filter(|voter| !self.votes.contains(voter)).copied();
        Some((value, wanting.collect()))
    }
}
