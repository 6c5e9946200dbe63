//! The replicated records: a sorted map of values, each with the position in the history of its last write.

use std::collections::BTreeMap;
use std::collections::btree_map;
use std::ops::Bound;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use whinspindle_digests::VersionedRecord;

/// A write of one record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordWrite {
    /// The key of the record.
    pub key: String,
    /// The new value; `None` removes the record.
    pub value: Option<Vec<u8>>,
}

/// A value and the position in the history of its write.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The position of the write.
    pub sequence: u64,
    /// The value.
    pub value: Arc<Vec<u8>>,
}

impl VersionedRecord for Record {
    fn sequence(&self) -> u64 {
        self.sequence
    }

    fn value(&self) -> &[u8] {
        &self.value
    }
}

/// All records, by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    by_key: BTreeMap<String, Record>,
}

impl Records {
    /// The record with this key.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.by_key.get(key)
    }

    /// The records whose keys start with the prefix, in key order.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Record)> {
        let from = (Bound::Included(prefix), Bound::Unbounded);
        let matching = self.by_key.range::<str, _>(from).take_while(move |(key, _)| key.starts_with(prefix));
        matching.map(|(key, record)| (key.as_str(), record))
    }

    /// All records, in key order.
    pub fn iter(&self) -> btree_map::Iter<'_, String, Record> {
        self.by_key.iter()
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Applies the writes of one command.
    pub fn apply(&mut self, sequence: u64, writes: &[RecordWrite]) {
        for write in writes {
            match &write.value {
                Some(value) => {
                    let record = Record { sequence, value: Arc::new(value.clone()) };
                    self.by_key.insert(write.key.clone(), record);
                }
                None => {
                    self.by_key.remove(&write.key);
                }
            }
        }
    }

    /// The sorted map, for range digests.
    pub(crate) fn by_key(&self) -> &BTreeMap<String, Record> {
        &self.by_key
    }

    /// The sorted map, to replace ranges of it.
    pub(crate) fn by_key_mut(&mut self) -> &mut BTreeMap<String, Record> {
        &mut self.by_key
    }
}
