//! The departures of instances: ids that never take new requests again.

use indexmap::IndexMap;

/// The progress of a departure; a later stage never goes back to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DepartureStage {
    /// The instance has announced, here or at another controller, that it is draining; this is not committed yet.
    Announced,
    /// That it is draining is committed.
    Draining,
    /// Its deregistration is committed.
    Deregistered,
}

/// The newest departures; beyond the capacity the oldest are removed.
#[derive(Debug)]
pub(crate) struct Departures {
    stages: IndexMap<String, DepartureStage>,
    capacity: usize,
}

impl Departures {
    pub(crate) fn new(capacity: usize) -> Self {
        Departures { stages: IndexMap::new(), capacity }
    }

    pub(crate) fn stage(&self, id: &str) -> Option<DepartureStage> {
        self.stages.get(id).copied()
    }

    pub(crate) fn is_deregistered(&self, id: &str) -> bool {
        self.stage(id) == Some(DepartureStage::Deregistered)
    }

    /// Raises the stage of an instance; returns whether it rose.
    pub(crate) fn raise(&mut self, id: &str, stage: DepartureStage) -> bool {
        if let Some(present) = self.stages.get_mut(id) {
            let rises = stage > *present;
            *present = stage.max(*present);
            return rises;
        }
        if self.stages.len() >= self.capacity {
            self.stages.shift_remove_index(0);
        }
        self.stages.insert(id.to_owned(), stage);
        true
    }
}
