//! A rate limit for complete lists of instances. Each new connection needs a complete list. If many
//! connections open at once on a busy machine, sending all lists immediately would use up the processor time,
//! and more connections would time out.

/// The maximum number of instances per second that are sent in complete lists.
const MAX_INSTANCES_PER_S: u64 = 30_000;
/// The maximum time for which unused budget accumulates, in milliseconds.
const MAX_BURST_MS: u64 = 2_000;

/// The budget for complete lists. A list may be sent while any budget is left. A list that exceeds the budget
/// delays the next one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListBudget {
    /// The time at which the cost of all lists sent so far is paid off, in milliseconds.
    available_at_ms: u64,
}

impl ListBudget {
    /// Whether a list may be sent now.
    pub fn is_available(&mut self, now: u64) -> bool {
        self.available_at_ms = self.available_at_ms.max(now.saturating_sub(MAX_BURST_MS));
        now >= self.available_at_ms
    }

    /// Charges the budget for a list with the given number of instances.
    pub fn spend(&mut self, instance_count: usize) {
        self.available_at_ms += instance_count as u64 * 1_000 / MAX_INSTANCES_PER_S;
    }
}
