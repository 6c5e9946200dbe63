//! Detection of zones in which many instances enter slow start at about the same time.

/// Minimum number of instances with a recent start of slow start for a zone to count as warming up.
const MIN_WARMING_INSTANCES: usize = 2;
/// The same instances must also be at least one in this many instances of the zone.
const WARMING_DIVISOR: usize = 2;

/// Counts the instances of a zone, and those that started slow start within a time span.
#[derive(Debug, Default)]
pub(crate) struct WarmingZone {
    instances: usize,
    warming: usize,
    /// End of the last of these slow starts, in milliseconds.
    pub(crate) warm_at: u64,
}

impl WarmingZone {
    /// Adds an instance. `warm_at` is the end of its slow start if that started within the time span.
    pub(crate) fn add_instance(&mut self, warm_at: Option<u64>) {
        self.instances += 1;
        if let Some(until) = warm_at {
            self.warming += 1;
            self.warm_at = self.warm_at.max(until);
        }
    }

    /// Whether to treat all instances of the zone as in slow start.
    pub(crate) fn is_warming_up(&self) -> bool {
        self.warming >= MIN_WARMING_INSTANCES && self.warming * WARMING_DIVISOR >= self.instances
    }
}
