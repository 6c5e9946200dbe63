//! The state of a view change in progress.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use whinspindle_consensus::{Ballot, Round, Voter};

use crate::message::Report;
use crate::view::View;

/// The maximum number of times that the backoff doubles a delay.
const MAX_DOUBLINGS: u32 = 3;

/// A proposal of this replica. Times are in milliseconds of the caller's clock.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The consensus round, with the state of both phases.
    pub round: Round<View>,
    /// The log progress of the voters that have promised.
    pub reports: BTreeMap<Voter, Report>,
    /// The endpoints of voters that are known only from views accepted by other voters.
    pub endpoints: BTreeMap<Voter, SocketAddr>,
    /// When the proposal was started.
    pub started_at: u64,
    /// When the requests of the current phase were last sent.
    pub requested_at: u64,
    /// When a quorum had promised; `None` before.
    pub quorum_at: Option<u64>,
}

/// A view change that is needed but not proposed yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingChange {
    /// Since when the change has been needed, in milliseconds of the caller's clock.
    pub pending_since: u64,
    /// The random part of the delay before the proposal.
    pub jitter_ms: u64,
}

/// The proposer's state between and during proposals.
#[derive(Clone, Debug, Default)]
pub struct ViewChange {
    /// The current proposal of this replica.
    pub proposal: Option<Proposal>,
    /// The highest round of all received ballots.
    pub highest_round: u64,
    /// The pending view change.
    pub pending: Option<PendingChange>,
    /// The earliest time of the next proposal, in milliseconds of the caller's clock.
    pub not_before: u64,
    /// The number of failed proposals of this replica since the last view change.
    pub failed_proposals: u32,
}

impl ViewChange {
    /// Handles that a newer view was decided, which cancels the change in progress.
    pub fn on_decided(&mut self, ballot: Ballot) {
        self.highest_round = self.highest_round.max(ballot.round);
        self.proposal = None;
        self.pending = None;
        self.failed_proposals = 0;
    }

    /// Resets the backoff, because too few voters are healthy. Earlier failures then do not predict how
    /// long the next proposal takes.
    pub fn reset_backoff(&mut self) {
        self.pending = None;
        self.failed_proposals = 0;
        self.not_before = 0;
    }

    /// Applies exponential backoff to a delay, depending on the number of failed proposals.
    ///
    /// With slow links or disks, a proposal with an unchanged time limit would fail like the previous one,
    /// while the chain accepts no writes.
    pub fn with_backoff(&self, delay_ms: u64) -> u64 {
        delay_ms << self.failed_proposals.min(MAX_DOUBLINGS)
    }
}
