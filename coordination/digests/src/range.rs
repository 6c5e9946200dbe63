//! Ranges of keys.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};

/// A half-open range of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// The inclusive start.
    pub start: String,
    /// The exclusive end; `None` if the range is unbounded.
    pub end: Option<String>,
}

impl KeyRange {
    /// The range of all keys.
    pub fn all() -> Self {
        KeyRange::default()
    }

    /// Whether a key is in the range.
    pub fn contains(&self, key: &str) -> bool {
        self.start.as_str() <= key && self.end.as_deref().is_none_or(|to| key < to)
    }

    /// The entries of a map whose keys are in the range, in key order.
    pub fn entries<'a, R>(
        &self,
        records: &'a BTreeMap<String, R>,
    ) -> impl Iterator<Item = (&'a String, &'a R)> {
        let is_empty = self.end.as_deref().is_some_and(|to| to <= self.start.as_str());
        let end = match &self.end {
            // `BTreeMap::range` panics if the end is before the start.
            Some(_) if is_empty => Bound::Excluded(self.start.as_str()),
            Some(to) => Bound::Excluded(to.as_str()),
            None => Bound::Unbounded,
        };
        records.range::<str, _>((Bound::Included(self.start.as_str()), end))
    }
}
