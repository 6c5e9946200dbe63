//! Counters of a service's choices since the start of the process.

use std::cell::Cell;

use indexmap::IndexMap;

use crate::RejectionReason;

/// Counters of a service's choices. Those of picks are cells since a pick borrows the service immutably.
#[derive(Debug, Default)]
pub(crate) struct ChoiceCounts {
    /// Picks that passed over an instance for its attempts in flight.
    pub(crate) passed_over: Cell<u64>,
    /// Prompts forwarded to the cache owner of their prefix.
    pub(crate) cache_owner_hits: Cell<u64>,
    /// Prompts forwarded elsewhere since the cache owner was above its bound.
    pub(crate) cache_owner_misses: Cell<u64>,
    rejections: IndexMap<RejectionReason, u64>,
}

impl ChoiceCounts {
    /// Counts a rejection.
    pub(crate) fn record_rejection(&mut self, reason: RejectionReason) {
        *self.rejections.entry(reason).or_default() += 1;
    }

    /// Rejections by reason, in the order in which the reasons first occurred.
    pub(crate) fn rejections(&self) -> Vec<(RejectionReason, u64)> {
        self.rejections.iter().map(|(&reason, &count)| (reason, count)).collect()
    }
}

/// Adds one to a counter.
pub(crate) fn count_one(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
