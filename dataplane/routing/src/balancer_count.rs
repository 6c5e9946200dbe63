//! The number of balancers that share the limits of the fleet.

/// A lower number applies only after it has been reported for this time, in milliseconds, since a controller
/// that has just started or is partitioned knows too few balancers.
const LOWER_COUNT_DELAY_MS: u64 = 15_000;

/// The number of balancers; 0 while it is unknown.
#[derive(Clone, Debug, Default)]
pub(crate) struct BalancerCount {
    count: u32,
    /// A lower number that does not apply yet, and the time of its first report.
    pending_lower: Option<(u32, u64)>,
}

impl BalancerCount {
    /// Returns the number that applies now.
    pub(crate) fn get(&self) -> u32 {
        self.count
    }

    /// Records a reported number. A higher number applies at once, a lower one after the delay.
    pub(crate) fn update(&mut self, now: u64, count: u32) {
        if count >= self.count {
            self.count = count;
            self.pending_lower = None;
            return;
        }
        let since = self.pending_lower.map_or(now, |(_, since)| since);
        self.pending_lower = Some((count, since));
        self.apply_pending_count(now);
    }

    /// Applies a pending lower number after its delay. Returns whether the number changed.
    pub(crate) fn apply_pending_count(&mut self, now: u64) -> bool {
        let Some((count, since)) = self.pending_lower else { return false };
        if count == 0 || now < since + LOWER_COUNT_DELAY_MS {
            return false;
        }
        self.count = count;
        self.pending_lower = None;
        true
    }
}
