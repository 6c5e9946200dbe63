//! The state of one upstream instance, as this balancer sees it.

use whinspindle_distribution::Instance;

use crate::InstanceTarget;
use crate::affinity::hash_id;
use crate::catalogue::{RegionId, ZoneId};
use crate::health::Health;
use crate::slow_start::{SlowStartPace, SlowStartSchedule};

/// An instance is in slow start for this much longer than it reports.
const SLOW_START_MARGIN_MS: u64 = 300;
/// An instance is full for certain if this balancer alone has more attempts there than its slots and a queue of this
/// fraction (one in four) of them.
const QUEUED_DIVISOR: u32 = 4;
/// The least length of that queue.
const LEAST_QUEUED: u32 = 2;

/// Whether an instance may be sent to; candidates are the instances of the best state present, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HealthState {
    /// Healthy, warm and with capacity.
    Available,
    /// In slow start, and its pace allows an attempt now.
    SlowStart,
    /// Ejected after failures; used where there is no better one.
    Ejected,
    /// All its slots and a short queue are taken by this balancer alone.
    Full,
    /// In slow start, and its pace allows no attempt now.
    SlowStartLimited,
    /// Unreachable, or ejected again after a failed probe.
    Down,
    /// Draining, evacuated or no longer listed: takes no requests.
    Excluded,
}

/// An instance with everything that decides whether and how often it is sent to. Times are in milliseconds.
#[derive(Debug)]
pub(crate) struct InstanceState {
    /// Identity and address.
    pub(crate) target: InstanceTarget,
    /// Its zone.
    pub(crate) zone: ZoneId,
    /// Its region.
    pub(crate) region: RegionId,
    /// Hash of its id, for rendezvous hashing.
    pub(crate) hash: u64,
    /// Requests that it runs at once; 0 if that does not bound this balancer.
    pub(crate) slots: u32,
    /// This balancer's open attempts there.
    pub(crate) in_flight: u32,
    /// Of these, the ones without a first event or the head of an answer.
    pub(crate) unanswered: u32,
    /// Prompt tokens of the unanswered ones.
    pub(crate) unread_tokens: u64,
    /// Outlier ejection.
    pub(crate) health: Health,
    /// Pacing while it is warming up.
    pub(crate) slow_start: SlowStartSchedule,
    /// Its zone is evacuated.
    pub(crate) evacuated: bool,
    /// Its zone or region counts as unreachable until then; after that, one attempt probes it.
    pub(crate) unreachable_until: u64,
    /// It is in the balancer's zone.
    pub(crate) in_own_zone: bool,
    /// The last state of the fleet lists it as failing for several balancers.
    pub(crate) is_reported_failing: bool,
    /// Until when it is avoided for that.
    pub(crate) avoided_until: u64,
    /// It takes no new requests, now or ever again.
    pub(crate) retired: bool,
    /// Since when it is not in the endpoint list, if so.
    pub(crate) unlisted_since: Option<u64>,
    /// End of the slow start that it reports.
    warm_at: u64,
    /// Until when it may be in slow start without having reported it yet.
    suspected_until: u64,
    /// When it last reported a slow start after having been warm.
    slow_start_begun_at: Option<u64>,
    /// It has been in an endpoint list.
    is_reported: bool,
}

impl InstanceState {
    /// An instance that is to be updated with its first report.
    pub(crate) fn new(target: InstanceTarget, zone: ZoneId, region: RegionId) -> Self {
        InstanceState {
            hash: hash_id(&target.id),
            target,
            zone,
            region,
            slots: 0,
            in_flight: 0,
            unanswered: 0,
            unread_tokens: 0,
            health: Health::default(),
            slow_start: SlowStartSchedule::default(),
            evacuated: false,
            is_reported_failing: false,
            avoided_until: 0,
            unreachable_until: 0,
            in_own_zone: false,
            retired: false,
            unlisted_since: None,
            warm_at: 0,
            suspected_until: 0,
            slow_start_begun_at: None,
            is_reported: false,
        }
    }

    /// Takes what the endpoint list reports.
    pub(crate) fn update(&mut self, now: u64, reported: &Instance) {
        let was_warm = self.is_reported && self.unlisted_since.is_none() && now >= self.warm_at;
        self.is_reported = true;
        self.slots = reported.slots;
        self.retired |= reported.draining;
        self.unlisted_since = None;
        if reported.slow_start_ms > 0 {
            self.slow_start_begun_at = if was_warm { Some(now) } else { self.slow_start_begun_at };
            self.warm_at = self
                .warm_at
                .max(now.saturating_add(reported.slow_start_ms).saturating_add(SLOW_START_MARGIN_MS));
        }
    }

    /// Treats the instance as in slow start until then.
    pub(crate) fn suspect_slow_start(&mut self, until: u64) {
        self.suspected_until = self.suspected_until.max(until);
    }

    /// The end of its slow start, if that has begun within the last `span_ms`.
    pub(crate) fn warm_at_if_begun_within(&self, now: u64, span_ms: u64) -> Option<u64> {
        self.slow_start_begun_at.filter(|at| at + span_ms > now).map(|_| self.warm_at)
    }

    /// Whether it is in slow start, reported or suspected.
    pub(crate) fn is_warming_up(&self, now: u64) -> bool {
        now < self.warm_at || now < self.suspected_until
    }

    /// Milliseconds until its slow start ends.
    pub(crate) fn warm_in_ms(&self, now: u64) -> u64 {
        self.warm_at.max(self.suspected_until).saturating_sub(now)
    }

    /// Whether it takes new requests at all.
    pub(crate) fn may_be_sent_to(&self) -> bool {
        !self.retired && !self.evacuated && self.unlisted_since.is_none()
    }

    /// Whether it counts as ready in its region: it takes requests and is neither unreachable, avoided nor ejected.
    pub(crate) fn is_ready(&self, now: u64) -> bool {
        self.may_be_sent_to()
            && now >= self.unreachable_until
            && now >= self.avoided_until
            && !self.health.is_ejected(now, self.unanswered)
    }

    /// Its state for the next choice; `slow_start_rate` is what an instance in slow start bears a second, 0 for no limit.
    pub(crate) fn health_state(
        &self,
        now: u64,
        slow_start_rate: f64,
        pace: Option<&SlowStartPace>,
    ) -> HealthState {
        if !self.may_be_sent_to() {
            return HealthState::Excluded;
        }
        if now < self.unreachable_until {
            return HealthState::Down;
        }
        let ejected = now < self.avoided_until || self.health.is_ejected(now, self.unanswered);
        if slow_start_rate > 0.0 && self.is_warming_up(now) {
            let has_capacity = pace.is_some_and(|pace| self.slow_start.has_capacity(now, pace));
            return if has_capacity && !ejected {
                HealthState::SlowStart
            } else {
                HealthState::SlowStartLimited
            };
        }
        if self.health.is_down(now, self.unanswered) {
            HealthState::Down
        } else if ejected {
            HealthState::Ejected
        } else if self.is_full() {
            HealthState::Full
        } else {
            HealthState::Available
        }
    }

    fn is_full(&self) -> bool {
        let most = self.slots + (self.slots / QUEUED_DIVISOR).max(LEAST_QUEUED);
        self.slots > 0 && self.in_flight >= most
    }
}
