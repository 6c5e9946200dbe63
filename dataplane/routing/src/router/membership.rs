//! Membership: the instances that the control plane lists, evacuated zones, and instances that take no more requests.

use std::collections::BTreeSet;

use whinspindle_configuration::Mechanism;
use whinspindle_distribution::{Instance, Instances};

use super::{InstanceTarget, Router};
use crate::InstanceKey;
use crate::catalogue::ServiceId;
use crate::instance::InstanceState;

/// Number of ids kept of instances that take no new requests.
const RETIRED_CAPACITY: usize = 4096;
/// An instance may be in slow start for this many halves of a heartbeat interval before it has reported it.
const SUSPECT_HALF_INTERVALS: u64 = 3;
/// The same, in addition, in milliseconds.
const SUSPECT_MARGIN_MS: u64 = 500;

impl Router {
    /// Replaces the endpoint list.
    pub fn set_instances(&mut self, now: u64, instances: &Instances) {
        self.refresh(now);
        let listed: BTreeSet<&str> = instances.list.iter().map(|instance| instance.id.as_str()).collect();
        for instance in self.services.iter_mut().flat_map(|service| service.instances.values_mut()) {
            if !listed.contains(instance.target.id.as_str()) {
                instance.unlisted_since.get_or_insert(now);
            }
        }
        for reported in &instances.list {
            self.take_instance(now, reported);
        }
        let suspect_ms = self.suspect_ms();
        for service in self.services.iter_mut().filter(|service| service.cold_per_s > 0.0) {
            service.suspect_warming_zones(now, suspect_ms);
        }
        self.refresh(now);
        self.check(now);
    }

    /// Replaces the list of evacuated zones.
    pub fn set_evacuated_zones(&mut self, now: u64, zones: &[String]) {
        let evacuated: BTreeSet<String> = zones.iter().cloned().collect();
        let suspect_ms = self.suspect_ms();
        for instance in self.services.iter_mut().flat_map(|service| service.instances.values_mut()) {
            let was_evacuated = instance.evacuated;
            instance.evacuated = evacuated.contains(&instance.target.zone);
            if was_evacuated && !instance.evacuated {
                instance.suspect_slow_start(now + suspect_ms);
            }
        }
        self.evacuated = evacuated;
        self.refresh(now);
        self.check(now);
    }

    fn take_instance(&mut self, now: u64, reported: &Instance) {
        let service = self.catalogue.service(&reported.service);
        let region_name = self.settings.zone_regions.get(&reported.zone).cloned().unwrap_or_default();
        let region = self.catalogue.region(&region_name);
        let zone = self.catalogue.zone(&reported.zone);
        self.grow(now);
        if reported.draining {
            self.record_retired(&reported.id);
        }
        let key = self.key_for(service, reported);
        let target = || InstanceTarget {
            address: reported.address,
            id: reported.id.clone(),
            zone: reported.zone.clone(),
            region: region_name,
        };
        let instances = &mut self.services[service].instances;
        let instance = instances.entry(key).or_insert_with(|| InstanceState::new(target(), zone, region));
        instance.update(now, reported);
        if !self.settings.mechanisms.has(Mechanism::FullByOwnSends) {
            instance.slots = 0;
        }
        instance.retired |= self.retired.contains(&reported.id);
        instance.evacuated = self.evacuated.contains(&reported.zone);
        instance.unreachable_until = self.reachability.unreachable_until(zone, region);
        instance.in_own_zone = reported.zone == self.settings.zone;
    }

    /// The key of an instance; a new one if it is not known with this id, service, address and zone.
    fn key_for(&mut self, service: ServiceId, reported: &Instance) -> InstanceKey {
        if let Some(&key) = self.keys.get(&reported.id) {
            let known = self.instance(key).map(|instance| &instance.target);
            let same = known
                .is_some_and(|target| target.address == reported.address && target.zone == reported.zone);
            if same && self.service_of.get(&key) == Some(&service) {
                return key;
            }
            if let Some(instance) = self.instance_mut(key) {
                instance.retired = true;
            }
        }
        let key = InstanceKey(self.next_key);
        self.next_key += 1;
        self.keys.insert(reported.id.clone(), key);
        self.service_of.insert(key, service);
        key
    }

    /// Sends nothing more to an instance, nor to any other one of its id.
    pub(super) fn retire(&mut self, service: ServiceId, key: InstanceKey) {
        let Some(instance) = self.services[service].instances.get_mut(&key) else { return };
        instance.retired = true;
        let id = instance.target.id.clone();
        self.record_retired(&id);
    }

    fn record_retired(&mut self, id: &str) {
        if self.retired.contains(id) {
            return;
        }
        if self.retired.len() >= RETIRED_CAPACITY {
            self.retired.shift_remove_index(0);
        }
        self.retired.insert(id.to_owned());
    }

    /// How long an instance may be in slow start without having reported it, in milliseconds.
    fn suspect_ms(&self) -> u64 {
        if !self.settings.mechanisms.has(Mechanism::SuspectedZones) {
            return 0;
        }
        self.settings.heartbeat_ms * SUSPECT_HALF_INTERVALS / 2 + SUSPECT_MARGIN_MS
    }

    /// Forgets instances that have been unlisted for long.
    pub(super) fn forget(&mut self, now: u64) {
        self.services.iter_mut().for_each(|service| service.forget(now));
        let services = &self.services;
        self.service_of.retain(|key, service| services[*service].instances.contains_key(key));
        let known = &self.service_of;
        self.keys.retain(|_, key| known.contains_key(key));
    }
}
