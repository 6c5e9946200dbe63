//! Learners: replicas outside the chain that receive committed entries from it.

use std::net::SocketAddr;

use whinspindle_digests::RangeDigest;

use super::Replica;
use super::state_transfer::range_digests;
use crate::application::Application;
use crate::entry::Entry;
use crate::message::Message;
use crate::protocol_rules::ProtocolRules;
use crate::transfer::Transfer;

/// How long a learner that is behind waits for the tail before it sends a request.
const CATCH_UP_DELAY_MS: u64 = 150;

impl<A: Application, Rules: ProtocolRules> Replica<A, Rules> {
    /// Sends newly committed entries from the tail to the replicas outside the chain.
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

    /// The endpoints of the replicas outside the chain.
    fn learners(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let is_in_chain = |endpoint: SocketAddr| {
            view.member_at(endpoint).is_some_and(|member| view.chain_position(member.voter).is_some())
        };
        self.peers.iter().map(|(endpoint, _)| *endpoint).filter(|endpoint| !is_in_chain(*endpoint)).collect()
    }

    /// Handles a learner's request for entries committed after its position.
    pub(super) fn on_pull(&mut self, from: SocketAddr, committed: u64, digests: &[RangeDigest]) {
        if committed < self.state.committed {
            let transfer = self.build_transfer(committed, digests, false);
            let view = self.view().number;
            self.send(from, Message::Learn { view, transfer });
        }
    }

    /// Handles committed entries and records at a learner.
    ///
    /// A transfer from a view that this replica does not know yet is ignored. Otherwise a member of the
    /// chain that still considers an older view current would learn a committed position at which its own
    /// log has a different entry.
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

    /// Sends a request to the most advanced member of the chain if this replica is a learner and behind.
    pub(super) fn tick_catch_up(&mut self, now: u64) {
        if self.session.is_some() {
            return;
        }
        let Some((source, committed)) = self.most_advanced_member(now) else { return };
        if committed <= self.state.committed {
            self.catch_up.behind_since = None;
            return;
        }
        let since = *self.catch_up.behind_since.get_or_insert(now);
        let is_request_pending =
            self.catch_up.requested_at.is_some_and(|at| now < at + self.settings.timing.resend_interval_ms);
        let is_new = self.state.committed == 0;
        if !is_request_pending && (is_new || now >= since + CATCH_UP_DELAY_MS) {
            self.catch_up.requested_at = Some(now);
            let digests = range_digests(&self.state.records);
            let committed = self.state.committed;
            self.send(source, Message::Pull { committed, digests });
        }
    }

    /// The endpoint and the committed position of the most advanced healthy member of the chain.
    fn most_advanced_member(&self, now: u64) -> Option<(SocketAddr, u64)> {
        let view = self.view();
        let members = view.chain.iter().filter_map(|link| view.member(link.voter));
        let healthy = members.filter_map(|member| {
            let heartbeat = self.peers.healthy_heartbeat(now, view, member.voter)?;
            Some((member.endpoint, heartbeat.report.committed))
        });
        healthy.max_by_key(|(_, committed)| *committed)
    }
}
