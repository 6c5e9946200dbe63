//! What a service's choices came to, counted since the start of the process.

use std::cell::Cell;

use indexmap::IndexMap;

use crate::RefusalReason;

/// Counts of a service's choices. Those of picks are cells, since a pick changes nothing else.
#[derive(Debug, Default)]
pub(crate) struct ChoiceCounts {
    /// Picks that passed over an instance for its sends in flight.
    pub(crate) passed_over: Cell<u64>,
    /// Prompts sent to the instance that ranks highest for their shared parts.
    pub(crate) at_holder: Cell<u64>,
    /// Prompts sent elsewhere, since that one had too much.
    pub(crate) beside_holder: Cell<u64>,
    refusals: IndexMap<RefusalReason, u64>,
}

impl ChoiceCounts {
    pub(crate) fn note_refusal(&mut self, reason: RefusalReason) {
        *self.refusals.entry(reason).or_default() += 1;
    }

    pub(crate) fn refusals(&self) -> Vec<(RefusalReason, u64)> {
        self.refusals.iter().map(|(&reason, &count)| (reason, count)).collect()
    }
}

pub(crate) fn count_one(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
