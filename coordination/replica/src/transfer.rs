//! What brings a replica that lags up to date.

use serde::{Deserialize, Serialize};
use whinspindle_digests::KeyRange;

use crate::entry::{Entry, Outcome};
use crate::records::{Record, Records};

/// All records of a range of keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RangeContents {
    pub range: KeyRange,
    pub records: Vec<(String, Record)>,
}

impl RangeContents {
    pub fn copy(records: &Records, range: KeyRange) -> RangeContents {
        let inside = range.entries(records.by_key());
        let records = inside.map(|(key, record)| (key.clone(), record.clone())).collect();
        RangeContents { range, records }
    }

    /// Puts these records in the place of all that are in the range.
    pub fn replace_in(self, records: &mut Records) {
        let map = records.by_key_mut();
        let mut above = map.split_off(&self.range.from);
        if let Some(to) = self.range.to {
            map.append(&mut above.split_off(&to));
        }
        map.extend(self.records);
    }
}

/// Leads from one position in the history to a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transfer {
    /// The receiver's committed position that this builds on.
    pub base: u64,
    /// Ranges of records that differ; empty where entries alone are enough.
    pub ranges: Vec<RangeContents>,
    /// The position that the ranges lead to; `base` without ranges.
    pub position: u64,
    /// With ranges: the sender's kept outcomes as of `position`.
    pub outcomes: Vec<Outcome>,
    /// Entries after `position`.
    pub entries: Vec<Entry>,
    /// Of these, entries up to here are committed.
    pub committed: u64,
}

impl Transfer {
    /// The last entry that it leads to.
    pub fn last(&self) -> u64 {
        self.entries.last().map_or(self.position, |entry| entry.sequence)
    }
}
