//! Publication to balancers: the state of their link, and updates of the sections in which they are outdated.

use std::collections::BTreeMap;

use bytes::Bytes;
use whinspindle_distribution::{
    Configured, ControllerAddress, Evacuations, Instance, Instances, Link, Report, SubscriberId, ToBalancer,
};
use whinspindle_registry::InstanceRecord;

use super::Controller;
use super::event::Action;
use crate::commands::records::{self, EvacuatedZones};
use crate::protocol_rules::ProtocolRules;
use crate::{failing_instances, gossip_records};

/// The interval of the heartbeats to balancers, in milliseconds.
const LINK_INTERVAL_MS: u64 = 300;
/// The minimum time between two publications of the instances, in milliseconds. Many instances often change
/// together.
const INSTANCES_INTERVAL_MS: u64 = 300;

impl<R: ProtocolRules> Controller<R> {
    /// Handles the report of a balancer. The first report subscribes the balancer.
    pub(super) fn handle_report(&mut self, now: u64, subscriber: SubscriberId, report: &Report) {
        let is_new = !self.publisher.subscribers().any(|known| known == subscriber);
        self.publisher.handle_report(now, subscriber, report);
        self.quorum_contact
            .observe_remote_position(report.applied.configured.max(report.applied.evacuations));
        let changed = self.leases.renew(now, gossip_records::lease_from_report(report));
        if is_new {
            let message = ToBalancer::Link(self.link_state(now, self.controllers(now)));
            self.actions.push(Action::SendBalancer { to: subscriber, message });
        }
        if changed {
            self.schedule_changes(now);
        }
        if is_new {
            self.publish_to(now, subscriber);
        }
    }

    /// Sends a heartbeat to every balancer, with the list of controllers if it has changed.
    pub(super) fn send_links(&mut self, now: u64) {
        self.next_link_at = now + LINK_INTERVAL_MS;
        let controllers = self.controllers(now);
        let changed_controllers =
            if controllers == self.announced_controllers { Vec::new() } else { controllers.clone() };
        self.announced_controllers = controllers;
        let link = self.link_state(now, changed_controllers);
        for to in self.publisher.subscribers() {
            self.actions.push(Action::SendBalancer { to, message: ToBalancer::Link(link.clone()) });
        }
    }

    fn link_state(&self, now: u64, controllers: Vec<ControllerAddress>) -> Link {
        Link { in_quorum: self.is_in_quorum(now), shutting_down: self.shutting_down, controllers }
    }

    /// Publishes immediately if the instances are due, otherwise at the next tick.
    pub(super) fn schedule_publish(&mut self, now: u64) {
        self.is_publish_pending = true;
        if self.are_instances_due(now) {
            self.publish(now);
        }
    }

    /// Sends each balancer the sections in which it is outdated.
    pub(super) fn publish(&mut self, now: u64) {
        self.is_publish_pending = false;
        self.refresh_sections(now);
        let subscribers: Vec<SubscriberId> = self.publisher.subscribers().collect();
        for to in subscribers {
            self.send_update(now, to);
        }
    }

    /// Sends a new subscriber the sections in which it is outdated. Other subscribers receive the resulting
    /// changes at the next tick, because hundreds of balancers subscribe together after a start.
    fn publish_to(&mut self, now: u64, to: SubscriberId) {
        self.is_publish_pending = true;
        self.refresh_sections(now);
        self.send_update(now, to);
    }

    /// Sends a balancer the sections in which it is outdated. A balancer without a configuration receives
    /// nothing while the records of this controller may be outdated.
    fn send_update(&mut self, now: u64, to: SubscriberId) {
        if !self.may_serve_records(now) && !self.publisher.has_configuration(to) {
            return;
        }
        if let Some(update) = self.publisher.update_for(now, to) {
            self.actions.push(Action::SendBalancer { to, message: ToBalancer::Update(update) });
        }
    }

    fn refresh_sections(&mut self, now: u64) {
        self.refresh_replicated();
        if self.may_publish(now) {
            self.refresh_instances(now);
            self.refresh_fleet(now);
        }
    }

    /// Passes the committed records to the publisher, also without a quorum. A balancer receives them only if
    /// they are newer than its own, or if it has none and [`Controller::send_update`] permits it.
    fn refresh_replicated(&mut self) {
        let records = self.replica.committed_records();
        let published = self.publisher.versions();
        if let Some(record) = records.get(records::CONFIGURATION_KEY)
            && record.sequence > published.configured
        {
            let body = Bytes::from(record.value.to_vec());
            self.publisher.set_configured(Configured { sequence: record.sequence, body });
        }
        let EvacuatedZones { sequence, zones } = records::evacuated_zones(records);
        if sequence > published.evacuations {
            self.publisher.set_evacuations(Evacuations { sequence, zones });
        }
    }

    /// Whether a change of the instances is due for publication. Withdrawals are always due.
    pub(super) fn are_instances_due(&self, now: u64) -> bool {
        let interval_elapsed = self.instances_published_at.is_none_or(|at| now >= at + INSTANCES_INTERVAL_MS);
        let is_urgent = self.registry.withdrawal_count() != self.published_withdrawal_count;
        self.registry.version() != self.published_instances_version && (interval_elapsed || is_urgent)
    }

    fn refresh_instances(&mut self, now: u64) {
        if !self.are_instances_due(now) {
            return;
        }
        let version = self.registry.version();
        self.published_instances_version = version;
        self.published_withdrawal_count = self.registry.withdrawal_count();
        self.instances_published_at = Some(now);
        let known = self.registry.snapshot(now).into_iter().map(published_instance);
        let deregistered = self.registry.recently_deregistered().map(|id| Instance::ended(id.to_owned()));
        let list = known.chain(deregistered).collect();
        self.publisher.set_instances(now, Instances { version, list });
    }

    fn refresh_fleet(&mut self, now: u64) {
        let balancers = self.leases.balancer_count(now);
        let failing =
            failing_instances::detect(self.leases.live_leases(now), |id| self.registry.service_size(id));
        if !self.fleet.is_due(now, balancers, &failing, self.publisher.subscribers().count()) {
            return;
        }
        let loads = self.leases.request_rates(now).into_iter().map(gossip_records::region_load).collect();
        if let Some(fleet) = self.fleet.update(now, balancers, failing, loads) {
            self.publisher.set_fleet(fleet);
        }
    }

    /// All known controllers: this one, the members of the view, and others whose heartbeats are received.
    fn controllers(&self, now: u64) -> Vec<ControllerAddress> {
        let members = self.replica.view().members.iter();
        let members = members.map(|member| (member.endpoint, member.zone.as_str(), member.region.as_str()));
        let mut controllers = BTreeMap::new();
        for (endpoint, zone, region) in members.chain(self.replica.live_peers(now)) {
            let (zone, region) = (zone.to_owned(), region.to_owned());
            controllers.insert(endpoint, ControllerAddress { endpoint, zone, region });
        }
        controllers.insert(self.settings.address.endpoint, self.settings.address.clone());
        controllers.into_values().collect()
    }
}

fn published_instance(record: InstanceRecord) -> Instance {
    Instance {
        id: record.id,
        service: record.service,
        address: record.address,
        zone: record.zone,
        slots: record.slots,
        draining: record.draining,
        slow_start_ms: record.slow_start_ms,
    }
}
