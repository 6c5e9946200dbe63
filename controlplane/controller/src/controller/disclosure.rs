//! What may be told to balancers and clients, by the contact with the other controllers and the time since the start.

use super::Controller;
use crate::contact::Standing;
use crate::protocol_rules::ProtocolRules;

/// After a start all upstreams and balancers have been heard of within this time, and within so many heartbeats.
const LEARNING_MS: u64 = 3_000;
const LEARNING_HEARTBEATS: u64 = 2;

impl<L: ProtocolRules> Controller<L> {
    /// Takes in whether there is a majority to rely on.
    pub(super) fn note_quorum(&mut self, now: u64) {
        let standing =
            Standing { in_quorum: self.replica.is_in_quorum(now), is_behind: self.replica.is_behind() };
        let had_quorum = self.contact.is_in_quorum();
        self.contact.observe(now, standing);
        let in_quorum = self.contact.is_in_quorum();
        self.registry.set_isolated(now, !in_quorum);
        self.leases.set_isolated(now, !in_quorum);
        if in_quorum && !had_quorum {
            // Balancers may wait for just that.
            self.send_links(now);
            self.publish(now);
        }
    }

    /// Whether the committed records may be told to a balancer that has none yet.
    pub(super) fn may_hand_out(&self, now: u64) -> bool {
        L::hands_out(self.contact.may_hand_out(now, self.replica.committed_sequence()))
    }

    /// Whether all upstreams and balancers that live have had the time to be known here, directly or by the other
    /// controllers.
    pub(super) fn has_heard_all(&self, now: u64) -> bool {
        self.is_taught || now >= self.started_at + self.learning_ms
    }

    /// Whether what is known of upstreams and balancers is worth telling: before, it would be less than balancers may
    /// know already. What an earlier process knew stands in, once it is known who has departed since.
    pub(super) fn may_tell(&self, now: u64) -> bool {
        self.has_heard_all(now) || (self.has_recalled && self.may_hand_out(now))
    }
}

/// How long a controller that has just started learns of upstreams and balancers.
pub(super) fn learning_ms(heartbeat_ms: u64) -> u64 {
    LEARNING_MS.max(heartbeat_ms * LEARNING_HEARTBEATS)
}
