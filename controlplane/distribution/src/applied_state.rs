//! The state of a receiver of updates: the newest section of each kind.

use std::collections::{HashSet, VecDeque};

use crate::{Configured, Evacuations, Fleet, Instances, Update, Versions};

/// The number of ids of draining instances that are kept.
const DRAINING_CAPACITY: usize = 4096;

/// The newest sections received. Configurations and evacuations follow the replicated history and only go forward;
/// instances and fleet are each controller's own view, so the last one received applies.
#[derive(Clone, Debug, Default)]
pub struct AppliedState {
    configured: Option<Configured>,
    evacuations: Option<Evacuations>,
    instances: Option<Instances>,
    instances_at: u64,
    fleet: Option<Fleet>,
    draining: DrainingIds,
}

impl AppliedState {
    /// A state without sections.
    pub fn new() -> Self {
        AppliedState::default()
    }

    /// Applies the sections of an update that change anything, and returns just these. Changes of instances are not
    /// applied: they are to be expanded to a list first ([`InstanceChanges::apply_to`](crate::InstanceChanges::apply_to)).
    pub fn apply(&mut self, now: u64, update: Update) -> Update {
        Update {
            configured: update.configured.filter(|section| self.take_configured(section)),
            evacuations: update.evacuations.filter(|section| self.take_evacuations(section)),
            instances: update.instances.and_then(|section| self.take_instances(now, section)),
            fleet: update.fleet.filter(|section| self.take_fleet(section)),
            changes: None,
        }
    }

    /// Marks an instance as draining from now on, whatever later lists say.
    pub fn mark_draining(&mut self, instance: &str) {
        self.draining.insert(instance);
    }

    /// All sections as of now, for a receiver that has none yet.
    pub fn snapshot(&self, now: u64) -> Update {
        let elapsed_ms = now.saturating_sub(self.instances_at);
        Update {
            configured: self.configured.clone(),
            evacuations: self.evacuations.clone(),
            instances: self.instances.as_ref().map(|section| section.aged(elapsed_ms)),
            fleet: self.fleet.clone(),
            changes: None,
        }
    }

    /// The configuration, if one was received.
    pub fn configured(&self) -> Option<&Configured> {
        self.configured.as_ref()
    }

    /// The evacuated zones, if they were received.
    pub fn evacuations(&self) -> Option<&Evacuations> {
        self.evacuations.as_ref()
    }

    /// The instances as they were received; `snapshot` counts the slow starts down.
    pub fn instances(&self) -> Option<&Instances> {
        self.instances.as_ref()
    }

    /// The state of the fleet, if it was received.
    pub fn fleet(&self) -> Option<&Fleet> {
        self.fleet.as_ref()
    }

    /// The version of each section, 0 without one, as a [`Report`](crate::Report) acknowledges them.
    pub fn versions(&self) -> Versions {
        Versions {
            configured: self.configured.as_ref().map_or(0, |section| section.sequence),
            evacuations: self.evacuations.as_ref().map_or(0, |section| section.sequence),
            instances: self.instances.as_ref().map_or(0, |section| section.version),
            fleet: self.fleet.as_ref().map_or(0, |section| section.version),
        }
    }

    fn take_configured(&mut self, section: &Configured) -> bool {
        let newer = self.configured.as_ref().is_none_or(|present| section.sequence > present.sequence);
        if newer {
            self.configured = Some(section.clone());
        }
        newer
    }

    fn take_evacuations(&mut self, section: &Evacuations) -> bool {
        let newer = self.evacuations.as_ref().is_none_or(|present| section.sequence > present.sequence);
        if newer {
            self.evacuations = Some(section.clone());
        }
        newer
    }

    /// An instance that was draining once stays so, whatever another controller's list says.
    fn take_instances(&mut self, now: u64, mut section: Instances) -> Option<Instances> {
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
        self.instances_at = now;
        Some(section)
    }

    fn take_fleet(&mut self, section: &Fleet) -> bool {
        let changed = self.fleet.as_ref() != Some(section);
        if changed {
            self.fleet = Some(section.clone());
        }
        changed
    }
}

/// Ids of instances that were draining; beyond the capacity the oldest are removed.
#[derive(Clone, Debug, Default)]
struct DrainingIds {
    ids: HashSet<String>,
    order: VecDeque<String>,
}

impl DrainingIds {
    fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    fn insert(&mut self, id: &str) {
        if self.contains(id) {
            return;
        }
        if self.order.len() == DRAINING_CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
        self.ids.insert(id.to_owned());
        self.order.push_back(id.to_owned());
    }
}
