//! What the receiver of updates holds: the newest section of each kind.

use std::collections::{HashSet, VecDeque};

use crate::{Configured, Evacuations, Fleet, Instances, Update, Versions};

/// The most ids of draining instances that are remembered.
const REMEMBERED_DRAINING: usize = 4096;

/// The newest sections received. Configurations and evacuations follow the replicated history and only go forward;
/// instances and fleet are each controller's own view, so the newest received stands.
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
    pub fn new() -> Self {
        AppliedState::default()
    }

    /// Takes the sections of an update that are news, and returns just these.
    pub fn apply(&mut self, now: u64, update: Update) -> Update {
        Update {
            configured: update.configured.filter(|section| self.take_configured(section)),
            evacuations: update.evacuations.filter(|section| self.take_evacuations(section)),
            instances: update.instances.and_then(|section| self.take_instances(now, section)),
            fleet: update.fleet.filter(|section| self.take_fleet(section)),
            changes: None,
        }
    }

    /// From now on this instance is draining, whoever speaks of it.
    pub fn retire(&mut self, instance: &str) {
        self.draining.insert(instance);
    }

    /// Everything that is held as of now, for a receiver that has nothing yet.
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

    pub fn configured(&self) -> Option<&Configured> {
        self.configured.as_ref()
    }

    pub fn evacuations(&self) -> Option<&Evacuations> {
        self.evacuations.as_ref()
    }

    /// The instances as they were received; `snapshot` counts the cold times down.
    pub fn instances(&self) -> Option<&Instances> {
        self.instances.as_ref()
    }

    pub fn fleet(&self) -> Option<&Fleet> {
        self.fleet.as_ref()
    }

    /// The version of each section that is held, as a `Report` acknowledges them.
    pub fn versions(&self) -> Versions {
        Versions {
            configured: self.configured.as_ref().map_or(0, |section| section.sequence),
            evacuations: self.evacuations.as_ref().map_or(0, |section| section.sequence),
            instances: self.instances.as_ref().map_or(0, |section| section.version),
            fleet: self.fleet.as_ref().map_or(0, |section| section.version),
        }
    }

    fn take_configured(&mut self, section: &Configured) -> bool {
        let newer = self.configured.as_ref().is_none_or(|held| section.sequence > held.sequence);
        if newer {
            self.configured = Some(section.clone());
        }
        newer
    }

    fn take_evacuations(&mut self, section: &Evacuations) -> bool {
        let newer = self.evacuations.as_ref().is_none_or(|held| section.sequence > held.sequence);
        if newer {
            self.evacuations = Some(section.clone());
        }
        newer
    }

    /// An instance that was draining once stays so, whichever controller speaks of it later.
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

/// Ids of instances that were draining; the oldest are forgotten first.
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
        if self.order.len() == REMEMBERED_DRAINING
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
        self.ids.insert(id.to_owned());
        self.order.push_back(id.to_owned());
    }
}
