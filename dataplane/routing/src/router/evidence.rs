//! Evidence against instances beyond this balancer's own failed attempts: failures that other balancers report, and zones
//! and regions that are unreachable.

use std::collections::BTreeSet;

use whinspindle_configuration::Mechanism;
use whinspindle_distribution::InstanceFailures;

use super::Router;
use crate::InstanceKey;
use crate::service::Service;

/// Balancers come back to an instance that is no longer reported within this time, each at a random moment, in
/// milliseconds.
const RETURN_MS: f64 = 4_000.0;
/// A reported failure is valid for this time, in milliseconds; the fleet's state arrives every few seconds.
const SHARED_FAILURE_MS: u64 = 30_000;

impl Router {
    /// Avoids instances that fail requests of several balancers. Those that are no longer listed come back on one balancer
    /// after the other, so that few requests probe them first.
    pub(super) fn apply_shared_failures(&mut self, now: u64, failing: &[String]) {
        if !self.settings.mechanisms.has(Mechanism::SharedFailures) {
            return;
        }
        let named: BTreeSet<&str> = failing.iter().map(String::as_str).collect();
        for instance in self.services.iter_mut().flat_map(|service| service.instances.values_mut()) {
            let is_named = named.contains(instance.target.id.as_str());
            if is_named {
                instance.avoided_until = now + SHARED_FAILURE_MS;
            } else if instance.is_reported_failing {
                instance.avoided_until = now + (RETURN_MS * self.random.next_f64()) as u64;
            }
            instance.is_reported_failing = is_named;
        }
        self.services.iter_mut().for_each(Service::recount);
    }

    /// Instances that have recently failed requests of this balancer, to be reported to the control plane.
    pub fn failing(&self, now: u64) -> Vec<InstanceFailures> {
        let instances = self.services.iter().flat_map(|service| service.instances.values());
        let failures = instances.map(|instance| (instance, instance.health.recent_failures(now)));
        let failing = failures.filter(|&(instance, failures)| failures > 0 && instance.may_be_sent_to());
        failing
            .map(|(instance, failures)| InstanceFailures { id: instance.target.id.clone(), failures })
            .collect()
    }

    /// Records that something was received on a connection to an instance: its zone and its region are reachable.
    pub fn record_received(&mut self, instance: InstanceKey) {
        let Some(known) = self.instance(instance) else { return };
        let (zone, region) = (known.zone, known.region);
        if self.reachability.record_received(zone, region) {
            self.update_reachability();
        }
    }

    /// Whether connecting to other instances of its zone or region has timed out and nothing was received from there since:
    /// what is written on an idle connection may be lost.
    pub fn is_in_doubt(&self, instance: InstanceKey) -> bool {
        self.instance(instance).is_some_and(|known| self.reachability.is_in_doubt(known.zone, known.region))
    }

    /// Records that connecting to the instance has timed out.
    pub(super) fn record_time_out(&mut self, now: u64, key: InstanceKey) {
        if !self.settings.mechanisms.has(Mechanism::Reachability) {
            return;
        }
        let Some(instance) = self.instance(key) else { return };
        let (zone, region) = (instance.zone, instance.region);
        self.reachability.record_time_out(now, zone, region, key);
        self.update_reachability();
    }

    /// Updates the instances by the reachability of their zones and regions.
    pub(super) fn update_reachability(&mut self) {
        let reachability = &self.reachability;
        for service in &mut self.services {
            for instance in service.instances.values_mut() {
                instance.unreachable_until = reachability.unreachable_until(instance.zone, instance.region);
            }
            service.recount();
        }
    }
}
