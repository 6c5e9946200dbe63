//! What controllers tell each other of upstreams and balancers.

use std::net::SocketAddr;

use bytes::Bytes;
use whinspindle_distribution::frame::FrameKind;
use whinspindle_distribution::{GossipScope, decode_gossip, encode_gossip};

use super::Controller;
use super::event::Action;
use crate::exchange;
use crate::protocol_rules::ProtocolRules;

/// Heartbeats and renewals that change nothing are told to the other controllers at this interval.
const GOSSIP_REFRESH_MS: u64 = 400;
/// Changes that are not urgent are told at most this often.
const CHANGES_INTERVAL_MS: u64 = 100;
/// Heartbeats and renewals wait this much longer for other messages to go along with.
const GOSSIP_PATIENCE_MS: u64 = 200;
/// A peer that connects again gets a snapshot again after this time, and after so much for each instance in it.
const SNAPSHOT_PAUSE_MS: u64 = 2_000;
const SNAPSHOT_PAUSE_MS_PER_INSTANCE: u64 = 5;

impl<L: ProtocolRules> Controller<L> {
    /// Changes that are not urgent go along with the replica's own messages, in the same packets.
    pub(super) fn is_gossip_due(&self, now: u64) -> bool {
        let goes_along = self.actions.iter().any(|action| matches!(action, Action::SendPeer { .. }));
        now >= self.gossip_at && (goes_along || now >= self.gossip_at + GOSSIP_PATIENCE_MS)
    }

    /// Something has changed. Many upstreams come, or renew their cold times, together: what follows closely on another
    /// change waits for a tick.
    pub(super) fn changed_soon(&mut self, now: u64) {
        if now >= self.gossip_sent_at + CHANGES_INTERVAL_MS {
            self.send_changes(now);
        } else {
            self.gossip_at = self.gossip_sent_at + CHANGES_INTERVAL_MS - GOSSIP_PATIENCE_MS;
        }
        self.publish_soon(now);
    }

    /// An upstream leaves: the other controllers and the balancers are to know at once.
    pub(super) fn instances_changed(&mut self, now: u64) {
        self.send_changes(now);
        self.publish(now);
    }

    /// Tells all other controllers what was heard here. Those to which the replica sends nothing get an empty message
    /// too, so that the connection is known to stand.
    pub(super) fn send_changes(&mut self, now: u64) {
        self.gossip_at = now + GOSSIP_REFRESH_MS;
        self.gossip_sent_at = now;
        let is_empty = !self.registry.has_changes() && !self.leases.has_changes();
        let gossip = exchange::changes(now, &mut self.registry, &mut self.leases);
        let payload = Bytes::from(encode_gossip(&gossip));
        let known = self.replica.peers();
        let beyond = self.acquaintances.beyond(self.settings.address.endpoint, &known);
        let known = known.into_iter().filter(|_| !is_empty);
        for to in known.chain(beyond) {
            self.actions.push(Action::SendPeer { to, kind: FrameKind::Gossip, payload: payload.clone() });
        }
    }

    /// Connections end where processor time is short, and a snapshot takes much of it at the other side: it is not sent
    /// again soon. All that lives is heard of anew within a heartbeat interval.
    pub(super) fn send_snapshot(&mut self, now: u64, to: SocketAddr) {
        let pause = SNAPSHOT_PAUSE_MS.max(self.registry.len() as u64 * SNAPSHOT_PAUSE_MS_PER_INSTANCE);
        if self.snapshots_sent.get(&to).is_some_and(|at| now < at + pause) {
            return;
        }
        self.snapshots_sent.insert(to, now);
        let scope = if self.has_heard_all(now) { GossipScope::Complete } else { GossipScope::Heard };
        let gossip = exchange::heard(now, scope, &self.registry, &self.leases);
        let payload = Bytes::from(encode_gossip(&gossip));
        self.actions.push(Action::SendPeer { to, kind: FrameKind::Gossip, payload });
        self.send_recalled(now, to);
    }

    /// Of use to a controller that has started at about the same time and found its disk empty.
    pub(super) fn send_recalled(&mut self, now: u64, to: SocketAddr) {
        if !self.has_recalled || self.has_heard_all(now) {
            return;
        }
        let gossip = exchange::recalled(now, &self.registry, &self.leases);
        let payload = Bytes::from(encode_gossip(&gossip));
        self.actions.push(Action::SendPeer { to, kind: FrameKind::Gossip, payload });
    }

    pub(super) fn take_gossip(&mut self, now: u64, payload: &[u8]) {
        let Ok(gossip) = decode_gossip(payload) else { return };
        if gossip.scope == GossipScope::Recalled {
            self.take_recalled(now, gossip);
            return;
        }
        let mut changed = false;
        for instance in gossip.instances {
            changed |= self.registry.merge(now, exchange::instance_record(instance));
        }
        for lease in gossip.leases {
            changed |= self.leases.merge(now, exchange::lease_record(lease));
        }
        if gossip.scope == GossipScope::Complete && !self.has_heard_all(now) {
            self.is_taught = true;
            self.registry.drop_recalled();
            self.leases.drop_recalled();
            changed = true;
        }
        if changed {
            self.publish_soon(now);
        }
    }
}
