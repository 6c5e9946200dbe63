//! Replicas outside of the chain, which learn what it has committed.

use std::net::SocketAddr;

use whinspindle_digests::RangeDigest;

use super::Replica;
use super::state_transfer::range_digests;
use crate::application::Application;
use crate::entry::Entry;
use crate::message::Message;
use crate::protocol_rules::ProtocolRules;
use crate::transfer::Transfer;

/// How long a learner that is behind waits for the tail before it asks, in milliseconds.
const CATCH_UP_DELAY: u64 = 150;

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    /// At the tail: sends what was just committed to the replicas outside of the chain.
    pub(super) fn notify_learners(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let base = first.sequence - 1;
        let transfer = Transfer {
            base,
            position: base,
            entries: entries.to_vec(),
            committed: self.state.committed,
            ..Transfer::default()
        };
        let view = self.view().number;
        for learner in self.learners() {
            self.send(learner, Message::Learn { view, transfer: transfer.clone() });
        }
    }

    /// The replicas outside of the chain.
    fn learners(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let is_in_chain = |endpoint: SocketAddr| {
            view.member_at(endpoint).is_some_and(|member| view.chain_position(member.voter).is_some())
        };
        self.peers.iter().map(|(endpoint, _)| *endpoint).filter(|endpoint| !is_in_chain(*endpoint)).collect()
    }

    /// A learner asks for what was committed after its position.
    pub(super) fn on_pull(&mut self, from: SocketAddr, committed: u64, digests: &[RangeDigest]) {
        if committed < self.state.committed {
            let transfer = self.transfer(committed, digests, false);
            let view = self.view().number;
            self.send(from, Message::Learn { view, transfer });
        }
    }

    /// A learner receives what was committed.
    ///
    /// What was committed in a view that is not known here yet must wait: otherwise a member of the chain that takes the
    /// older view for the present one would learn a committed position at which its own log holds another entry.
    pub(super) fn on_learn(&mut self, view: u64, transfer: Transfer) {
        if self.session.is_some() || view > self.view().number {
            return;
        }
        let committed = self.state.committed;
        let is_known = transfer.committed <= committed;
        if is_known
            || transfer.base > committed
            || (transfer.position > transfer.base && transfer.base != committed)
        {
            return;
        }
        self.replace_ranges(&transfer);
        self.adopt_entries(transfer.entries);
        self.learn_committed(transfer.committed);
        self.durable_last = self.durable_last.max(self.state.committed);
        self.catch_up.requested_at = None;
    }

    /// A learner that is behind asks the most advanced member of the chain.
    pub(super) fn tick_catch_up(&mut self, now: u64) {
        if self.session.is_some() {
            return;
        }
        let Some((source, committed)) = self.most_advanced(now) else { return };
        if committed <= self.state.committed {
            self.catch_up.behind_since = None;
            return;
        }
        let since = *self.catch_up.behind_since.get_or_insert(now);
        let is_asked =
            self.catch_up.requested_at.is_some_and(|at| now < at + self.settings.timing.resend_interval_ms);
        let is_new = self.state.committed == 0;
        if !is_asked && (is_new || now >= since + CATCH_UP_DELAY) {
            self.catch_up.requested_at = Some(now);
            let digests = range_digests(&self.state.records);
            let committed = self.state.committed;
            self.send(source, Message::Pull { committed, digests });
        }
    }

    /// The healthy member of the chain with the latest committed position, and that position.
    fn most_advanced(&self, now: u64) -> Option<(SocketAddr, u64)> {
        let view = self.view();
        let members = view.chain.iter().filter_map(|link| view.member(link.voter));
        let well = members.filter_map(|member| {
            let heartbeat = self.peers.healthy_heartbeat(now, view, member.voter)?;
            Some((member.endpoint, heartbeat.report.committed))
        });
        well.max_by_key(|(_, committed)| *committed)
    }
}
