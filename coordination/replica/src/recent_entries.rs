//! A bounded cache of recently committed entries, for replicas that are slightly behind.

use std::collections::VecDeque;

use crate::entry::Entry;

/// The number of entries that are kept at most.
const MAX_ENTRIES: usize = 256;
/// The size of the entries that are kept at most, in bytes.
const MAX_BYTES: usize = 512 * 1024;

/// Consecutive committed entries, oldest first.
#[derive(Clone, Debug, Default)]
pub struct RecentEntries {
    /// The entries.
    entries: VecDeque<Entry>,
    /// Their size in bytes.
    bytes: usize,
}

impl RecentEntries {
    /// Adds the next entry, and evicts the oldest beyond the limits. After a gap only the new entry is kept.
    pub fn add(&mut self, entry: Entry) {
        let follows = self.entries.back().is_none_or(|last| last.sequence + 1 == entry.sequence);
        if !follows {
            self.clear();
        }
        self.bytes += entry.size();
        self.entries.push_back(entry);
        while self.entries.len() > MAX_ENTRIES || self.bytes > MAX_BYTES {
            let Some(oldest) = self.entries.pop_front() else { return };
            self.bytes -= oldest.size();
        }
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// All entries after `sequence` up to `committed`, if they are still kept.
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
