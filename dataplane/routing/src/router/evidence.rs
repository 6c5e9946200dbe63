//! Health evidence besides this balancer's own failed attempts: failures that other balancers report, and
//! zones and regions that are unreachable.

use std::collections::BTreeSet;

use whinspindle_configuration::Mechanism;
use whinspindle_distribution::InstanceFailures;

use super::Router;
use crate::InstanceKey;
use crate::service::Service;

/// Maximum random delay before a balancer uses an instance again that is no longer reported as failing, in
/// milliseconds.
const MAX_RETURN_DELAY_MS: f64 = 4_000.0;
/// A reported failure is valid for this time, in milliseconds; the state of the fleet arrives every few
/// seconds.
const SHARED_FAILURE_TTL_MS: u64 = 30_000;

impl Router {
    /// Avoids instances that fail requests of several balancers. After the end of a report, the balancers use
    /// the instance again at different times, so that only a few requests probe it at first.
    pub(super) fn apply_shared_failures(&mut self, now: u64, failing: &[String]) {
        if !self.settings.mechanisms.has(Mechanism::SharedFailures) {
            return;
        }
        let failing_ids: BTreeSet<&str> = failing.iter().map(String::as_str).collect();
        for instance in self.services.iter_mut().flat_map(|service| service.instances.values_mut()) {
            let is_failing = failing_ids.contains(instance.target.id.as_str());
            if is_failing {
                instance.avoided_until = now + SHARED_FAILURE_TTL_MS;
            } else if instance.is_reported_failing {
                instance.avoided_until = now + (MAX_RETURN_DELAY_MS * self.random.next_f64()) as u64;
            }
            instance.is_reported_failing = is_failing;
        }
        self.services.iter_mut().for_each(Service::invalidate_ready_counts);
    }

    /// Instances with recent failures of requests of this balancer, for the report to the control plane.
    pub fn failing_instances(&self, now: u64) -> Vec<InstanceFailures> {
        let instances = self.services.iter().flat_map(|service| service.instances.values());
        let failures = instances.map(|instance| (instance, instance.health.recent_failures(now)));
        let failing = failures.filter(|&(instance, failures)| failures > 0 && instance.is_in_service());
        failing
            .map(|(instance, failures)| InstanceFailures { id: instance.target.id.clone(), failures })
            .collect()
    }

    /// Records that data was received from an instance, which proves that its zone and region are reachable.
    pub fn record_received(&mut self, instance: InstanceKey) {
        let Some(known) = self.instance(instance) else { return };
        let (zone, region) = (known.zone, known.region);
        if self.reachability.record_received(zone, region) {
            self.update_reachability();
        }
    }

    /// Whether a connection attempt to the zone or region of the instance has timed out and no data was
    /// received from there since. A request that is written to an idle connection may then be lost.
    pub fn may_be_unreachable(&self, instance: InstanceKey) -> bool {
        self.instance(instance)
            .is_some_and(|known| self.reachability.may_be_unreachable(known.zone, known.region))
    }

    /// Records that a connection attempt to the instance has timed out.
    pub(super) fn record_connect_timeout(&mut self, now: u64, key: InstanceKey) {
        if !self.settings.mechanisms.has(Mechanism::Reachability) {
            return;
        }
        let Some(instance) = self.instance(key) else { return };
        let (zone, region) = (instance.zone, instance.region);
        self.reachability.record_connect_timeout(now, zone, region, key);
        self.update_reachability();
    }

    /// Applies the reachability of zones and regions to their instances.
    pub(super) fn update_reachability(&mut self) {
        let reachability = &self.reachability;
        for service in &mut self.services {
            for instance in service.instances.values_mut() {
                instance.unreachable_until = reachability.unreachable_until(instance.zone, instance.region);
            }
            service.invalidate_ready_counts();
        }
    }
}
