//! Ranges of keys.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};

/// A half-open range of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// The first key.
    pub from: String,
    /// The end, which is not part of the range; `None` if there is none.
    pub to: Option<String>,
}

impl KeyRange {
    /// All keys.
    pub fn all() -> Self {
        KeyRange::default()
    }

    /// Whether a key is in the range.
    pub fn contains(&self, key: &str) -> bool {
        self.from.as_str() <= key && self.to.as_deref().is_none_or(|to| key < to)
    }

    /// The entries of a map whose keys are in the range, in their order.
    pub fn entries<'a, R>(
        &self,
        records: &'a BTreeMap<String, R>,
    ) -> impl Iterator<Item = (&'a String, &'a R)> {
        let is_empty = self.to.as_deref().is_some_and(|to| to <= self.from.as_str());
        let end = match &self.to {
            // `BTreeMap::range` panics if the end is before the start.
            Some(_) if is_empty => Bound::Excluded(self.from.as_str()),
            Some(to) => Bound::Excluded(to.as_str()),
            None => Bound::Unbounded,
        };
        records.range::<str, _>((Bound::Included(self.from.as_str()), end))
    }
}
