//! Publication to balancers: the state of the connection, and the sections in which they are behind.

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
const LINK_MS: u64 = 300;
/// The least time between two publications of the instances, in milliseconds: many of them come together.
const INSTANCES_INTERVAL_MS: u64 = 300;

impl<R: ProtocolRules> Controller<R> {
    /// Takes the report of a balancer; its first one subscribes it.
    pub(super) fn take_report(&mut self, now: u64, subscriber: SubscriberId, report: &Report) {
        let is_new = !self.publisher.subscribers().any(|known| known == subscriber);
        self.publisher.handle_report(now, subscriber, report);
        self.contact.observe_remote_position(report.applied.configured.max(report.applied.evacuations));
        let changed = self.leases.renew(now, gossip_records::lease_of(report));
        if is_new {
            let message = ToBalancer::Link(self.link(now, self.controllers(now)));
            self.actions.push(Action::SendBalancer { to: subscriber, message });
        }
        if changed {
            self.schedule_changes(now);
        }
        if is_new {
            self.publish_to(now, subscriber);
        }
    }

    /// Sends every balancer a heartbeat, with the list of controllers if that has changed.
    pub(super) fn send_links(&mut self, now: u64) {
        self.link_at = now + LINK_MS;
        let controllers = self.controllers(now);
        let changed =
            if controllers == self.announced_controllers { Vec::new() } else { controllers.clone() };
        self.announced_controllers = controllers;
        let link = self.link(now, changed);
        for to in self.publisher.subscribers() {
            self.actions.push(Action::SendBalancer { to, message: ToBalancer::Link(link.clone()) });
        }
    }

    fn link(&self, now: u64, controllers: Vec<ControllerAddress>) -> Link {
        Link { in_quorum: self.is_in_quorum(now), shutting_down: self.shutting_down, controllers }
    }

    /// Publishes now if the instances are due, otherwise at the next tick.
    pub(super) fn schedule_publish(&mut self, now: u64) {
        self.publish_pending = true;
        if self.are_instances_due(now) {
            self.publish(now);
        }
    }

    /// Sends each balancer the sections in which it is behind.
    pub(super) fn publish(&mut self, now: u64) {
        self.publish_pending = false;
        self.refresh(now);
        let subscribers: Vec<SubscriberId> = self.publisher.subscribers().collect();
        for to in subscribers {
            self.send_update(now, to);
        }
    }

    /// Sends a new subscriber the sections in which it is behind. Others are sent what it changes at the next tick: after a
    /// start hundreds of balancers subscribe together.
    fn publish_to(&mut self, now: u64, to: SubscriberId) {
        self.publish_pending = true;
        self.refresh(now);
        self.send_update(now, to);
    }

    /// Sends a balancer the sections in which it is behind. One without a configuration is sent nothing while the records
    /// known here may be old.
    fn send_update(&mut self, now: u64, to: SubscriberId) {
        if !self.may_serve_records(now) && !self.publisher.has_configuration(to) {
            return;
        }
        if let Some(update) = self.publisher.update_for(now, to) {
            self.actions.push(Action::SendBalancer { to, message: ToBalancer::Update(update) });
        }
    }

    fn refresh(&mut self, now: u64) {
        self.refresh_replicated();
        if self.may_publish(now) {
            self.refresh_instances(now);
            self.refresh_fleet(now);
        }
    }

    /// Takes over the committed records. Also without a quorum: a balancer is sent them only in place of older ones, or if
    /// it has none and they may be served to such a one ([`Controller::send_update`]).
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

    /// Whether a change of the instances is to be published now; withdrawals are at once.
    pub(super) fn are_instances_due(&self, now: u64) -> bool {
        let interval_elapsed = self.instances_published_at.is_none_or(|at| now >= at + INSTANCES_INTERVAL_MS);
        let is_urgent = self.registry.withdrawal_count() != self.published_withdrawals;
        self.registry.version() != self.published_instances && (interval_elapsed || is_urgent)
    }

    fn refresh_instances(&mut self, now: u64) {
        if !self.are_instances_due(now) {
            return;
        }
        let version = self.registry.version();
        self.published_instances = version;
        self.published_withdrawals = self.registry.withdrawal_count();
        self.instances_published_at = Some(now);
        let known = self.registry.snapshot(now).into_iter().map(instance);
        let ended = self.registry.recently_deregistered().map(|id| Instance::ended(id.to_owned()));
        let list = known.chain(ended).collect();
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

    /// All known controllers, this one included: members of the view, and others whose heartbeats are received.
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

fn instance(record: InstanceRecord) -> Instance {
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
