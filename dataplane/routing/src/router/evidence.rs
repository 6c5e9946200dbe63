//! What is held against instances and places beyond a balancer's own failed sends: the failures that others have seen,
//! and zones and regions that can't be reached.

use std::collections::BTreeSet;

use whinspindle_configuration::Mechanism;
use whinspindle_distribution::InstanceFailures;

use super::Router;
use crate::InstanceKey;
use crate::service::Service;

/// Balancers come back to an instance that failed within this time, each at a moment of its own.
const RETURN_MS: f64 = 4_000.0;
/// What others have seen counts for so long after it was told last; the fleet's state is told every few seconds.
const BLAME_MS: u64 = 30_000;

impl Router {
    /// Leaves instances alone that fail requests of several balancers. Those that are no longer named come back one
    /// balancer after the other, so that few requests try them first.
    pub(super) fn blame(&mut self, now: u64, failing: &[String]) {
        if !self.settings.mechanisms.has(Mechanism::SharedFailures) {
            return;
        }
        let named: BTreeSet<&str> = failing.iter().map(String::as_str).collect();
        for instance in self.services.iter_mut().flat_map(|service| service.instances.values_mut()) {
            let is_named = named.contains(instance.target.id.as_str());
            if is_named {
                instance.blamed_until = now + BLAME_MS;
            } else if instance.is_blamed {
                instance.blamed_until = now + (RETURN_MS * self.chance.unit()) as u64;
            }
            instance.is_blamed = is_named;
        }
        self.services.iter_mut().for_each(Service::recount);
    }

    /// Instances that have failed requests of this balancer lately.
    pub fn failing(&self, now: u64) -> Vec<InstanceFailures> {
        let instances = self.services.iter().flat_map(|service| service.instances.values());
        let failures = instances.map(|instance| (instance, instance.health.recent_failures(now)));
        let failing = failures.filter(|&(instance, failures)| failures > 0 && instance.may_be_sent_to());
        failing
            .map(|(instance, failures)| InstanceFailures { id: instance.target.id.clone(), failures })
            .collect()
    }

    /// Something has come on a connection to an instance: its zone and its region are within reach.
    pub fn heard(&mut self, instance: InstanceKey) {
        let Some(held) = self.instance(instance) else { return };
        let (zone, region) = (held.zone, held.region);
        if self.reachability.note_heard(zone, region) {
            self.set_reach();
        }
    }

    /// Whether connections to other instances of its zone or region have fallen silent, and nothing was heard from there
    /// since: what is written on a connection that has been idle may be lost.
    pub fn is_in_doubt(&self, instance: InstanceKey) -> bool {
        self.instance(instance).is_some_and(|held| self.reachability.is_in_doubt(held.zone, held.region))
    }

    pub(super) fn note_silence(&mut self, now: u64, key: InstanceKey) {
        if !self.settings.mechanisms.has(Mechanism::Reachability) {
            return;
        }
        let Some(instance) = self.instance(key) else { return };
        let (zone, region) = (instance.zone, instance.region);
        self.reachability.note_silence(now, zone, region, key);
        self.set_reach();
    }

    /// Tells the instances until when their places are out of reach.
    pub(super) fn set_reach(&mut self) {
        let reachability = &self.reachability;
        for service in &mut self.services {
            for instance in service.instances.values_mut() {
                instance.out_of_reach_until = reachability.closed_until(instance.zone, instance.region);
            }
            service.recount();
        }
    }
}
