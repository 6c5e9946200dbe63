//! The state of a receiver of updates: the current version of each section.

use std::collections::{HashSet, VecDeque};

use crate::{Configured, Evacuations, Fleet, Instances, Update, Versions};

/// The maximum number of IDs of draining instances that are stored.
const DRAINING_CAPACITY: usize = 4096;

/// The current sections of a receiver. Configurations and evacuations follow the replicated history, so older
/// versions are ignored. For instances and fleet, each controller has its own view, so the last received
/// version applies.
#[derive(Clone, Debug, Default)]
pub struct AppliedState {
    configured: Option<Configured>,
    evacuations: Option<Evacuations>,
    instances: Option<Instances>,
    /// The time at which `instances` was received, in milliseconds.
    instances_received_at_ms: u64,
    fleet: Option<Fleet>,
    draining: DrainingIds,
}

impl AppliedState {
    /// Creates a state without sections.
    pub fn new() -> Self {
        AppliedState::default()
    }

    /// Applies an update and returns only the sections that changed the state. The caller must first expand
    /// changes of instances to a complete list
    /// ([`InstanceChanges::apply_to`](crate::InstanceChanges::apply_to)); they are ignored here.
    pub fn apply(&mut self, now: u64, update: Update) -> Update {
        Update {
            configured: update.configured.filter(|section| self.apply_configured(section)),
            evacuations: update.evacuations.filter(|section| self.apply_evacuations(section)),
            instances: update.instances.and_then(|section| self.apply_instances(now, section)),
            fleet: update.fleet.filter(|section| self.apply_fleet(section)),
            changes: None,
        }
    }

    /// Marks an instance as draining, even if later lists contain it as not draining.
    pub fn mark_draining(&mut self, instance: &str) {
        self.draining.insert(instance);
    }

    /// Returns all sections as of `now`, for a receiver that has no sections yet.
    pub fn snapshot(&self, now: u64) -> Update {
        let elapsed_ms = now.saturating_sub(self.instances_received_at_ms);
        Update {
            configured: self.configured.clone(),
            evacuations: self.evacuations.clone(),
            instances: self.instances.as_ref().map(|section| section.aged(elapsed_ms)),
            fleet: self.fleet.clone(),
            changes: None,
        }
    }

    /// Returns the configuration, if one was received.
    pub fn configured(&self) -> Option<&Configured> {
        self.configured.as_ref()
    }

    /// Returns the evacuated zones, if they were received.
    pub fn evacuations(&self) -> Option<&Evacuations> {
        self.evacuations.as_ref()
    }

    /// Returns the instances as they were received, if they were. Only `snapshot` reduces the remaining slow
    /// starts by the elapsed time.
    pub fn instances(&self) -> Option<&Instances> {
        self.instances.as_ref()
    }

    /// Returns the state of the fleet, if it was received.
    pub fn fleet(&self) -> Option<&Fleet> {
        self.fleet.as_ref()
    }

    /// Returns the version of each section, for the acknowledgement in a [`Report`](crate::Report). The
    /// version of a missing section is 0.
    pub fn versions(&self) -> Versions {
        Versions {
            configured: self.configured.as_ref().map_or(0, |section| section.sequence),
            evacuations: self.evacuations.as_ref().map_or(0, |section| section.sequence),
            instances: self.instances.as_ref().map_or(0, |section| section.version),
            fleet: self.fleet.as_ref().map_or(0, |section| section.version),
        }
    }

    fn apply_configured(&mut self, section: &Configured) -> bool {
        let is_newer = self.configured.as_ref().is_none_or(|current| section.sequence > current.sequence);
        if is_newer {
            self.configured = Some(section.clone());
        }
        is_newer
    }

    fn apply_evacuations(&mut self, section: &Evacuations) -> bool {
        let is_newer = self.evacuations.as_ref().is_none_or(|current| section.sequence > current.sequence);
        if is_newer {
            self.evacuations = Some(section.clone());
        }
        is_newer
    }

    /// Applies a list of instances. An instance that was draining stays draining, even if the list of another
    /// controller contains it as not draining.
    fn apply_instances(&mut self, now: u64, mut section: Instances) -> Option<Instances> {
        for instance in &mut section.list {
            if instance.draining {
                self.draining.insert(&instance.id);
            } else {
                instance.draining = self.draining.contains(&instance.id);
            }
        }
        if self.instances.as_ref() == Some(&section) {
            return None;
        }
        self.instances = Some(section.clone());
        self.instances_received_at_ms = now;
        Some(section)
    }

    fn apply_fleet(&mut self, section: &Fleet) -> bool {
        let is_changed = self.fleet.as_ref() != Some(section);
        if is_changed {
            self.fleet = Some(section.clone());
        }
        is_changed
    }
}

/// The IDs of instances that were draining. When the capacity is reached, the oldest ID is removed.
#[derive(Clone, Debug, Default)]
struct DrainingIds {
    ids: HashSet<String>,
    insertion_order: VecDeque<String>,
}

impl DrainingIds {
    fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    fn insert(&mut self, id: &str) {
        if self.contains(id) {
            return;
        }
        if self.insertion_order.len() == DRAINING_CAPACITY
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.ids.remove(&oldest);
        }
        self.ids.insert(id.to_owned());
        self.insertion_order.push_back(id.to_owned());
    }
}
