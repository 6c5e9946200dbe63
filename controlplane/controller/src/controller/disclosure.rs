//! What may be told to balancers and clients, by the contact with the other controllers and the time since the start.

use super::Controller;

/// After a start all upstreams and balancers have been heard of within this time, and within so many heartbeats.
const LEARNING_MS: u64 = 3_000;
const LEARNING_HEARTBEATS: u64 = 2;
/// Without a quorum, the records that were found on the disk are told after this time.
const LONE_START_MS: u64 = 3_000;

impl Controller {
    pub(super) fn note_quorum(&mut self, now: u64) {
        let in_quorum = self.replica.is_in_quorum(now);
        if in_quorum {
            self.quorum_at = Some(now);
        }
        self.registry.set_isolated(now, !in_quorum);
        self.leases.set_isolated(!in_quorum);
        let is_gained = !std::mem::replace(&mut self.was_in_quorum, in_quorum) && in_quorum;
        if is_gained {
            // Balancers may wait for just that.
            self.send_links(now);
            self.publish(now);
        }
    }

    pub(super) fn may_tell_records(&self, now: u64) -> bool {
        let waited = self.quorum_at.is_some() || now >= self.started_at + LONE_START_MS;
        waited || self.replica.is_in_quorum(now)
    }

    /// Whether all upstreams and balancers that live have had the time to be known here, directly or by the other
    /// controllers.
    pub(super) fn has_heard_all(&self, now: u64) -> bool {
        self.is_taught || now >= self.started_at + self.learning_ms
    }

    /// Whether what is known of upstreams and balancers is worth telling: before, it would be less than balancers may
    /// know already. What an earlier process knew stands in, once it is known who has departed since.
    pub(super) fn may_tell(&self, now: u64) -> bool {
        self.has_heard_all(now) || (self.has_recalled && self.may_tell_records(now))
    }
}

/// How long a controller that has just started learns of upstreams and balancers.
pub(super) fn learning_ms(heartbeat_ms: u64) -> u64 {
    LEARNING_MS.max(heartbeat_ms * LEARNING_HEARTBEATS)
}
