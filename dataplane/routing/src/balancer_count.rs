//! The number of balancers among which limits are divided.

/// A lower number is taken only after it has been reported for this time, in milliseconds: a controller that has just
/// started, or is partitioned from others, knows too few.
const LOWER_COUNT_DELAY_MS: u64 = 15_000;

/// The number of balancers; 0 while it is not known.
#[derive(Clone, Debug, Default)]
pub(crate) struct BalancerCount {
    count: u32,
    /// A lower number that is not taken yet, and since when it is reported.
    lower: Option<(u32, u64)>,
}

impl BalancerCount {
    /// The number in force.
    pub(crate) fn get(&self) -> u32 {
        self.count
    }

    /// Takes a reported number: a higher one at once, a lower one after the delay.
    pub(crate) fn update(&mut self, now: u64, count: u32) {
        if count >= self.count {
            self.count = count;
            self.lower = None;
            return;
        }
        let since = self.lower.map_or(now, |(_, since)| since);
        self.lower = Some((count, since));
        self.pass_time(now);
    }

    /// Takes the lower number if its delay is over. Returns whether it did.
    pub(crate) fn pass_time(&mut self, now: u64) -> bool {
        let Some((count, since)) = self.lower else { return false };
        if count == 0 || now < since + LOWER_COUNT_DELAY_MS {
            return false;
        }
        self.count = count;
        self.lower = None;
        true
    }
}
