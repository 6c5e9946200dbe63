//! Computes the changes between two lists of instances, and applies changes to a list.

use std::collections::{HashMap, HashSet};

use crate::{Instance, InstanceChanges, Instances};

impl InstanceChanges {
    /// Computes the changes from one list to another. Both must refer to the same point in time, because
    /// remaining slow starts are compared without adjustment.
    pub fn between(older: &Instances, newer: &Instances) -> InstanceChanges {
        let older_by_id: HashMap<&str, &Instance> =
            older.list.iter().map(|instance| (instance.id.as_str(), instance)).collect();
        let newer_ids: HashSet<&str> = newer.list.iter().map(|instance| instance.id.as_str()).collect();
        let differs = |instance: &&Instance| older_by_id.get(instance.id.as_str()) != Some(instance);
        let is_missing = |instance: &&Instance| !newer_ids.contains(instance.id.as_str());
        InstanceChanges {
            base: older.version,
            version: newer.version,
            changed: newer.list.iter().filter(differs).cloned().collect(),
            removed: older.list.iter().filter(is_missing).map(|instance| instance.id.clone()).collect(),
        }
    }

    /// Returns the number of changed and removed instances.
    pub fn len(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// Whether the two lists differ only in their versions.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the changes as of a later time, with the remaining slow starts reduced by the elapsed time.
    pub fn aged(&self, elapsed_ms: u64) -> InstanceChanges {
        let mut aged = self.clone();
        aged.changed.iter_mut().for_each(|instance| instance.age(elapsed_ms));
        aged
    }

    /// Applies the changes to a list. Returns false and leaves the list unchanged if its version is not
    /// `base`.
    pub fn apply_to(self, instances: &mut Instances) -> bool {
        if instances.version != self.base {
            return false;
        }
        instances.version = self.version;
        let removed: HashSet<String> = self.removed.into_iter().collect();
        instances.list.retain(|instance| !removed.contains(&instance.id));
        let mut changed: HashMap<String, Instance> =
            self.changed.iter().map(|instance| (instance.id.clone(), instance.clone())).collect();
        for instance in &mut instances.list {
            if let Some(newer) = changed.remove(&instance.id) {
                *instance = newer;
            }
        }
        instances.list.extend(self.changed.into_iter().filter(|instance| changed.contains_key(&instance.id)));
        true
    }
}
