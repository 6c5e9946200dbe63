//! Detection of zones of which many instances enter slow start at about the same time.

/// Least number of instances that have begun slow start for the whole zone to count as warming up.
const LEAST_WARMING_INSTANCES: usize = 2;
/// One in so many of the zone's instances must have done so as well.
const WARMING_DIVISOR: usize = 2;

/// Counts the instances of a zone that have begun slow start within a span of time.
#[derive(Debug, Default)]
pub(crate) struct WarmingZone {
    instances: usize,
    warming: usize,
    /// When the last of these is warm, in milliseconds.
    pub(crate) warm_at: u64,
}

impl WarmingZone {
    /// Counts one instance; `warm_at` is the end of its slow start if it has begun one within the span.
    pub(crate) fn count(&mut self, warm_at: Option<u64>) {
        self.instances += 1;
        if let Some(until) = warm_at {
            self.warming += 1;
            self.warm_at = self.warm_at.max(until);
        }
    }

    /// Whether all instances of the zone are to be treated as in slow start.
    pub(crate) fn is_warming_up(&self) -> bool {
        self.warming >= LEAST_WARMING_INSTANCES && self.warming * WARMING_DIVISOR >= self.instances
    }
}
