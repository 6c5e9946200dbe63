//! Which instances the router knows: what the control plane tells of them, and those that take no requests any more.

use std::collections::BTreeSet;

use whinspindle_configuration::Mechanism;
use whinspindle_distribution::{Instance, Instances};

use super::{InstanceTarget, Router};
use crate::InstanceKey;
use crate::catalogue::ServiceId;
use crate::instance::InstanceState;

/// How many ids of instances that take no new requests are remembered.
const RETIRED_CAPACITY: usize = 4096;
/// The instances of a zone that is taken back, or that turns cold, may be cold for this many heartbeat intervals, in
/// halves, before all have told it.
const SUSPECT_HALF_INTERVALS: u64 = 3;
const SUSPECT_MARGIN_MS: u64 = 500;

impl Router {
    /// Replaces the instances that are known.
    pub fn instances(&mut self, now: u64, instances: &Instances) {
        self.refresh(now);
        let listed: BTreeSet<&str> = instances.list.iter().map(|instance| instance.id.as_str()).collect();
        for instance in self.services.iter_mut().flat_map(|service| service.instances.values_mut()) {
            if !listed.contains(instance.target.id.as_str()) {
                instance.unlisted_since.get_or_insert(now);
            }
        }
        for told in &instances.list {
            self.take_instance(now, told);
        }
        let suspect_ms = self.suspect_ms();
        for service in self.services.iter_mut().filter(|service| service.cold_per_s > 0.0) {
            service.suspect_zones_that_turn_cold(now, suspect_ms);
        }
        self.refresh(now);
        self.check(now);
    }

    /// Replaces the zones that are evacuated.
    pub fn evacuations(&mut self, now: u64, zones: &[String]) {
        let evacuated: BTreeSet<String> = zones.iter().cloned().collect();
        let suspect_ms = self.suspect_ms();
        for instance in self.services.iter_mut().flat_map(|service| service.instances.values_mut()) {
            let was_evacuated = instance.evacuated;
            instance.evacuated = evacuated.contains(&instance.target.zone);
            if was_evacuated && !instance.evacuated {
                instance.suspect_cold(now + suspect_ms);
            }
        }
        self.evacuated = evacuated;
        self.refresh(now);
        self.check(now);
    }

    fn take_instance(&mut self, now: u64, told: &Instance) {
        let service = self.catalogue.service(&told.service);
        let region_name = self.settings.zones.get(&told.zone).cloned().unwrap_or_default();
        let region = self.catalogue.region(&region_name);
        let zone = self.catalogue.zone(&told.zone);
        self.grow(now);
        if told.draining {
            self.remember_retired(&told.id);
        }
        let key = self.key_for(service, told);
        let target = || InstanceTarget {
            address: told.address,
            id: told.id.clone(),
            zone: told.zone.clone(),
            region: region_name,
        };
        let instances = &mut self.services[service].instances;
        let instance = instances.entry(key).or_insert_with(|| InstanceState::new(target(), zone, region));
        instance.update(now, told);
        if !self.settings.mechanisms.has(Mechanism::FullByOwnSends) {
            instance.slots = 0;
        }
        instance.retired |= self.retired.contains(&told.id);
        instance.evacuated = self.evacuated.contains(&told.zone);
        instance.out_of_reach_until = self.reachability.closed_until(zone, region);
        instance.in_own_zone = told.zone == self.settings.zone;
    }

    /// The key of an instance; a new one where it is not known under this id, service, address and zone.
    fn key_for(&mut self, service: ServiceId, told: &Instance) -> InstanceKey {
        if let Some(&key) = self.keys.get(&told.id) {
            let held = self.instance(key).map(|instance| &instance.target);
            let same = held.is_some_and(|target| target.address == told.address && target.zone == told.zone);
            if same && self.service_of.get(&key) == Some(&service) {
                return key;
            }
            if let Some(instance) = self.instance_mut(key) {
                instance.retired = true;
            }
        }
        let key = InstanceKey(self.next_key);
        self.next_key += 1;
        self.keys.insert(told.id.clone(), key);
        self.service_of.insert(key, service);
        key
    }

    pub(super) fn retire(&mut self, service: ServiceId, key: InstanceKey) {
        let Some(instance) = self.services[service].instances.get_mut(&key) else { return };
        instance.retired = true;
        let id = instance.target.id.clone();
        self.remember_retired(&id);
    }

    fn remember_retired(&mut self, id: &str) {
        if self.retired.contains(id) {
            return;
        }
        if self.retired.len() >= RETIRED_CAPACITY {
            self.retired.shift_remove_index(0);
        }
        self.retired.insert(id.to_owned());
    }

    /// For how long an instance may be cold without having told it.
    fn suspect_ms(&self) -> u64 {
        if !self.settings.mechanisms.has(Mechanism::SuspectedZones) {
            return 0;
        }
        self.settings.heartbeat_ms * SUSPECT_HALF_INTERVALS / 2 + SUSPECT_MARGIN_MS
    }

    pub(super) fn forget(&mut self, now: u64) {
        self.services.iter_mut().for_each(|service| service.forget(now));
        let services = &self.services;
        self.service_of.retain(|key, service| services[*service].instances.contains_key(key));
        let known = &self.service_of;
        self.keys.retain(|_, key| known.contains_key(key));
    }
}
