//! The calls of operators, upstreams and clients.

use whinspindle_registry::HeartbeatEffect;

use super::Controller;
use super::event::Action;
use super::submission;
use crate::api::{Call, Refusal, Response};
use crate::directory::{self, Place};
use crate::orders::{self, Departure};
use crate::pending::{CallId, Request};
use crate::protocol_rules::ProtocolRules;
use crate::status;

impl<L: ProtocolRules> Controller<L> {
    pub(super) fn call(&mut self, now: u64, id: CallId, call: Call) {
        match call {
            Call::Replace { base, generation, body } => {
                self.order(now, id, Request::Replace { base, generation, body });
            }
            Call::Fetch if L::answers_reads_alone() => {
                let record = self.replica.committed().get(orders::CONFIGURATION);
                let body = record.map(|record| record.value.to_vec()).unwrap_or_default();
                self.answer(id, submission::fetched(body));
            }
            Call::Fetch => self.order(now, id, Request::Fetch),
            Call::Evacuate { zone, .. } if !self.settings.zones.contains_key(&zone) => {
                self.answer(id, Refusal::UnknownZone.into());
            }
            Call::Evacuate { zone, evacuated } => {
                self.order(now, id, Request::Evacuate { zone, evacuated });
            }
            Call::Heartbeat { instance, heartbeat } => {
                let effect = self.registry.heartbeat(now, &instance, &heartbeat);
                self.heartbeat_taken(now, id, instance, effect);
            }
            Call::Deregister { instance } => self.depart(now, id, instance, Departure::Gone),
            Call::Resolve { host, region, zone } => self.resolve(now, id, &host, &region, &zone),
            Call::Status => self.answer_status(now, id),
        }
    }

    fn heartbeat_taken(&mut self, now: u64, id: CallId, instance: String, effect: HeartbeatEffect) {
        match effect {
            HeartbeatEffect::Accepted { changed } => {
                self.acknowledge_heartbeat(now, id);
                if changed {
                    self.changed_soon(now);
                }
            }
            HeartbeatEffect::Stale => self.acknowledge_heartbeat(now, id),
            HeartbeatEffect::StartsDraining => {
                self.instances_changed(now);
                self.depart(now, id, instance, Departure::Draining);
            }
            HeartbeatEffect::Overfull => {
                self.answer(id, Response::unavailable("more instances than this controller holds"));
            }
        }
    }

    /// Without a quorum this controller's own balancers are told of the instance, but it is to call another controller
    /// too: all other balancers would take it for lost.
    fn acknowledge_heartbeat(&mut self, now: u64, id: CallId) {
        let response = if L::confirms_heartbeat(self.is_in_quorum(now)) {
            Response::accepted()
        } else {
            Response::unavailable("no contact with a majority of the controllers")
        };
        self.answer(id, response);
    }

    fn depart(&mut self, now: u64, id: CallId, instance: String, departure: Departure) {
        let is_committed = orders::departure_of(self.replica.committed(), &instance) >= Some(departure);
        if L::confirms_departure(is_committed) {
            self.answer(id, Response::accepted());
        }
        if !is_committed {
            self.order(now, id, Request::Drain { instance, departure });
        }
    }

    fn resolve(&mut self, now: u64, id: CallId, host: &str, region: &str, zone: &str) {
        let region = self.settings.zones.get(zone).map_or(region, String::as_str);
        let records = self.may_hand_out(now).then(|| self.replica.committed());
        self.residency.refresh(records);
        let regions = self.residency.regions_of(host);
        let addresses = directory::addresses_for(&self.leases, now, Place { region, zone }, regions);
        let response = match directory::answer(&addresses) {
            Some(body) if self.may_tell(now) => Response::ok(body),
            _ => Response::unavailable("no balancer is known yet"),
        };
        self.answer(id, response);
    }

    fn answer_status(&mut self, now: u64, id: CallId) {
        let body = status::describe(&self.summary(now));
        self.answer(id, Response::ok(body));
    }

    /// The controller's figures as OpenMetrics text.
    pub fn metrics(&self, now: u64) -> String {
        status::metrics(&self.summary(now))
    }

    fn summary(&self, now: u64) -> status::Summary<'_> {
        status::Summary {
            node: &self.settings.node,
            replica: &self.replica,
            registry: &self.registry,
            leases: &self.leases,
            publisher: &self.publisher,
            in_quorum: self.is_in_quorum(now),
            orders: &self.pending,
            shutting_down: self.shutting_down,
            now,
        }
    }

    pub(super) fn answer(&mut self, id: CallId, response: Response) {
        self.actions.push(Action::Answer { id, response });
    }
}
