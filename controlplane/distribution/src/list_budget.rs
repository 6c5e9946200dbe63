//! A rate limit for complete lists of instances. Each new connection costs a list; where processor time is short and many
//! connections are opened, sending them all would leave time for nothing else, and more connections would time out.

/// The rate of instances in complete lists, per second.
const INSTANCES_PER_S: u64 = 30_000;
/// The time for which unused budget accumulates, in milliseconds.
const MAX_BURST_MS: u64 = 2_000;

/// The budget for complete lists. A list may be sent while any budget is left; one that exceeds it delays the next.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListBudget {
    /// When the cost of all lists sent so far has been made up for, in milliseconds.
    available_at: u64,
}

impl ListBudget {
    /// Whether a list may be sent now.
    pub fn has_any(&mut self, now: u64) -> bool {
        self.available_at = self.available_at.max(now.saturating_sub(MAX_BURST_MS));
        now >= self.available_at
    }

    /// Charges a list of this many instances.
    pub fn spend(&mut self, instances: usize) {
        self.available_at += instances as u64 * 1_000 / INSTANCES_PER_S;
    }
}
