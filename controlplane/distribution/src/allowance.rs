//! How many instances a second are sent in whole lists. Connections that are opened anew each cost a list; where
//! processor time is short, so many are that nothing else would be done, and still more would be given up as silent.

/// So many instances a second.
const INSTANCES_PER_S: u64 = 30_000;
/// What was not used before counts for this long.
const LARGEST_STORE_MS: u64 = 2_000;

/// What may be sent now. A list is sent whole where anything is left; what it takes beyond that has to be made up for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListAllowance {
    /// When what was sent has been made up for.
    settled_at: u64,
}

impl ListAllowance {
    /// Whether a list may be sent.
    pub fn has_any(&mut self, now: u64) -> bool {
        self.settled_at = self.settled_at.max(now.saturating_sub(LARGEST_STORE_MS));
        now >= self.settled_at
    }

    /// So many instances were sent in a list.
    pub fn spend(&mut self, instances: usize) {
        self.settled_at += instances as u64 * 1_000 / INSTANCES_PER_S;
    }
}
