//! Membership: the instances that the control plane lists, evacuated zones, and retired instances.

use std::collections::BTreeSet;

use whinspindle_configuration::Mechanism;
use whinspindle_distribution::{Instance, Instances};

use super::{InstanceTarget, Router};
use crate::InstanceKey;
use crate::catalogue::ServiceId;
use crate::instance::InstanceState;

/// Maximum number of retained ids of retired instances.
const RETIRED_CAPACITY: usize = 4096;
/// An instance reports its slow start with a heartbeat, so that its slow start may be unknown for up to this
/// many halves of a heartbeat interval ...
const UNREPORTED_SLOW_START_HALF_INTERVALS: u64 = 3;
/// ... plus this margin, in milliseconds.
const UNREPORTED_SLOW_START_MARGIN_MS: u64 = 500;

impl Router {
    /// Replaces the endpoint list.
    pub fn set_instances(&mut self, now: u64, instances: &Instances) {
        self.refresh_instances(now);
        let listed: BTreeSet<&str> = instances.list.iter().map(|instance| instance.id.as_str()).collect();
        for instance in self.services.iter_mut().flat_map(|service| service.instances.values_mut()) {
            if !listed.contains(instance.target.id.as_str()) {
                instance.unlisted_since.get_or_insert(now);
            }
        }
        for reported in &instances.list {
            self.update_instance(now, reported);
        }
        let unreported_slow_start_ms = self.unreported_slow_start_ms();
        for service in self.services.iter_mut().filter(|service| service.slow_start_per_s > 0.0) {
            service.assume_slow_start_in_warming_zones(now, unreported_slow_start_ms);
        }
        self.refresh_instances(now);
        self.update_weights(now);
    }

    /// Replaces the list of evacuated zones.
    pub fn set_evacuated_zones(&mut self, now: u64, zones: &[String]) {
        let evacuated: BTreeSet<String> = zones.iter().cloned().collect();
        let unreported_slow_start_ms = self.unreported_slow_start_ms();
        for instance in self.services.iter_mut().flat_map(|service| service.instances.values_mut()) {
            let was_evacuated = instance.is_evacuated;
            instance.is_evacuated = evacuated.contains(&instance.target.zone);
            if was_evacuated && !instance.is_evacuated {
                instance.assume_slow_start_until(now + unreported_slow_start_ms);
            }
        }
        self.evacuated_zones = evacuated;
        self.refresh_instances(now);
        self.update_weights(now);
    }

    fn update_instance(&mut self, now: u64, reported: &Instance) {
        let service = self.catalogue.service(&reported.service);
        let region_name = self.settings.zone_regions.get(&reported.zone).cloned().unwrap_or_default();
        let region = self.catalogue.region(&region_name);
        let zone = self.catalogue.zone(&reported.zone);
        self.add_missing_state(now);
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
        instance.is_retired |= self.retired_ids.contains(&reported.id);
        instance.is_evacuated = self.evacuated_zones.contains(&reported.zone);
        instance.unreachable_until = self.reachability.unreachable_until(zone, region);
        instance.in_own_zone = reported.zone == self.settings.zone;
    }

    /// Returns the key of an instance, or a new key if its id, service, address or zone is new.
    fn key_for(&mut self, service: ServiceId, reported: &Instance) -> InstanceKey {
        if let Some(&key) = self.key_by_id.get(&reported.id) {
            let known = self.instance(key).map(|instance| &instance.target);
            let is_same = known
                .is_some_and(|target| target.address == reported.address && target.zone == reported.zone);
            if is_same && self.service_by_key.get(&key) == Some(&service) {
                return key;
            }
            if let Some(instance) = self.instance_mut(key) {
                instance.is_retired = true;
            }
        }
        let key = InstanceKey(self.next_key);
        self.next_key += 1;
        self.key_by_id.insert(reported.id.clone(), key);
        self.service_by_key.insert(key, service);
        key
    }

    /// Stops sending requests to an instance and to all instances with the same id.
    pub(super) fn retire(&mut self, service: ServiceId, key: InstanceKey) {
        let Some(instance) = self.services[service].instances.get_mut(&key) else { return };
        instance.is_retired = true;
        let id = instance.target.id.clone();
        self.record_retired(&id);
    }

    fn record_retired(&mut self, id: &str) {
        if self.retired_ids.contains(id) {
            return;
        }
        if self.retired_ids.len() >= RETIRED_CAPACITY {
            self.retired_ids.shift_remove_index(0);
        }
        self.retired_ids.insert(id.to_owned());
    }

    /// The longest time for which an instance may be in slow start before it reports it, in milliseconds.
    fn unreported_slow_start_ms(&self) -> u64 {
        if !self.settings.mechanisms.has(Mechanism::SuspectedZones) {
            return 0;
        }
        self.settings.heartbeat_ms * UNREPORTED_SLOW_START_HALF_INTERVALS / 2
            + UNREPORTED_SLOW_START_MARGIN_MS
    }

    /// Removes instances that have been unlisted for a long time.
    pub(super) fn remove_expired_instances(&mut self, now: u64) {
        self.services.iter_mut().for_each(|service| service.remove_expired_instances(now));
        let services = &self.services;
        self.service_by_key.retain(|key, service| services[*service].instances.contains_key(key));
        let known = &self.service_by_key;
        self.key_by_id.retain(|_, key| known.contains_key(key));
    }
}
