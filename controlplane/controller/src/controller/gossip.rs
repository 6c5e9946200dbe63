//! Gossip between controllers, which exchanges their observations of upstreams and balancers.

use std::net::SocketAddr;

use bytes::Bytes;
use whinspindle_distribution::frame::FrameKind;
use whinspindle_distribution::{GossipScope, decode_gossip, encode_gossip};

use super::Controller;
use super::event::Action;
use crate::gossip_records;
use crate::protocol_rules::ProtocolRules;

/// The interval at which unchanged heartbeats and lease renewals are sent to the other controllers, in
/// milliseconds.
const GOSSIP_REFRESH_MS: u64 = 400;
/// The minimum time between two gossip messages with non-urgent changes, in milliseconds.
const CHANGES_INTERVAL_MS: u64 = 100;
/// The maximum extra delay of heartbeats and lease renewals that wait to share a packet with a replica
/// message, in milliseconds.
const MAX_GOSSIP_DELAY_MS: u64 = 200;
/// The minimum time between two snapshots to a peer that reconnects, in milliseconds.
const SNAPSHOT_INTERVAL_MS: u64 = 2_000;
/// The minimum time between two snapshots to a peer, in milliseconds per instance in the snapshot.
const SNAPSHOT_INTERVAL_MS_PER_INSTANCE: u64 = 5;

impl<R: ProtocolRules> Controller<R> {
    /// Whether gossip is due. It is sent in the same packets as replica messages, or alone after the maximum
    /// delay.
    pub(super) fn is_gossip_due(&self, now: u64) -> bool {
        let can_piggyback = self.actions.iter().any(|action| matches!(action, Action::SendPeer { .. }));
        now >= self.next_gossip_at && (can_piggyback || now >= self.next_gossip_at + MAX_GOSSIP_DELAY_MS)
    }

    /// Sends and publishes a non-urgent change. Since many upstreams often start together, a change that
    /// closely follows another one waits for a tick.
    pub(super) fn schedule_changes(&mut self, now: u64) {
        if now >= self.last_gossip_at + CHANGES_INTERVAL_MS {
            self.send_changes(now);
        } else {
            self.next_gossip_at = self.last_gossip_at + CHANGES_INTERVAL_MS - MAX_GOSSIP_DELAY_MS;
        }
        self.schedule_publish(now);
    }

    /// Immediately sends and publishes that an upstream does not accept new requests.
    pub(super) fn send_withdrawal(&mut self, now: u64) {
        self.send_changes(now);
        self.publish(now);
    }

    /// Sends the new observations to all other controllers. Controllers to which the replica sends nothing
    /// also receive an empty message, as a heartbeat of the connection.
    pub(super) fn send_changes(&mut self, now: u64) {
        self.next_gossip_at = now + GOSSIP_REFRESH_MS;
        self.last_gossip_at = now;
        let is_empty = !self.registry.has_changes() && !self.leases.has_changes();
        let gossip = gossip_records::changes(now, &mut self.registry, &mut self.leases);
        let payload = Bytes::from(encode_gossip(&gossip));
        let replica_peers = self.replica.peer_endpoints();
        let other_peers = self.known_peers.excluding(self.settings.address.endpoint, &replica_peers);
        let replica_peers = replica_peers.into_iter().filter(|_| !is_empty);
        for to in replica_peers.chain(other_peers) {
            self.actions.push(Action::SendPeer { to, kind: FrameKind::Gossip, payload: payload.clone() });
        }
    }

    /// Sends a snapshot to a peer that has connected, unless one was sent recently. Connections often break
    /// when the peer is short of CPU time, and handling a snapshot costs the peer much of it. Everything that
    /// is live is observed again within a heartbeat interval anyway.
    pub(super) fn send_snapshot(&mut self, now: u64, to: SocketAddr) {
        let interval_ms =
            SNAPSHOT_INTERVAL_MS.max(self.registry.len() as u64 * SNAPSHOT_INTERVAL_MS_PER_INSTANCE);
        if self.snapshot_sent_at.get(&to).is_some_and(|at| now < at + interval_ms) {
            return;
        }
        self.snapshot_sent_at.insert(to, now);
        let scope =
            if self.is_discovery_complete(now) { GossipScope::Complete } else { GossipScope::Observed };
        let gossip = gossip_records::observed_gossip(now, scope, &self.registry, &self.leases);
        let payload = Bytes::from(encode_gossip(&gossip));
        self.actions.push(Action::SendPeer { to, kind: FrameKind::Gossip, payload });
        self.send_restored(now, to);
    }

    /// Sends the restored state to a peer, which may have started at about the same time with an empty disk.
    pub(super) fn send_restored(&mut self, now: u64, to: SocketAddr) {
        if !self.has_restored_state || self.is_discovery_complete(now) {
            return;
        }
        let gossip = gossip_records::restored_gossip(now, &self.registry, &self.leases);
        let payload = Bytes::from(encode_gossip(&gossip));
        self.actions.push(Action::SendPeer { to, kind: FrameKind::Gossip, payload });
    }

    /// Merges gossip from another controller. Undecodable gossip is ignored.
    pub(super) fn merge_gossip(&mut self, now: u64, from: SocketAddr, payload: &[u8]) {
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
            self.silence_grace.record_snapshot(now, from);
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
