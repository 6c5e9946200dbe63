//! View changes: when one is called for, and the entry into a decided view.

use whinspindle_consensus::Voter;

use super::Replica;
use super::proposer::RANK_DELAY;
use crate::application::Application;
use crate::durable::{Decided, DurableRecord};
use crate::planning::next_view;
use crate::protocol_rules::ProtocolRules;
use crate::view_change_state::PendingChange;

/// Delay of a change that takes no failed member out of the chain, in milliseconds.
const PLANNED_DELAY: u64 = 200;
/// Delay after a promise to another proposer whose view was not decided, in milliseconds.
const FENCED_DELAY: u64 = 400;
/// The jitter is below this, in milliseconds.
const MAX_JITTER: u64 = 60;

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    /// Continues a proposal, or begins one when a change has been due for long enough.
    pub(super) fn tick_view_change(&mut self, now: u64) {
        if self.view_change.proposal.is_some() {
            self.continue_proposal(now);
            return;
        }
        if !self.has_healthy_quorum(now) {
            self.view_change.lost_contact();
            return;
        }
        let Some(delay) = self.change_delay(now) else {
            self.view_change.pending = None;
            return;
        };
        let jitter = self.jitter.below(MAX_JITTER);
        let pending = *self.view_change.pending.get_or_insert(PendingChange { since: now, jitter });
        if now >= pending.since + delay + pending.jitter && now >= self.view_change.not_before {
            self.propose(now);
        }
    }

    /// Whether the healthy voters could decide on another view.
    pub(super) fn has_healthy_quorum(&self, now: u64) -> bool {
        let is_healthy = |voter: Voter| self.is_healthy_voter(now, voter);
        let is_lost = |voter: Voter| self.is_replaced(now, voter);
        self.view().has_quorum::<L::Consensus>(is_healthy, is_lost) || self.has_forced_quorum(now)
    }

    /// How long a view change that is called for is delayed, in milliseconds; `None` if none is.
    ///
    /// The delay grows with the rank of this voter, so that voters seldom propose at the same time.
    fn change_delay(&self, now: u64) -> Option<u64> {
        let me = self.me()?;
        let view = self.view();
        if self.is_disk_stalled(now) {
            return None;
        }
        let rank = RANK_DELAY * self.rank(now, me);
        if self.state.is_fenced() {
            return Some(if self.is_fenced_by_own_proposal(me) {
                rank
            } else {
                self.view_change.with_backoff(FENCED_DELAY) + rank
            });
        }
        let next = next_view(view, &self.expected_planning_input(now, me))?;
        if self.is_shutting_down || next.has_same_voters_and_chain(view) {
            return None;
        }
        let loses_one = view.chain.iter().any(|link| next.chain_position(link.voter).is_none());
        Some(if loses_one { rank } else { PLANNED_DELAY + rank })
    }

    /// Whether the promise that fences this voter was given to its own proposal, which no other voter will complete.
    fn is_fenced_by_own_proposal(&self, me: Voter) -> bool {
        let promised = self.state.votes.promised;
        promised.member == me.member && promised.start_id == self.settings.start_id
    }

    /// How many healthy voters rank before this one: first the chain, then the other voters.
    fn rank(&self, now: u64, me: Voter) -> u64 {
        let view = self.view();
        let chain = view.chain.iter().map(|link| link.voter);
        let others = view.voters().into_iter().filter(|voter| view.chain_position(*voter).is_none());
        let before = chain.chain(others).take_while(|voter| *voter != me);
        before
            .filter(|voter| {
                self.peers.healthy_heartbeat(now, view, *voter).is_some_and(|peer| !peer.is_shutting_down)
            })
            .count() as u64
    }

    /// Enters a decided view, unless a newer one is known.
    pub(super) fn adopt(&mut self, now: u64, decided: Decided) {
        if decided.view.number <= self.view().number {
            return;
        }
        let kept = self.last_useful_entry();
        self.view_change.decided(decided.ballot);
        self.record(DurableRecord::Decided(decided), true);
        self.forget_declared();
        self.begin_session(now);
        if self.session.is_none() {
            self.truncate(kept);
        }
        self.heartbeat_due = now;
    }
}
