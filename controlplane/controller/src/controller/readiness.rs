//! Whether this controller may serve its state, depending on its contact with the other controllers and on
//! the time since its start.

use std::net::SocketAddr;

use super::Controller;
use crate::protocol_rules::ProtocolRules;
use crate::quorum_contact::ReplicaContact;

/// The minimum duration of the discovery after a start, in milliseconds. Every live upstream and balancer
/// reports within this time.
const MIN_DISCOVERY_MS: u64 = 3_000;
/// The minimum duration of the discovery, in heartbeat intervals.
const MIN_DISCOVERY_HEARTBEATS: u64 = 2;

impl<R: ProtocolRules> Controller<R> {
    /// Updates the quorum contact from the replica, and publishes immediately when a quorum was reached.
    pub(super) fn update_quorum(&mut self, now: u64) {
        let replica_contact =
            ReplicaContact { in_quorum: self.replica.is_in_quorum(now), is_behind: self.replica.is_behind() };
        let had_quorum = self.quorum_contact.is_in_quorum();
        self.quorum_contact.observe(now, replica_contact);
        let in_quorum = self.quorum_contact.is_in_quorum();
        self.registry.set_isolated(now, !in_quorum);
        match (had_quorum, in_quorum) {
            (true, false) => self.silence_grace.record_contact_loss(),
            (false, true) => self.silence_grace.record_contact_return(now),
            _ => {}
        }
        self.leases.set_isolated(now, !in_quorum);
        if in_quorum && !had_quorum {
            // Balancers without a configuration may be waiting for a controller with a quorum.
            self.send_links(now);
            self.publish(now);
        }
    }

    /// Counts the silence of upstreams from their last heartbeats again, once all controllers in contact have
    /// sent complete snapshots after contact was regained.
    pub(super) fn update_silence_grace(&mut self, now: u64) {
        let peers_in_contact: Vec<SocketAddr> = self.replica.live_peers(now).map(|(peer, ..)| peer).collect();
        if self.silence_grace.end_if_complete(&peers_in_contact) {
            self.registry.stop_ignoring_silence();
        }
    }

    /// Whether the committed records may be served to a balancer that has none.
    pub(super) fn may_serve_records(&self, now: u64) -> bool {
        R::should_serve_records(self.quorum_contact.may_serve_records(now, self.replica.committed_sequence()))
    }

    /// Whether every live upstream and balancer should be known to this controller, directly or from other
    /// controllers.
    pub(super) fn is_discovery_complete(&self, now: u64) -> bool {
        self.received_complete_state || now >= self.started_at + self.discovery_ms
    }

    /// Whether the known upstreams and balancers may be published. During discovery, balancers may know more
    /// of them than this controller does. Restored state replaces discovery once the records show which
    /// instances have departed since it was saved.
    pub(super) fn may_publish(&self, now: u64) -> bool {
        self.is_discovery_complete(now) || (self.has_restored_state && self.may_serve_records(now))
    }
}

/// The duration of the discovery of upstreams and balancers after a start, in milliseconds.
pub(super) fn discovery_ms(heartbeat_ms: u64) -> u64 {
    MIN_DISCOVERY_MS.max(heartbeat_ms * MIN_DISCOVERY_HEARTBEATS)
}
