//! Checks of the invariants that hold at all times, and of those that hold after all faults have ended.

use std::net::SocketAddr;

use http::StatusCode;
use whinspindle_controller::api::Call;
use whinspindle_controller::{Action, Event};

use super::{Deployment, text_between};
use crate::common::edge::Edge;
use crate::common::invariant_checker::{CONTACT_MS, KNOWN_MS, applied_generation};
use crate::common::resolve;
use crate::common::rules::Rules;
use crate::common::upstream::{Phase, Upstream};

const CLIENT_REGION: &str = "north";
const CLIENT_ZONE: &str = "zone-a";
/// The directory returns a stopped balancer for at most this long.
const MAX_STALE_ADDRESS_MS: u64 = CONTACT_MS + 3_000;

impl<R: Rules> Deployment<R> {
    pub(super) fn check_balancers(&mut self, now: u64) {
        let mut found = Vec::new();
        for edge in &self.edges {
            let Some(applied) = edge.applied() else { continue };
            let configured = applied.versions().configured;
            if configured > 0 && configured < edge.newest_reported {
                found.push(format!(
                    "edge {} went back to {configured} from {}",
                    edge.number, edge.newest_reported
                ));
            }
            if configured > 0
                && self.is_reachable(now, edge)
                && let Err(problem) = self.checker.check_configuration(now, applied)
            {
                found.push(format!("edge {}, in reach, {problem}", edge.number));
            }
            if !self.is_in_contact(now, edge) {
                continue;
            }
            if let Err(problem) = self.checker.check(now, applied) {
                found.push(format!("edge {}: {problem}", edge.number));
            }
            if let Some(upstream) = self.missing_upstream(now, edge) {
                found.push(format!("edge {} doesn't know {upstream}, which serves", edge.number));
            }
        }
        for problem in found {
            self.report_problem(problem);
        }
    }

    /// Checks that no controller, partitioned or not, returns a balancer that stopped long ago, and that
    /// every controller with a quorum returns a balancer if one of the region is in contact.
    pub(super) fn check_directory(&mut self, now: u64) {
        let serving = self.serving_controllers(now);
        let is_core_calm = now > self.core_disturbed_at + CONTACT_MS;
        for at in self.fleet.cluster.endpoints() {
            let was_frozen = self.thaws.get(&at).is_some_and(|until| *until + MAX_STALE_ADDRESS_MS > now);
            if was_frozen || !is_core_calm {
                continue;
            }
            let Some(named) = self.directory_addresses(now, at) else { continue };
            let ended = |edge: &&Edge<R::Agent>| {
                !edge.is_running() && !self.has_ended_since(now, edge, MAX_STALE_ADDRESS_MS)
            };
            if let Some(edge) = self.edges.iter().filter(ended).find(|edge| named.contains(&edge.address)) {
                let problem = format!("{at} names edge {}, which ended long ago", edge.number);
                self.report_problem(problem);
            } else if named.is_empty() && serving.contains(&at) && self.has_nearby_balancer_in_contact(now) {
                self.report_problem(format!("{at} names no balancer"));
            }
        }
    }

    /// Clients of an unknown host are directed only to balancers of their own region.
    fn has_nearby_balancer_in_contact(&self, now: u64) -> bool {
        let mut near = self.edges.iter().filter(|edge| edge.location().1 == CLIENT_REGION);
        near.any(|edge| self.is_in_contact(now, edge))
    }

    fn has_ended_since(&self, now: u64, edge: &Edge<R::Agent>, span_ms: u64) -> bool {
        self.edge_ended_at.get(&edge.address).is_none_or(|at| at + span_ms > now)
    }

    /// The addresses that the directory of a running controller returns.
    fn directory_addresses(&mut self, now: u64, at: SocketAddr) -> Option<Vec<SocketAddr>> {
        let id = self.fleet.next_call();
        let process = self.fleet.cluster.process_mut(at)?;
        let actions =
            process.controller.handle(now, Event::Call { id, call: resolve(CLIENT_REGION, CLIENT_ZONE) });
        let [Action::Answer { response, .. }] = &actions[..] else {
            panic!("a directory request has one response")
        };
        if response.status != StatusCode::OK {
            return Some(Vec::new());
        }
        let body = std::str::from_utf8(&response.body).expect("a response is text");
        let addresses = text_between(body, "[", ']').split(',').map(|address| address.trim_matches('"'));
        Some(addresses.map(|address| address.parse().expect("an address")).collect())
    }

    /// Whether no fault has affected the machine for long enough, so that it has to have the newest state.
    fn is_in_contact(&self, now: u64, edge: &Edge<R::Agent>) -> bool {
        let disturbed_at = self.edge_disturbed_at.get(&edge.address).copied().unwrap_or(0);
        now > disturbed_at + CONTACT_MS && self.is_reachable(now, edge)
    }

    /// Whether the machine has been reachable for long enough. Unlike a machine in contact it may have just
    /// started; if it has a configuration, this has to be the newest one.
    fn is_reachable(&self, now: u64, edge: &Edge<R::Agent>) -> bool {
        let unreached_at = self.edge_unreached_at.get(&edge.address).copied().unwrap_or(0);
        now > unreached_at.max(self.core_disturbed_at) + CONTACT_MS
    }

    /// A serving upstream that the balancer should know and doesn't.
    fn missing_upstream(&self, now: u64, edge: &Edge<R::Agent>) -> Option<&str> {
        let applied = edge.applied()?;
        let is_ready = |id: &str| {
            let listed = applied.instances().map_or(&[][..], |section| &section.list);
            listed.iter().any(|instance| instance.id == id && !instance.draining)
        };
        let is_known = |upstream: &&Upstream| {
            let disturbed_at = self.upstream_disturbed_at.get(&upstream.address).copied().unwrap_or(0);
            now > disturbed_at.max(self.core_disturbed_at) + KNOWN_MS
        };
        let mut serving = self.upstreams.iter().filter(|upstream| upstream.phase == Phase::Serving);
        serving
            .find(|upstream| is_known(upstream) && !is_ready(&upstream.id))
            .map(|upstream| upstream.id.as_str())
    }

    /// Checks that every machine has the newest state, after some time without faults.
    pub fn check_convergence(&mut self) {
        let newest = self.checker.newest_generation();
        for at in self.fleet.cluster.endpoints() {
            let body = match self.fleet.ask(at, Call::Fetch) {
                Some(answer) if answer.status == StatusCode::OK => answer.body,
                other => {
                    self.report_problem(format!("reading back at {at}: {other:?}"));
                    continue;
                }
            };
            let text = String::from_utf8_lossy(&body).into_owned();
            if !text.contains(&format!("\"generation\":{newest},")) {
                self.report_problem(format!("read back at {at}: {text}, {newest} was acknowledged"));
            }
            let departed: Vec<String> = self.checker.departed_upstreams().cloned().collect();
            let process = self.fleet.cluster.process(at).expect("all run");
            if let Some(forgotten) = departed.iter().find(|id| !process.controller.has_departed(id)) {
                let problem = format!("{at} has forgotten that {forgotten} left");
                self.report_problem(problem);
            }
        }
        let generations: Vec<u64> =
            self.edges.iter().filter_map(|edge| edge.applied().map(applied_generation)).collect();
        if generations.iter().any(|generation| *generation != newest) {
            self.report_problem(format!("balancers hold {generations:?}, {newest} was acknowledged"));
        }
    }
}
