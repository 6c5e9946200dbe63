//! Counters of routing decisions of a service since the start of the process.

use std::cell::Cell;

use indexmap::IndexMap;

use crate::RejectionReason;

/// Counters of routing decisions of a service. Some counters are cells since a pick borrows the service
/// immutably.
#[derive(Debug, Default)]
pub(crate) struct ChoiceCounts {
    /// Picks that skipped a busy instance.
    pub(crate) busy_instance_skips: Cell<u64>,
    /// Prompts forwarded to the cache owner of their prefix.
    pub(crate) cache_owner_hits: Cell<u64>,
    /// Prompts forwarded to another instance since the cache owner was above its bound.
    pub(crate) cache_owner_misses: Cell<u64>,
    rejections: IndexMap<RejectionReason, u64>,
}

impl ChoiceCounts {
    /// Counts a rejection.
    pub(crate) fn record_rejection(&mut self, reason: RejectionReason) {
        *self.rejections.entry(reason).or_default() += 1;
    }

    /// Rejections by reason, in the order of their first occurrence.
    pub(crate) fn rejections(&self) -> Vec<(RejectionReason, u64)> {
        self.rejections.iter().map(|(&reason, &count)| (reason, count)).collect()
    }
}

/// Adds one to a counter.
pub(crate) fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
