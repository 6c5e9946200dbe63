//! Slow start: paces this balancer's attempts at an instance that is warming up.
//!
//! The limit holds for the sum over all balancers in any second. Balancers don't coordinate: each spaces its own attempts
//! so that the sum stays within the limit whatever their phases are. That is impossible where there are more balancers
//! than attempts that the limit allows a second. Then each balancer sends only in short windows at a random phase, and
//! the windows are so rare that the sum stays far below the limit.

use whinspindle_configuration::Bounds;

/// Fraction used of the configured rate of an instance in slow start.
const USED_FRACTION: f64 = 0.9;
/// The same where random windows keep the limit.
const USED_FRACTION_AT_RANDOM: f64 = 0.5;
/// Safety factor on the spacing, since the network may bring attempts closer together.
const JITTER: f64 = 1.1;
/// Standard deviations between the limit and the mean of the sum of random attempts.
const DEVIATIONS: f64 = 5.0;
/// Length of a window, in milliseconds.
const WINDOW_MS: f64 = 300.0;

/// The spacing of this balancer's attempts at one instance in slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlowStartPace {
    /// Time between two attempts, in milliseconds.
    spacing_ms: f64,
    /// If set, attempts are allowed only for this time after each multiple of the spacing, in milliseconds.
    window_ms: Option<f64>,
}

impl SlowStartPace {
    /// The pace at which `balancers` together stay within `per_second`; none while their number is unknown (0).
    pub(crate) fn new(per_second: f64, balancers: u32, bounds: &Bounds) -> Option<Self> {
        if balancers == 0 {
            return None;
        }
        let balancers = f64::from(balancers);
        let bound = per_second * bounds.cold_overrun + bounds.cold_slack;
        let each = (bound / balancers).floor();
        if each >= 1.0 {
            let even = balancers / (per_second * USED_FRACTION);
            return Some(SlowStartPace { spacing_ms: 1_000.0 * even.max(JITTER / each), window_ms: None });
        }
        // Solves m + d * sqrt(m) = bound for the mean m of a Poisson sum.
        let root = (-DEVIATIONS + (DEVIATIONS * DEVIATIONS + 4.0 * bound).sqrt()) / 2.0;
        let rate = (per_second * USED_FRACTION_AT_RANDOM).min(root * root).max(f64::MIN_POSITIVE);
        let windows_in_a_second = 1.0 + WINDOW_MS / 1_000.0;
        let spacing_ms = 1_000.0 * balancers * windows_in_a_second / rate;
        Some(SlowStartPace { spacing_ms, window_ms: Some(WINDOW_MS) })
    }
}

/// When this balancer may send to one instance in slow start again.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStartSchedule {
    /// Earliest time of the next attempt, in milliseconds; none outside of slow start.
    next: Option<f64>,
}

impl SlowStartSchedule {
    /// Enters slow start; the first attempt waits for a random fraction of the spacing.
    pub(crate) fn begin(&mut self, now: u64, pace: &SlowStartPace, random_fraction: f64) {
        self.next.get_or_insert(now as f64 + random_fraction * pace.spacing_ms);
    }

    /// Whether the instance is in slow start.
    pub(crate) fn has_begun(&self) -> bool {
        self.next.is_some()
    }

    /// Leaves slow start.
    pub(crate) fn end(&mut self) {
        self.next = None;
    }

    /// Whether an attempt is allowed now.
    pub(crate) fn has_capacity(&self, now: u64, pace: &SlowStartPace) -> bool {
        let Some(next) = self.next else { return false };
        let since = now as f64 - next;
        since >= 0.0 && pace.window_ms.is_none_or(|window| since % pace.spacing_ms < window)
    }

    /// Schedules the next attempt after one made now.
    pub(crate) fn record_attempt(&mut self, now: u64, pace: &SlowStartPace) {
        let begun = if pace.window_ms.is_none() { now as f64 } else { self.window_begin(now, pace) };
        self.next = Some(begun + pace.spacing_ms);
    }

    fn window_begin(&self, now: u64, pace: &SlowStartPace) -> f64 {
        let since = now as f64 - self.next.unwrap_or(now as f64);
        now as f64 - since.max(0.0) % pace.spacing_ms
    }
}
