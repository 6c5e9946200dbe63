//! The state of a view change under way.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use whinspindle_consensus::{Ballot, Round, Voter};

use crate::message::Report;
use crate::view::View;

/// The backoff doubles a time span at most this often.
const MAX_DOUBLINGS: u32 = 3;

/// A proposal of this replica. Times are in milliseconds of the caller's clock.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Both phases of the register.
    pub round: Round<View>,
    /// How far the logs are of the voters that have promised.
    pub reports: BTreeMap<Voter, Report>,
    /// The endpoints of voters that are known only from what others have accepted.
    pub endpoints: BTreeMap<Voter, SocketAddr>,
    /// When the proposal was begun.
    pub started_at: u64,
    /// When the requests of the present phase were last sent.
    pub requested_at: u64,
    /// When enough voters had promised.
    pub majority_at: Option<u64>,
}

/// A view change that is called for, but not proposed yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingChange {
    /// Since when it has been called for, in milliseconds of the caller's clock.
    pub since: u64,
    /// The jitter of its delay, in milliseconds.
    pub jitter: u64,
}

/// The proposer's state between and during proposals.
#[derive(Clone, Debug, Default)]
pub struct ViewChange {
    /// The proposal of this replica, if one is under way.
    pub proposal: Option<Proposal>,
    /// The highest round that any ballot was seen with.
    pub highest_round: u64,
    /// The change that is called for.
    pub pending: Option<PendingChange>,
    /// The earliest time of the next proposal, in milliseconds of the caller's clock.
    pub not_before: u64,
    /// Proposals of this replica that failed since the last change of the view.
    pub failed_rounds: u32,
}

impl ViewChange {
    /// A newer view was decided: the change under way is void.
    pub fn decided(&mut self, ballot: Ballot) {
        self.highest_round = self.highest_round.max(ballot.round);
        self.proposal = None;
        self.pending = None;
        self.failed_rounds = 0;
    }

    /// Too few voters are healthy: proposals that failed say nothing of the time that the next one takes.
    pub fn lost_contact(&mut self) {
        self.pending = None;
        self.failed_rounds = 0;
        self.not_before = 0;
    }

    /// A time span with exponential backoff by the failed proposals.
    ///
    /// Where links or disks are slow, a proposal with the same time limit would fail like the one before, while the
    /// chain takes no writes.
    pub fn with_backoff(&self, span: u64) -> u64 {
        span << self.failed_rounds.min(MAX_DOUBLINGS)
    }
}
