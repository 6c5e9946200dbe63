//! View changes: when to propose one, and how to adopt a decided view.

use whinspindle_consensus::Voter;

use super::Replica;
use super::proposer::RANK_DELAY_MS;
use crate::application::Application;
use crate::durable::{Decided, DurableRecord};
use crate::planning::next_view;
use crate::protocol_rules::ProtocolRules;
use crate::view_change_state::PendingChange;

/// The delay of a change that removes no member from the chain.
const PLANNED_DELAY_MS: u64 = 200;
/// The delay after a promise to another proposer whose view has not been decided.
const FENCED_DELAY_MS: u64 = 400;
/// The exclusive upper bound of the jitter.
const JITTER_BOUND_MS: u64 = 60;

impl<A: Application, Rules: ProtocolRules> Replica<A, Rules> {
    /// Continues a proposal, or starts one if a view change has been pending for long enough.
    pub(super) fn tick_view_change(&mut self, now: u64) {
        if self.view_change.proposal.is_some() {
            self.continue_proposal(now);
            return;
        }
        if !self.has_healthy_quorum(now) {
            self.view_change.reset_backoff();
            return;
        }
        let Some(delay_ms) = self.change_delay_ms(now) else {
            self.view_change.pending = None;
            return;
        };
        let jitter_ms = self.jitter.below(JITTER_BOUND_MS);
        let pending =
            *self.view_change.pending.get_or_insert(PendingChange { pending_since: now, jitter_ms });
        if now >= pending.pending_since + delay_ms + pending.jitter_ms && now >= self.view_change.not_before {
            self.propose(now);
        }
    }

    /// Whether the healthy voters can decide on another view.
    pub(super) fn has_healthy_quorum(&self, now: u64) -> bool {
        let is_healthy = |voter: Voter| self.is_healthy_voter(now, voter);
        let is_lost = |voter: Voter| self.is_replaced(now, voter);
        self.view().has_quorum::<Rules::Consensus>(is_healthy, is_lost) || self.has_forced_quorum(now)
    }

    /// How long to delay a needed view change; `None` if no change is needed.
    ///
    /// The delay grows with the rank of this voter, so that voters rarely propose at the same time.
    fn change_delay_ms(&self, now: u64) -> Option<u64> {
        let own_voter = self.own_voter()?;
        let view = self.view();
        if self.is_disk_stalled(now) {
            return None;
        }
        let rank_delay_ms = RANK_DELAY_MS * self.rank(now, own_voter);
        if self.state.is_fenced() {
            return Some(if self.is_fenced_by_own_proposal(own_voter) {
                rank_delay_ms
            } else {
                self.view_change.with_backoff(FENCED_DELAY_MS) + rank_delay_ms
            });
        }
        let next = next_view(view, &self.expected_planning_input(now, own_voter))?;
        if self.is_shutting_down || next.has_same_voters_and_chain(view) {
            return None;
        }
        let removes_member = view.chain.iter().any(|link| next.chain_position(link.voter).is_none());
        Some(if removes_member { rank_delay_ms } else { PLANNED_DELAY_MS + rank_delay_ms })
    }

    /// Whether this voter is fenced by a promise to its own proposal, which no other voter will complete.
    fn is_fenced_by_own_proposal(&self, own_voter: Voter) -> bool {
        let promised = self.state.votes.promised;
        promised.member == own_voter.member && promised.start_id == self.settings.start_id
    }

    /// The number of healthy voters that rank before this one. The members of the chain rank first, in
    /// order, followed by the other voters.
    fn rank(&self, now: u64, own_voter: Voter) -> u64 {
        let view = self.view();
        let chain = view.chain.iter().map(|link| link.voter);
        let others = view.voters().into_iter().filter(|voter| view.chain_position(*voter).is_none());
        let before = chain.chain(others).take_while(|voter| *voter != own_voter);
        before
            .filter(|voter| {
                self.peers.healthy_heartbeat(now, view, *voter).is_some_and(|peer| !peer.is_shutting_down)
            })
            .count() as u64
    }

    /// Adopts a decided view, unless a newer view is known.
    pub(super) fn adopt(&mut self, now: u64, decided: Decided) {
        if decided.view.number <= self.view().number {
            return;
        }
        let last_kept = self.last_possibly_committed_entry();
        self.view_change.on_decided(decided.ballot);
        self.record(DurableRecord::Decided(decided), true);
        self.prune_declared_lost();
        self.begin_session(now);
        if self.session.is_none() {
            self.truncate(last_kept);
        }
        self.heartbeat_due_at = now;
    }
}
