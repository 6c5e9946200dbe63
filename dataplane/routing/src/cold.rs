//! This balancer's share of what a cold instance bears.
//!
//! The rule bounds the sum over all balancers in any second. Balancers don't ask each other: each keeps a spacing
//! between its own sends such that all together, whatever their phases, stay within the bound. Where there are more
//! balancers than the bound has sends that can't be had. Then each sends in short windows of its own alone, whose phases
//! are drawn by chance and whose number keeps the sum far below the bound.

use whinspindle_configuration::Bounds;

/// A cold instance is given this part of the rate that it is said to bear.
const USED_PART: f64 = 0.9;
/// The same where the sum is kept by chance.
const USED_PART_BY_CHANCE: f64 = 0.5;
/// Sends that are spaced by a second may arrive this much closer.
const JITTER: f64 = 1.1;
/// How many deviations of a sum of rare events the bound is kept away from its mean.
const DEVIATIONS: f64 = 5.0;
const WINDOW_MS: f64 = 300.0;

/// How this balancer's sends to a cold instance are spaced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ColdPace {
    spacing_ms: f64,
    /// Sends are allowed only so long after each multiple of the spacing, if given.
    window_ms: Option<f64>,
}

impl ColdPace {
    /// For an instance that bears `per_second` from all of so many balancers; none while their number is not known.
    pub(crate) fn new(per_second: f64, balancers: u32, bounds: &Bounds) -> Option<Self> {
        if balancers == 0 {
            return None;
        }
        let balancers = f64::from(balancers);
        let bound = per_second * bounds.cold_overrun + bounds.cold_slack;
        let each = (bound / balancers).floor();
        if each >= 1.0 {
            let even = balancers / (per_second * USED_PART);
            return Some(ColdPace { spacing_ms: 1_000.0 * even.max(JITTER / each), window_ms: None });
        }
        // The mean m of a sum of rare events for which m + d * sqrt(m) is the bound.
        let root = (-DEVIATIONS + (DEVIATIONS * DEVIATIONS + 4.0 * bound).sqrt()) / 2.0;
        let rate = (per_second * USED_PART_BY_CHANCE).min(root * root).max(f64::MIN_POSITIVE);
        let windows_in_a_second = 1.0 + WINDOW_MS / 1_000.0;
        let spacing_ms = 1_000.0 * balancers * windows_in_a_second / rate;
        Some(ColdPace { spacing_ms, window_ms: Some(WINDOW_MS) })
    }
}

/// When this balancer may send to one cold instance again.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdShare {
    /// The next send is not before this, once a cold time has begun.
    next: Option<f64>,
}

impl ColdShare {
    /// In a cold time: the first send waits for a part of the spacing drawn by chance.
    pub(crate) fn begin(&mut self, now: u64, pace: &ColdPace, chance: f64) {
        self.next.get_or_insert(now as f64 + chance * pace.spacing_ms);
    }

    pub(crate) fn is_begun(&self) -> bool {
        self.next.is_some()
    }

    pub(crate) fn end(&mut self) {
        self.next = None;
    }

    pub(crate) fn has_room(&self, now: u64, pace: &ColdPace) -> bool {
        let Some(next) = self.next else { return false };
        let since = now as f64 - next;
        since >= 0.0 && pace.window_ms.is_none_or(|window| since % pace.spacing_ms < window)
    }

    pub(crate) fn note_send(&mut self, now: u64, pace: &ColdPace) {
        let begun = if pace.window_ms.is_none() { now as f64 } else { self.window_begin(now, pace) };
        self.next = Some(begun + pace.spacing_ms);
    }

    fn window_begin(&self, now: u64, pace: &ColdPace) -> f64 {
        let since = now as f64 - self.next.unwrap_or(now as f64);
        now as f64 - since.max(0.0) % pace.spacing_ms
    }
}
