//! A bounded cache of recently committed entries, for replicas that are slightly behind.

use std::collections::VecDeque;

use crate::entry::Entry;

/// The maximum number of cached entries.
const MAX_ENTRIES: usize = 256;
/// The maximum size of the cached entries.
const MAX_BYTES: usize = 512 * 1024;

/// Consecutive committed entries, oldest first.
#[derive(Clone, Debug, Default)]
pub struct RecentEntries {
    entries: VecDeque<Entry>,
    /// The size of the entries.
    size_bytes: usize,
}

impl RecentEntries {
    /// Adds the next entry and evicts the oldest entries beyond the limits. After a gap, only the new entry
    /// is kept.
    pub fn add(&mut self, entry: Entry) {
        let is_consecutive = self.entries.back().is_none_or(|last| last.sequence + 1 == entry.sequence);
        if !is_consecutive {
            self.clear();
        }
        self.size_bytes += entry.size_bytes();
        self.entries.push_back(entry);
        while self.entries.len() > MAX_ENTRIES || self.size_bytes > MAX_BYTES {
            let Some(oldest) = self.entries.pop_front() else { return };
            self.size_bytes -= oldest.size_bytes();
        }
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.size_bytes = 0;
    }

    /// All entries after `sequence` and up to `committed`, if all of them are cached.
    pub fn after(&self, sequence: u64, committed: u64) -> Option<Vec<Entry>> {
        if sequence >= committed {
            return Some(Vec::new());
        }
        let first = self.entries.front()?.sequence;
        let last = self.entries.back()?.sequence;
        let is_covered = first <= sequence + 1 && last == committed;
        let newer = self.entries.iter().filter(|entry| entry.sequence > sequence);
        is_covered.then(|| newer.cloned().collect())
    }
}
