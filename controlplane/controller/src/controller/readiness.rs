//! When this controller may answer from what it knows: by its contact with the others and the time since its start.

use std::net::SocketAddr;

use super::Controller;
use crate::protocol_rules::ProtocolRules;
use crate::quorum_contact::ReplicaContact;

/// After a start every live upstream and balancer has reported within this time, in milliseconds.
const DISCOVERY_MS: u64 = 3_000;
/// The least number of heartbeat intervals that the discovery lasts.
const DISCOVERY_HEARTBEATS: u64 = 2;

impl<R: ProtocolRules> Controller<R> {
    /// Takes the replica's contact with a majority, and publishes at once when a quorum has come about.
    pub(super) fn update_quorum(&mut self, now: u64) {
        let replica =
            ReplicaContact { in_quorum: self.replica.is_in_quorum(now), is_behind: self.replica.is_behind() };
        let had_quorum = self.contact.is_in_quorum();
        self.contact.observe(now, replica);
        let in_quorum = self.contact.is_in_quorum();
        self.registry.set_isolated(now, !in_quorum);
        match (had_quorum, in_quorum) {
            (true, false) => self.silence_grace.contact_lost(),
            (false, true) => self.silence_grace.contact_regained(now),
            _ => {}
        }
        self.leases.set_isolated(now, !in_quorum);
        if in_quorum && !had_quorum {
            // Balancers without a configuration may be waiting for exactly this.
            self.send_links(now);
            self.publish(now);
        }
    }

    /// Counts the silence of upstreams from when they were last heard, once all controllers in contact have sent what they
    /// know since this one returned.
    pub(super) fn count_silence(&mut self, now: u64) {
        let in_contact: Vec<SocketAddr> = self.replica.live_peers(now).map(|(peer, ..)| peer).collect();
        if self.silence_grace.take_end(&in_contact) {
            self.registry.stop_ignoring_silence();
        }
    }

    /// Whether the committed records may be served to a balancer that has none yet.
    pub(super) fn may_serve_records(&self, now: u64) -> bool {
        R::should_serve_records(self.contact.may_serve_records(now, self.replica.committed_sequence()))
    }

    /// Whether every live upstream and balancer has had the time to be known here, directly or by other controllers.
    pub(super) fn is_discovery_complete(&self, now: u64) -> bool {
        self.received_complete_state || now >= self.started_at + self.discovery_ms
    }

    /// Whether the known upstreams and balancers may be published: before, balancers may know more already. Restored
    /// state takes the place of discovery once it is known which instances have departed since it was saved.
    pub(super) fn may_publish(&self, now: u64) -> bool {
        self.is_discovery_complete(now) || (self.has_restored_state && self.may_serve_records(now))
    }
}

/// How long a controller that has just started discovers upstreams and balancers, in milliseconds.
pub(super) fn discovery_ms(heartbeat_ms: u64) -> u64 {
    DISCOVERY_MS.max(heartbeat_ms * DISCOVERY_HEARTBEATS)
}
