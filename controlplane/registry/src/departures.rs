//! The departures of instances, by instance id. A departed instance never accepts new requests again.

use indexmap::IndexMap;

/// The stage of a departure. Stages only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DepartureStage {
    /// The instance has announced to a controller that it is draining, but no committed command confirms it
    /// yet.
    Announced,
    /// A committed command marks the instance as draining.
    Draining,
    /// The deregistration of the instance is committed.
    Deregistered,
}

/// The newest departures. When the capacity is exceeded, the oldest departure is removed.
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

    /// Advances an instance to a stage, unless it has reached a later one. Returns whether the stage has
    /// changed.
    pub(crate) fn advance(&mut self, id: &str, stage: DepartureStage) -> bool {
        if let Some(current) = self.stages.get_mut(id) {
            let has_advanced = stage > *current;
            *current = stage.max(*current);
            return has_advanced;
        }
        if self.stages.len() >= self.capacity {
            self.stages.shift_remove_index(0);
        }
        self.stages.insert(id.to_owned(), stage);
        true
    }
}
