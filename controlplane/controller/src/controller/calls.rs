//! Handling of the calls of operators, upstreams and clients.

use std::net::SocketAddr;

use http::StatusCode;
use spdlog::warn;
use whinspindle_registry::HeartbeatEffect;
use whinspindle_replica::{ForcedReconfiguration, Input};

use super::Controller;
use super::event::Action;
use super::submission::configuration_response;
use crate::api::{Call, RequestError, Response};
use crate::commands::{Departure, records};
use crate::directory::{self, ClientLocation};
use crate::pending_commands::{CallId, CommandRequest};
use crate::protocol_rules::ProtocolRules;
use crate::status;

impl<R: ProtocolRules> Controller<R> {
    /// Answers a call, or submits its command.
    pub(super) fn handle_call(&mut self, now: u64, id: CallId, call: Call) {
        match call {
            Call::Replace { base, generation, body } => {
                self.accept_command(now, id, CommandRequest::Replace { base, generation, body });
            }
            Call::Fetch if R::should_answer_reads_locally() => {
                let record = self.replica.committed_records().get(records::CONFIGURATION_KEY);
                let body = record.map(|record| record.value.to_vec()).unwrap_or_default();
                self.answer(id, configuration_response(body));
            }
            Call::Fetch => self.accept_command(now, id, CommandRequest::Fetch),
            Call::Evacuate { zone, .. } if !self.settings.zones.contains_key(&zone) => {
                self.answer(id, RequestError::UnknownZone.into());
            }
            Call::Evacuate { zone, evacuated, confirmed_sequence } => {
                self.accept_evacuation(now, id, zone, evacuated, confirmed_sequence);
            }
            Call::Heartbeat { instance, heartbeat } => {
                let effect = self.registry.record_heartbeat(now, &instance, &heartbeat);
                self.handle_heartbeat_effect(now, id, instance, effect);
            }
            Call::Deregister { instance } => {
                self.record_departure(now, id, instance, Departure::Deregistered)
            }
            Call::Resolve { host, region, zone } => self.resolve(now, id, &host, &region, &zone),
            Call::Status => self.answer_status(now, id),
            Call::DeclareLost { lost, confirmed_view } => self.declare_lost(now, id, lost, confirmed_view),
        }
    }

    /// Starts a forced reconfiguration if the operator has confirmed it for the current view. Otherwise
    /// answers with its consequences.
    fn declare_lost(&mut self, now: u64, id: CallId, lost: Vec<SocketAddr>, confirmed_view: Option<u64>) {
        let response = match self.replica.forced_reconfiguration(now, &lost) {
            Err(refusal) => Response::failure(StatusCode::CONFLICT, &refusal.to_string()),
            Ok(forced) if confirmed_view == Some(forced.view) => {
                warn!("an operator has declared the voters {lost:?} permanently lost");
                self.step_replica(now, Input::DeclareLost { endpoints: lost });
                Response::accepted()
            }
            Ok(forced) => confirmation_required(forced),
        };
        self.answer(id, response);
    }

    fn handle_heartbeat_effect(&mut self, now: u64, id: CallId, instance: String, effect: HeartbeatEffect) {
        match effect {
            HeartbeatEffect::Accepted { changed } => {
                self.acknowledge_heartbeat(now, id);
                if changed {
                    self.schedule_changes(now);
                }
            }
            HeartbeatEffect::Stale => self.acknowledge_heartbeat(now, id),
            HeartbeatEffect::DrainingAnnounced => {
                self.send_withdrawal(now);
                self.record_departure(now, id, instance, Departure::Draining);
            }
            HeartbeatEffect::AtCapacity => {
                self.answer(id, Response::unavailable("more instances than this controller holds"));
            }
        }
    }

    /// Confirms a heartbeat only with a quorum. Without one, only the balancers connected to this controller
    /// learn of the instance and all others would remove it, so the instance must also call another
    /// controller.
    fn acknowledge_heartbeat(&mut self, now: u64, id: CallId) {
        let response = if R::should_confirm_heartbeat(self.is_in_quorum(now)) {
            Response::accepted()
        } else {
            Response::unavailable("no contact with a majority of the controllers")
        };
        self.answer(id, response);
    }

    fn record_departure(&mut self, now: u64, id: CallId, instance: String, departure: Departure) {
        let is_committed =
            records::departure_of(self.replica.committed_records(), &instance) >= Some(departure);
        if R::should_confirm_departure(is_committed) {
            self.answer(id, Response::accepted());
        }
        if !is_committed {
            self.accept_command(now, id, CommandRequest::Drain { instance, departure });
        }
    }

    fn resolve(&mut self, now: u64, id: CallId, host: &str, region: &str, zone: &str) {
        let region = self.settings.zones.get(zone).map_or(region, String::as_str);
        let records = self.may_serve_records(now).then(|| self.replica.committed_records());
        self.host_regions.refresh(records);
        let regions = self.host_regions.regions_of(host);
        let addresses = directory::addresses_for(&self.leases, now, ClientLocation { region, zone }, regions);
        let response = match directory::response_body(&addresses) {
            Some(body) if self.may_publish(now) => Response::ok(body),
            _ => Response::unavailable("no balancer is known yet"),
        };
        self.answer(id, response);
    }

    fn answer_status(&mut self, now: u64, id: CallId) {
        let body = status::to_json(&self.status_source(now));
        self.answer(id, Response::ok(body));
    }

    /// The controller's metrics in the OpenMetrics text format.
    pub fn metrics(&self, now: u64) -> String {
        status::to_metrics(&self.status_source(now))
    }

    fn status_source(&self, now: u64) -> status::StatusSource<'_> {
        status::StatusSource {
            node: &self.settings.node,
            replica: &self.replica,
            registry: &self.registry,
            leases: &self.leases,
            publisher: &self.publisher,
            in_quorum: self.is_in_quorum(now),
            commands: &self.pending,
            shutting_down: self.shutting_down,
            now,
        }
    }

    pub(super) fn answer(&mut self, id: CallId, response: Response) {
        self.actions.push(Action::Answer { id, response });
    }
}

/// The answer to a declaration of lost voters that is not confirmed for the current view.
fn confirmation_required(forced: ForcedReconfiguration) -> Response {
    let consequence = if forced.may_lose_commands {
        "acknowledged commands may be lost: those that only the lost voters have"
    } else {
        "nothing acknowledged is lost, if they are"
    };
    let view = forced.view;
    let reason = format!(
        "these voters must stay off for good; {consequence}; \
         to go on, send this again with confirm={view}"
    );
    Response::failure(StatusCode::PRECONDITION_REQUIRED, &reason)
}
