//! State transfer: what brings a replica from one position in the history to a later one.

use serde::{Deserialize, Serialize};
use whinspindle_digests::KeyRange;

use crate::entry::{Entry, Outcome};
use crate::records::{Record, Records};

/// All records of a range of keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RangeContents {
    /// The range.
    pub range: KeyRange,
    /// Its records, in the order of their keys.
    pub records: Vec<(String, Record)>,
}

impl RangeContents {
    /// The records of this range.
    pub fn copy(records: &Records, range: KeyRange) -> RangeContents {
        let inside = range.entries(records.by_key());
        let records = inside.map(|(key, record)| (key.clone(), record.clone())).collect();
        RangeContents { range, records }
    }

    /// Replaces all records in the range by these.
    pub fn replace_in(self, records: &mut Records) {
        let map = records.by_key_mut();
        let mut above = map.split_off(&self.range.start);
        if let Some(to) = self.range.end {
            map.append(&mut above.split_off(&to));
        }
        map.extend(self.records);
    }
}

/// Entries, and ranges of records where entries are not enough.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transfer {
    /// The committed position of the receiver that this builds on.
    pub base: u64,
    /// Ranges of records that differ; empty where entries suffice.
    pub ranges: Vec<RangeContents>,
    /// The position after the ranges are applied; `base` without ranges.
    pub position: u64,
    /// With ranges: the kept outcomes of the sender as of `position`.
    pub outcomes: Vec<Outcome>,
    /// The entries after `position`.
    pub entries: Vec<Entry>,
    /// Entries up to here are committed.
    pub committed: u64,
}

impl Transfer {
    /// The position after the transfer.
    pub fn last(&self) -> u64 {
        self.entries.last().map_or(self.position, |entry| entry.sequence)
    }
}
