//! The choice of a service and of an instance for a request.

use whinspindle_configuration::Mechanism;

use super::attempts::{Attempt, begin_attempt};
use super::rejections::{no_upstream_wait_ms, reject, retry_after_ms};
use super::{ATTEMPT_CAPACITY, Router};
use crate::affinity::{SharedPrefix, shared_prefix};
use crate::catalogue::{RoutePlan, ServiceId};
use crate::instance::InstanceState;
use crate::service::{RoutingContext, Service};
use crate::weighted_sampler::WeightedSampler;
use crate::{AttemptId, Choice, InstanceKey, RejectionReason, RequestInfo};

impl Router {
    /// Draws the service of a request by the weights of the backends of the route. Returns an index into the
    /// services of the newest configuration.
    ///
    /// A service without an instance in service is skipped while another backend has one. A service whose
    /// instances reject requests, are warming up or are ejected keeps its weight.
    pub fn draw_service(&mut self, route: usize) -> usize {
        let Some(plan) = self.catalogue.newest_route(route) else { return 0 };
        if let [(index, _, _)] = plan.backends.as_slice() {
            return *index;
        }
        let has_instances = |id: ServiceId| self.services.get(id).is_some_and(Service::has_instances);
        let eligible_weight =
            |&(_, id, weight): &(usize, ServiceId, f64)| if has_instances(id) { weight } else { 0.0 };
        let eligible_weights: Vec<f64> = plan.backends.iter().map(eligible_weight).collect();
        let all_weights: Vec<f64> = plan.backends.iter().map(|&(_, _, weight)| weight).collect();
        let new_sampler = || WeightedSampler::with_random_start(&mut self.random);
        let sampler = self.samplers.entry(route).or_insert_with(new_sampler);
        let drawn = sampler.sample(&eligible_weights).or_else(|| sampler.sample(&all_weights)).unwrap_or(0);
        plan.backends.get(drawn).map_or(0, |&(index, _, _)| index)
    }

    /// Chooses the instance for the first attempt of a request or for a retry.
    ///
    /// `tried` lists the instances of the earlier attempts of the request, which are excluded. The caller
    /// ends each attempt with [`Router::finish_attempt`].
    pub fn choose(&mut self, now: u64, request: &RequestInfo, tried: &[InstanceKey]) -> Choice {
        let is_full = self.attempts.len() >= ATTEMPT_CAPACITY;
        let context = RoutingContext {
            now,
            own_region: self.own_region,
            balancers: self.balancer_count.get(),
            region_count: self.regions_with_balancers,
            zone_count: self.settings.zone_regions.len().max(1),
            bounds: &self.settings.bounds,
        };
        let resolved = self.catalogue.resolve(request);
        let Some((route, id, service)) =
            resolved.and_then(|(route, id)| Some((route, id, self.services.get_mut(id)?)))
        else {
            let wait_ms = no_upstream_wait_ms(&self.settings);
            return reject(RejectionReason::NoUpstream, wait_ms, request, &mut self.random);
        };
        if tried.is_empty() {
            service.record_arrival(now, context.bounds);
        }
        let is_retry = tried.len() > request.unsent_attempts;
        let result = if is_retry && !may_retry(service) {
            Err(RejectionReason::RetryBudget)
        } else if is_full {
            Err(RejectionReason::Full)
        } else {
            let prefix = affinity_prefix(service, route, request);
            service.choose(&context, route, prefix, tried, &mut self.random)
        };
        let instance = match result {
            Ok(instance) => instance,
            Err(reason) => {
                service.counts.record_rejection(reason);
                let wait_ms = retry_after_ms(reason, now, route, service, &self.settings);
                return reject(reason, wait_ms, request, &mut self.random);
            }
        };
        if is_retry {
            service.budget.spend();
        }
        let attempt = begin_attempt(service, &context, id, instance, request);
        let attempt = Attempt { is_retry, is_streaming: route.is_streaming, ..attempt };
        Choice::Forward { attempt: self.register_attempt(now, attempt), instance }
    }

    /// Adds a started attempt to the open attempts.
    fn register_attempt(&mut self, now: u64, attempt: Attempt) -> AttemptId {
        let instance = &self.services[attempt.service].instances[&attempt.instance];
        let (zone, region) = (instance.zone, instance.region);
        let id = AttemptId(self.next_attempt_id);
        self.next_attempt_id += 1;
        self.attempts.insert(id, attempt);
        if self.reachability.record_attempt(now, zone, region) {
            self.update_reachability();
        }
        id
    }

    /// Whether the instance still accepts requests. The caller checks this right before it writes the first
    /// byte.
    pub fn can_send(&self, instance: InstanceKey) -> bool {
        self.instance(instance).is_some_and(InstanceState::is_in_service)
    }
}

fn may_retry(service: &Service) -> bool {
    service.mechanisms.has(Mechanism::Repeats) && service.budget.has_token()
}

/// Returns the prefix that selects the cache owner of the request; `None` on routes without prefix affinity.
fn affinity_prefix(service: &Service, route: &RoutePlan, request: &RequestInfo) -> Option<SharedPrefix> {
    let has_affinity = route.is_sticky && service.mechanisms.has(Mechanism::Holders);
    if has_affinity { shared_prefix(&request.prompt) } else { None }
}
