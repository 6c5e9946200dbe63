//! Slow start: paces this balancer's attempts at an instance that is warming up.
//!
//! The limit holds for the sum over all balancers in any second. Balancers don't coordinate. Each balancer
//! spaces its own attempts so that the sum stays within the limit for any combination of phases. This is
//! impossible if there are more balancers than attempts per second within the limit. In that case, each
//! balancer sends only in short windows with a random phase, and the windows are rare enough to keep the sum
//! far below the limit.

use whinspindle_configuration::Bounds;

/// Fraction of the configured slow-start rate that is used with regular spacing.
const REGULAR_RATE_FRACTION: f64 = 0.9;
/// Fraction of the configured slow-start rate that is used with random windows.
const RANDOM_WINDOW_RATE_FRACTION: f64 = 0.5;
/// Safety factor on the spacing, since network delays may bring attempts closer together.
const SPACING_SAFETY_FACTOR: f64 = 1.1;
/// Distance between the limit and the mean sum of random attempts, in standard deviations.
const STANDARD_DEVIATIONS: f64 = 5.0;
/// Length of a window, in milliseconds.
const WINDOW_MS: f64 = 300.0;

/// Spacing of this balancer's attempts at one instance in slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlowStartPace {
    /// Time between two attempts, in milliseconds.
    spacing_ms: f64,
    /// Length of the window after each multiple of the spacing in which attempts are allowed, in
    /// milliseconds; `None` for no windows.
    window_ms: Option<f64>,
}

impl SlowStartPace {
    /// Computes the pace at which `balancers` together stay within `per_second`; `None` while their number is
    /// unknown (0).
    pub(crate) fn new(per_second: f64, balancers: u32, bounds: &Bounds) -> Option<Self> {
        if balancers == 0 {
            return None;
        }
        let balancers = f64::from(balancers);
        let bound = per_second * bounds.cold_overrun + bounds.cold_slack;
        let per_balancer = (bound / balancers).floor();
        if per_balancer >= 1.0 {
            let even_spacing_s = balancers / (per_second * REGULAR_RATE_FRACTION);
            return Some(SlowStartPace {
                spacing_ms: 1_000.0 * even_spacing_s.max(SPACING_SAFETY_FACTOR / per_balancer),
                window_ms: None,
            });
        }
        // Solves m + d * sqrt(m) = bound, where m is the mean of a Poisson sum and d the number of standard
        // deviations.
        let root =
            (-STANDARD_DEVIATIONS + (STANDARD_DEVIATIONS * STANDARD_DEVIATIONS + 4.0 * bound).sqrt()) / 2.0;
        let rate = (per_second * RANDOM_WINDOW_RATE_FRACTION).min(root * root).max(f64::MIN_POSITIVE);
        let windows_per_second = 1.0 + WINDOW_MS / 1_000.0;
        let spacing_ms = 1_000.0 * balancers * windows_per_second / rate;
        Some(SlowStartPace { spacing_ms, window_ms: Some(WINDOW_MS) })
    }
}

/// Schedule of this balancer's attempts at one instance in slow start.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStartSchedule {
    /// Earliest time of the next attempt, in milliseconds; `None` outside of slow start.
    next_attempt_at: Option<f64>,
}

impl SlowStartSchedule {
    /// Enters slow start. The first attempt waits for a random fraction of the spacing.
    pub(crate) fn start(&mut self, now: u64, pace: &SlowStartPace, random_fraction: f64) {
        self.next_attempt_at.get_or_insert(now as f64 + random_fraction * pace.spacing_ms);
    }

    /// Whether the instance is in slow start.
    pub(crate) fn is_active(&self) -> bool {
        self.next_attempt_at.is_some()
    }

    /// Leaves slow start.
    pub(crate) fn stop(&mut self) {
        self.next_attempt_at = None;
    }

    /// Whether an attempt is allowed now.
    pub(crate) fn can_attempt(&self, now: u64, pace: &SlowStartPace) -> bool {
        let Some(next) = self.next_attempt_at else { return false };
        let since = now as f64 - next;
        since >= 0.0 && pace.window_ms.is_none_or(|window| since % pace.spacing_ms < window)
    }

    /// Schedules the next attempt after an attempt at `now`.
    pub(crate) fn record_attempt(&mut self, now: u64, pace: &SlowStartPace) {
        let started_at = if pace.window_ms.is_none() { now as f64 } else { self.window_start(now, pace) };
        self.next_attempt_at = Some(started_at + pace.spacing_ms);
    }

    fn window_start(&self, now: u64, pace: &SlowStartPace) -> f64 {
        let since = now as f64 - self.next_attempt_at.unwrap_or(now as f64);
        now as f64 - since.max(0.0) % pace.spacing_ms
    }
}
