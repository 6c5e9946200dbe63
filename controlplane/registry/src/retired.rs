//! Identifiers of instances that take no new requests ever again.

use indexmap::IndexMap;

/// How far an instance is on its way out; a later stage never goes back to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Retirement {
    /// It has said, here or at another controller, that it leaves; this is not committed yet.
    Announced,
    /// That it leaves is committed.
    Draining,
    /// It has ended.
    Gone,
}

/// Remembers the newest retirements; the oldest are forgotten beyond a bound.
#[derive(Debug)]
pub(crate) struct RetiredIds {
    stages: IndexMap<String, Retirement>,
    capacity: usize,
}

impl RetiredIds {
    pub(crate) fn new(capacity: usize) -> Self {
        RetiredIds { stages: IndexMap::new(), capacity }
    }

    pub(crate) fn stage(&self, id: &str) -> Option<Retirement> {
        self.stages.get(id).copied()
    }

    pub(crate) fn is_gone(&self, id: &str) -> bool {
        self.stage(id) == Some(Retirement::Gone)
    }

    /// Raises the stage of an instance; answers whether it rose.
    pub(crate) fn raise(&mut self, id: &str, stage: Retirement) -> bool {
        if let Some(held) = self.stages.get_mut(id) {
            let rises = stage > *held;
            *held = stage.max(*held);
            return rises;
        }
        if self.stages.len() >= self.capacity {
            self.stages.shift_remove_index(0);
        }
        self.stages.insert(id.to_owned(), stage);
        true
    }
}
