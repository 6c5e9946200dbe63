//! The differences between two lists of instances: computing them, and applying them to the older list.

use std::collections::{HashMap, HashSet};

use crate::{Instance, InstanceChanges, Instances};

impl InstanceChanges {
    /// The changes from one list to another. Both must be as of the same time: remaining slow starts are compared as they
    /// are.
    pub fn between(older: &Instances, newer: &Instances) -> InstanceChanges {
        let known: HashMap<&str, &Instance> =
            older.list.iter().map(|instance| (instance.id.as_str(), instance)).collect();
        let listed: HashSet<&str> = newer.list.iter().map(|instance| instance.id.as_str()).collect();
        let differs = |instance: &&Instance| known.get(instance.id.as_str()) != Some(instance);
        let is_missing = |instance: &&Instance| !listed.contains(instance.id.as_str());
        InstanceChanges {
            base: older.version,
            version: newer.version,
            changed: newer.list.iter().filter(differs).cloned().collect(),
            removed: older.list.iter().filter(is_missing).map(|instance| instance.id.clone()).collect(),
        }
    }

    /// The number of instances that are changed or removed.
    pub fn len(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// Whether the lists differ in their versions only.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The same changes as of a later time: slow starts have less time left.
    pub fn aged(&self, elapsed_ms: u64) -> InstanceChanges {
        let mut aged = self.clone();
        aged.changed.iter_mut().for_each(|instance| instance.age(elapsed_ms));
        aged
    }

    /// Turns the older list into the newer one. False, and no change, if these changes don't build on that list.
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
