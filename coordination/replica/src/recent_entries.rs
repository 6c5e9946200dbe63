//! Entries that were committed lately, for replicas that lag a little.

use std::collections::VecDeque;

use crate::entry::Entry;

const MAX_ENTRIES: usize = 256;
const MAX_BYTES: usize = 512 * 1024;

#[derive(Clone, Debug, Default)]
pub struct RecentEntries {
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl RecentEntries {
    /// Adds the entry after the last; after a gap only this one is kept.
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

    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// All entries after this sequence up to the committed one, if they are still here.
    pub fn after(&self, sequence: u64, committed: u64) -> Option<Vec<Entry>> {
        if sequence >= committed {
            return Some(Vec::new());
        }
        let first = self.entries.front()?.sequence;
        let last = self.entries.back()?.sequence;
        let is_covered = first <= sequence + 1 && last == committed;
        let wanted = self.entries.iter().filter(|entry| entry.sequence > sequence);
        is_covered.then(|| wanted.cloned().collect())
    }
}
