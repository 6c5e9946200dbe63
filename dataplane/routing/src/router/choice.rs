//! The choice of a service and of an instance for a request.

use whinspindle_configuration::Mechanism;

use super::attempts::{Attempt, begin_attempt};
use super::rejections::{no_upstream_wait_ms, reject, retry_after_ms};
use super::{ATTEMPT_CAPACITY, Router};
use crate::affinity::{SharedPrefix, shared_prefix};
use crate::catalogue::{RoutePlan, ServiceId};
use crate::even_draw::EvenDraw;
use crate::instance::InstanceState;
use crate::service::{RoutingContext, Service};
use crate::{AttemptId, Choice, InstanceKey, RejectionReason, RequestInfo};

impl Router {
    /// Draws the service of a request by the weights of the route's backends. Returns an index into the services of the
    /// newest configuration.
    ///
    /// A service without any instance that takes requests is left out while there is another. One whose instances reject
    /// requests, are warming up or are ejected keeps its weight.
    pub fn draw_service(&mut self, route: usize) -> usize {
        let Some(plan) = self.catalogue.newest_route(route) else { return 0 };
        if let [(index, _, _)] = plan.backends.as_slice() {
            return *index;
        }
        let has_instances = |id: ServiceId| self.services.get(id).is_some_and(Service::has_instances);
        let eligible =
            |&(_, id, weight): &(usize, ServiceId, f64)| if has_instances(id) { weight } else { 0.0 };
        let eligible: Vec<f64> = plan.backends.iter().map(eligible).collect();
        let all: Vec<f64> = plan.backends.iter().map(|&(_, _, weight)| weight).collect();
        let begin = || EvenDraw::starting_at_random(&mut self.random);
        let draw = self.draws.entry(route).or_insert_with(begin);
        let drawn = draw.pick(&eligible).or_else(|| draw.pick(&all)).unwrap_or(0);
        plan.backends.get(drawn).map_or(0, |&(index, _, _)| index)
    }

    /// Chooses the instance for the first attempt of a request or for a retry.
    ///
    /// `tried` are the instances of the request's earlier attempts; none of them is chosen again. Each attempt that this
    /// begins is to be ended with [`Router::finish_attempt`].
    pub fn choose(&mut self, now: u64, facts: &RequestInfo, tried: &[InstanceKey]) -> Choice {
        let is_full = self.attempts.len() >= ATTEMPT_CAPACITY;
        let context = RoutingContext {
            now,
            own_region: self.own_region,
            balancers: self.balancers.get(),
            regions: self.regions_with_balancers,
            zones: self.settings.zone_regions.len().max(1),
            bounds: &self.settings.bounds,
        };
        let resolved = self.catalogue.resolve(facts);
        let Some((route, id, service)) =
            resolved.and_then(|(route, id)| Some((route, id, self.services.get_mut(id)?)))
        else {
            let wait_ms = no_upstream_wait_ms(&self.settings);
            return reject(RejectionReason::NoUpstream, wait_ms, facts, &mut self.random);
        };
        if tried.is_empty() {
            service.record_arrival(now, context.bounds);
        }
        let is_retry = tried.len() > facts.unsent_attempts;
        let result = if is_retry && !may_retry(service) {
            Err(RejectionReason::RetryBudget)
        } else if is_full {
            Err(RejectionReason::Full)
        } else {
            let prefix = affinity_prefix(service, route, facts);
            service.choose(&context, route, prefix, tried, &mut self.random)
        };
        let instance = match result {
            Ok(instance) => instance,
            Err(reason) => {
                service.counts.record_rejection(reason);
                let wait_ms = retry_after_ms(reason, now, route, service, &self.settings);
                return reject(reason, wait_ms, facts, &mut self.random);
            }
        };
        if is_retry {
            service.budget.withdraw();
        }
        let begun = begin_attempt(service, &context, id, instance, facts);
        let begun = Attempt { is_retry, streaming: route.streaming, ..begun };
        Choice::Forward { attempt: self.register_attempt(now, begun), instance }
    }

    /// Enters an attempt that has begun into the table of open attempts.
    fn register_attempt(&mut self, now: u64, attempt: Attempt) -> AttemptId {
        let instance = &self.services[attempt.service].instances[&attempt.instance];
        let (zone, region) = (instance.zone, instance.region);
        let id = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        self.attempts.insert(id, attempt);
        if self.reachability.record_attempt(now, zone, region) {
            self.update_reachability();
        }
        id
    }

    /// Whether the instance still takes requests; to be asked right before the first byte is written.
    pub fn can_send(&self, instance: InstanceKey) -> bool {
        self.instance(instance).is_some_and(InstanceState::may_be_sent_to)
    }
}

fn may_retry(service: &Service) -> bool {
    service.mechanisms.has(Mechanism::Repeats) && service.budget.has_token()
}

/// The prefix by which the request is bound to an instance, on sticky routes.
fn affinity_prefix(service: &Service, route: &RoutePlan, facts: &RequestInfo) -> Option<SharedPrefix> {
    let is_sticky = route.sticky && service.mechanisms.has(Mechanism::Holders);
    if is_sticky { shared_prefix(&facts.prompt) } else { None }
}
