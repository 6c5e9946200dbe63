//! Gossip between controllers: observations of upstreams and balancers.

use std::net::SocketAddr;

use bytes::Bytes;
use whinspindle_distribution::frame::FrameKind;
use whinspindle_distribution::{GossipScope, decode_gossip, encode_gossip};

use super::Controller;
use super::event::Action;
use crate::gossip_records;
use crate::protocol_rules::ProtocolRules;

/// The interval at which heartbeats and renewals without a change are sent to the other controllers, in milliseconds.
const GOSSIP_REFRESH_MS: u64 = 400;
/// The least time between two messages with changes that are not urgent, in milliseconds.
const CHANGES_INTERVAL_MS: u64 = 100;
/// How much longer heartbeats and renewals wait for a message of the replica to share its packet, in milliseconds.
const MAX_GOSSIP_DELAY_MS: u64 = 200;
/// The least time between two snapshots to a peer that connects again, in milliseconds.
const SNAPSHOT_INTERVAL_MS: u64 = 2_000;
/// The same for each instance in the snapshot, in milliseconds.
const SNAPSHOT_INTERVAL_MS_PER_INSTANCE: u64 = 5;

impl<R: ProtocolRules> Controller<R> {
    /// Whether observations are to be sent now: with messages of the replica, in the same packets, or after the longest
    /// delay.
    pub(super) fn is_gossip_due(&self, now: u64) -> bool {
        let can_piggyback = self.actions.iter().any(|action| matches!(action, Action::SendPeer { .. }));
        now >= self.gossip_at && (can_piggyback || now >= self.gossip_at + MAX_GOSSIP_DELAY_MS)
    }

    /// Sends and publishes a change that is not urgent. Many upstreams come together: a change that closely follows another
    /// one waits for a tick.
    pub(super) fn schedule_changes(&mut self, now: u64) {
        if now >= self.gossip_sent_at + CHANGES_INTERVAL_MS {
            self.send_changes(now);
        } else {
            self.gossip_at = self.gossip_sent_at + CHANGES_INTERVAL_MS - MAX_GOSSIP_DELAY_MS;
        }
        self.schedule_publish(now);
    }

    /// Sends and publishes at once that an upstream takes no new requests.
    pub(super) fn send_withdrawal(&mut self, now: u64) {
        self.send_changes(now);
        self.publish(now);
    }

    /// Sends this controller's observations to all others. Those to which the replica sends nothing are sent an empty
    /// message too, as a heartbeat of the connection.
    pub(super) fn send_changes(&mut self, now: u64) {
        self.gossip_at = now + GOSSIP_REFRESH_MS;
        self.gossip_sent_at = now;
        let is_empty = !self.registry.has_changes() && !self.leases.has_changes();
        let gossip = gossip_records::changes(now, &mut self.registry, &mut self.leases);
        let payload = Bytes::from(encode_gossip(&gossip));
        let known = self.replica.peer_endpoints();
        let others = self.known_peers.excluding(self.settings.address.endpoint, &known);
        let known = known.into_iter().filter(|_| !is_empty);
        for to in known.chain(others) {
            self.actions.push(Action::SendPeer { to, kind: FrameKind::Gossip, payload: payload.clone() });
        }
    }

    /// Sends a snapshot to a peer that has connected. Connections break where processor time is short, and a snapshot
    /// costs the receiver much of it: it is not repeated soon, since all that is live is observed again within a heartbeat
    /// interval.
    pub(super) fn send_snapshot(&mut self, now: u64, to: SocketAddr) {
        let interval =
            SNAPSHOT_INTERVAL_MS.max(self.registry.len() as u64 * SNAPSHOT_INTERVAL_MS_PER_INSTANCE);
        if self.snapshots_sent.get(&to).is_some_and(|at| now < at + interval) {
            return;
        }
        self.snapshots_sent.insert(to, now);
        let scope =
            if self.is_discovery_complete(now) { GossipScope::Complete } else { GossipScope::Observed };
        let gossip = gossip_records::observed(now, scope, &self.registry, &self.leases);
        let payload = Bytes::from(encode_gossip(&gossip));
        self.actions.push(Action::SendPeer { to, kind: FrameKind::Gossip, payload });
        self.send_restored(now, to);
    }

    /// Sends what was restored, for a controller that has started at about the same time with an empty disk.
    pub(super) fn send_restored(&mut self, now: u64, to: SocketAddr) {
        if !self.has_restored_state || self.is_discovery_complete(now) {
            return;
        }
        let gossip = gossip_records::restored(now, &self.registry, &self.leases);
        let payload = Bytes::from(encode_gossip(&gossip));
        self.actions.push(Action::SendPeer { to, kind: FrameKind::Gossip, payload });
    }

    /// Merges the gossip of another controller.
    pub(super) fn take_gossip(&mut self, now: u64, from: SocketAddr, payload: &[u8]) {
        let Ok(gossip) = decode_gossip(payload) else { return };
        if gossip.scope == GossipScope::Restored {
            self.merge_restored(now, gossip);
            return;
        }
        let mut changed = false;
        for instance in gossip.instances {
            changed |= self.registry.merge(now, gossip_records::instance_record(instance));
        }
        for lease in gossip.leases {
            changed |= self.leases.merge(now, gossip_records::lease_record(lease));
        }
        if gossip.scope == GossipScope::Complete {
            self.silence_grace.snapshot_received(now, from);
        }
        if gossip.scope == GossipScope::Complete && !self.is_discovery_complete(now) {
            self.received_complete_state = true;
            self.registry.drop_restored();
            self.leases.drop_restored();
            changed = true;
        }
        if changed {
            self.schedule_publish(now);
        }
    }
}
