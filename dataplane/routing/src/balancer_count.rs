//! How many balancers share a bound.

/// A lower number counts only once it has been told for this long: a controller that has just started, or lost touch
/// with others, knows too few.
const HOLD_MS: u64 = 15_000;

/// The number of balancers; 0 while it is not known.
#[derive(Clone, Debug, Default)]
pub(crate) struct BalancerCount {
    held: u32,
    lower: Option<(u32, u64)>,
}

impl BalancerCount {
    pub(crate) fn get(&self) -> u32 {
        self.held
    }

    pub(crate) fn told(&mut self, now: u64, count: u32) {
        if count >= self.held {
            self.held = count;
            self.lower = None;
            return;
        }
        let since = self.lower.map_or(now, |(_, since)| since);
        self.lower = Some((count, since));
        self.pass_time(now);
    }

    /// Takes a lower number once it is due; answers whether it did.
    pub(crate) fn pass_time(&mut self, now: u64) -> bool {
        let Some((count, since)) = self.lower else { return false };
        if count == 0 || now < since + HOLD_MS {
            return false;
        }
        self.held = count;
        self.lower = None;
        true
    }
}
