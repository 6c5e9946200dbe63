//! State of one upstream instance from the view of this balancer.

use whinspindle_distribution::Instance;

use crate::InstanceTarget;
use crate::affinity::hash_id;
use crate::catalogue::{RegionId, ZoneId};
use crate::health::Health;
use crate::slow_start::{SlowStartPace, SlowStartSchedule};

/// Margin that is added to the reported duration of a slow start, in milliseconds.
const SLOW_START_MARGIN_MS: u64 = 300;
/// An instance counts as full if this balancer alone fills its slots and a queue. The length of the queue is
/// the number of slots divided by this.
const QUEUE_DIVISOR: u32 = 4;
/// Minimum length of that queue.
const MIN_QUEUE_LENGTH: u32 = 2;

/// Eligibility of an instance, from best to worst. Candidates are the instances in the best state present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HealthState {
    /// Healthy, warm and with capacity.
    Available,
    /// In slow start, and the pace allows an attempt now.
    SlowStart,
    /// Ejected after failures; used if no better instance is present.
    Ejected,
    /// This balancer alone fills all slots and a short queue.
    Full,
    /// In slow start, and the pace allows no attempt now.
    SlowStartLimited,
    /// Unreachable, or ejected again after a failed probe.
    Down,
    /// Draining, evacuated or no longer listed; accepts no requests.
    Excluded,
}

/// State that decides whether and how often an instance receives requests. Times are in milliseconds.
#[derive(Debug)]
pub(crate) struct InstanceState {
    /// Identity and address.
    pub(crate) target: InstanceTarget,
    /// Zone of the instance.
    pub(crate) zone: ZoneId,
    /// Region of the instance.
    pub(crate) region: RegionId,
    /// Hash of the instance id, for rendezvous hashing.
    pub(crate) id_hash: u64,
    /// Maximum number of concurrent requests; 0 for no limit on this balancer.
    pub(crate) slots: u32,
    /// Number of this balancer's open attempts at the instance.
    pub(crate) in_flight: u32,
    /// Number of open attempts without a first event or response head.
    pub(crate) unanswered: u32,
    /// Prompt tokens of the unanswered attempts.
    pub(crate) pending_prompt_tokens: u64,
    /// Outlier ejection.
    pub(crate) health: Health,
    /// Schedule of attempts during slow start.
    pub(crate) slow_start: SlowStartSchedule,
    /// Whether the zone of the instance is evacuated.
    pub(crate) is_evacuated: bool,
    /// End of the time in which the zone or region counts as unreachable; one attempt probes it afterwards.
    pub(crate) unreachable_until: u64,
    /// Whether the instance is in the zone of this balancer.
    pub(crate) in_own_zone: bool,
    /// Whether the last state of the fleet lists the instance as failing for several balancers.
    pub(crate) is_reported_failing: bool,
    /// End of the time in which the instance is avoided for reported failures.
    pub(crate) avoided_until: u64,
    /// Whether the instance never receives new requests again.
    pub(crate) is_retired: bool,
    /// Time since which the endpoint list lacks the instance; `None` while it is listed.
    pub(crate) unlisted_since: Option<u64>,
    /// End of the reported slow start.
    warm_at: u64,
    /// End of an assumed slow start that the instance may not have reported yet.
    assumed_slow_start_until: u64,
    /// Time of the last report of a slow start after the instance was warm.
    slow_start_started_at: Option<u64>,
    /// Whether an endpoint list has contained the instance.
    was_listed: bool,
}

impl InstanceState {
    /// Creates an instance; the first report sets the remaining state.
    pub(crate) fn new(target: InstanceTarget, zone: ZoneId, region: RegionId) -> Self {
        InstanceState {
            id_hash: hash_id(&target.id),
            target,
            zone,
            region,
            slots: 0,
            in_flight: 0,
            unanswered: 0,
            pending_prompt_tokens: 0,
            health: Health::default(),
            slow_start: SlowStartSchedule::default(),
            is_evacuated: false,
            is_reported_failing: false,
            avoided_until: 0,
            unreachable_until: 0,
            in_own_zone: false,
            is_retired: false,
            unlisted_since: None,
            warm_at: 0,
            assumed_slow_start_until: 0,
            slow_start_started_at: None,
            was_listed: false,
        }
    }

