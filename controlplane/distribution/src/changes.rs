//! The differences between two lists of instances: what they are, and the newer list from the older one.

use std::collections::{HashMap, HashSet};

use crate::{Instance, InstanceChanges, Instances};

impl InstanceChanges {
    /// What leads from one list to another. Both are as of the same moment: cold times are compared as they stand.
    pub fn between(older: &Instances, newer: &Instances) -> InstanceChanges {
        let held: HashMap<&str, &Instance> =
            older.list.iter().map(|instance| (instance.id.as_str(), instance)).collect();
        let named: HashSet<&str> = newer.list.iter().map(|instance| instance.id.as_str()).collect();
        let differs = |instance: &&Instance| held.get(instance.id.as_str()) != Some(instance);
        let is_missing = |instance: &&Instance| !named.contains(instance.id.as_str());
        InstanceChanges {
            base: older.version,
            version: newer.version,
            changed: newer.list.iter().filter(differs).cloned().collect(),
            removed: older.list.iter().filter(is_missing).map(|instance| instance.id.clone()).collect(),
        }
    }

    /// How many instances they concern.
    pub fn len(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// Whether the lists differ by their version alone.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The same changes as of a later moment.
    pub fn aged(&self, elapsed_ms: u64) -> InstanceChanges {
        let mut aged = self.clone();
        aged.changed.iter_mut().for_each(|instance| instance.age(elapsed_ms));
        aged
    }

    /// Makes the newer list of the older one. False, and nothing is changed, if they don't build on that list.
    pub fn apply_to(self, held: &mut Instances) -> bool {
        if held.version != self.base {
            return false;
        }
        held.version = self.version;
        let removed: HashSet<String> = self.removed.into_iter().collect();
        held.list.retain(|instance| !removed.contains(&instance.id));
        let mut changed: HashMap<String, Instance> =
            self.changed.iter().map(|instance| (instance.id.clone(), instance.clone())).collect();
        for instance in &mut held.list {
            if let Some(newer) = changed.remove(&instance.id) {
                *instance = newer;
            }
        }
        held.list.extend(self.changed.into_iter().filter(|instance| changed.contains_key(&instance.id)));
        true
    }
}
