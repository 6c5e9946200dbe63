//! State transfer: the data that brings a replica from one position in the history to a later one.

use serde::{Deserialize, Serialize};
use whinspindle_digests::KeyRange;

use crate::entry::{Entry, Outcome};
use crate::records::{Record, Records};

/// All records of a range of keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RangeContents {
    /// The range.
    pub range: KeyRange,
    /// The records of the range, in key order.
    pub records: Vec<(String, Record)>,
}

impl RangeContents {
    /// Copies the records of a range.
    pub fn copy(records: &Records, range: KeyRange) -> RangeContents {
        let entries = range.entries(records.by_key());
        let records = entries.map(|(key, record)| (key.clone(), record.clone())).collect();
        RangeContents { range, records }
    }

    /// Replaces all records in the range with these contents.
    pub fn replace_in(self, records: &mut Records) {
        let map = records.by_key_mut();
        let mut records_from_start = map.split_off(&self.range.start);
        if let Some(to) = self.range.end {
            map.append(&mut records_from_start.split_off(&to));
        }
        map.extend(self.records);
    }
}

/// A state transfer. It contains entries, and ranges of records if the sender no longer has all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transfer {
    /// The committed position of the receiver before the transfer.
    pub base: u64,
    /// The ranges of records that differ; empty if entries suffice.
    pub ranges: Vec<RangeContents>,
    /// The position after the ranges are applied; equal to `base` without ranges.
    pub position: u64,
    /// With ranges: the outcomes kept by the sender as of `position`.
    pub outcomes: Vec<Outcome>,
    /// The entries after `position`.
    pub entries: Vec<Entry>,
    /// The last committed entry.
    pub committed: u64,
}

impl Transfer {
    /// The position after the transfer.
    pub fn last_sequence(&self) -> u64 {
        self.entries.last().map_or(self.position, |entry| entry.sequence)
    }
}