    /// Updates the instance from the endpoint list.
    pub(crate) fn update(&mut self, now: u64, reported: &Instance) {
        let was_warm = self.was_listed && self.unlisted_since.is_none() && now >= self.warm_at;
        self.was_listed = true;
        self.slots = reported.slots;
        self.is_retired |= reported.draining;
        self.unlisted_since = None;
        if reported.slow_start_ms > 0 {
            self.slow_start_started_at = if was_warm { Some(now) } else { self.slow_start_started_at };
            self.warm_at = self
                .warm_at
                .max(now.saturating_add(reported.slow_start_ms).saturating_add(SLOW_START_MARGIN_MS));
        }
    }

    /// Treats the instance as in slow start until the given time.
    pub(crate) fn assume_slow_start_until(&mut self, until: u64) {
        self.assumed_slow_start_until = self.assumed_slow_start_until.max(until);
    }

    /// Returns the end of the slow start if it started within the last `span_ms`.
    pub(crate) fn recent_slow_start_end(&self, now: u64, span_ms: u64) -> Option<u64> {
        self.slow_start_started_at.filter(|at| at + span_ms > now).map(|_| self.warm_at)
    }

    /// Whether the instance is in slow start, either reported or assumed.
    pub(crate) fn is_warming_up(&self, now: u64) -> bool {
        now < self.warm_at || now < self.assumed_slow_start_until
    }

    /// Milliseconds until the slow start ends.
    pub(crate) fn remaining_slow_start_ms(&self, now: u64) -> u64 {
        self.warm_at.max(self.assumed_slow_start_until).saturating_sub(now)
    }

    /// Whether the instance accepts new requests at all.
    pub(crate) fn is_in_service(&self) -> bool {
        !self.is_retired && !self.is_evacuated && self.unlisted_since.is_none()
    }

    /// Whether the instance counts as ready: it accepts requests and is neither unreachable, avoided nor
    /// ejected.
    pub(crate) fn is_ready(&self, now: u64) -> bool {
        self.is_in_service()
            && now >= self.unreachable_until
            && now >= self.avoided_until
            && !self.health.is_ejected(now, self.unanswered)
    }

    /// Returns the state for the next choice. `slow_start_rate` is the maximum number of requests per second
    /// during slow start; 0 for no limit.
    pub(crate) fn health_state(
        &self,
        now: u64,
        slow_start_rate: f64,
        pace: Option<&SlowStartPace>,
    ) -> HealthState {
        if !self.is_in_service() {
            return HealthState::Excluded;
        }
        if now < self.unreachable_until {
            return HealthState::Down;
        }
        let is_ejected = now < self.avoided_until || self.health.is_ejected(now, self.unanswered);
        if slow_start_rate > 0.0 && self.is_warming_up(now) {
            let can_attempt = pace.is_some_and(|pace| self.slow_start.can_attempt(now, pace));
            return if can_attempt && !is_ejected {
                HealthState::SlowStart
            } else {
                HealthState::SlowStartLimited
            };
        }
        if self.health.is_down(now, self.unanswered) {
            HealthState::Down
        } else if is_ejected {
            HealthState::Ejected
        } else if self.is_full() {
            HealthState::Full
        } else {
            HealthState::Available
        }
    }

    fn is_full(&self) -> bool {
        let max_in_flight = self.slots + (self.slots / QUEUE_DIVISOR).max(MIN_QUEUE_LENGTH);
        self.slots > 0 && self.in_flight >= max_in_flight
    }
}
