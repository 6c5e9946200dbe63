//! Metrics of a router.

use crate::service::Service;
use crate::{RejectionReason, Router};

/// Metrics of one service from the view of this balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceMetrics {
    /// Name of the service.
    pub service: String,
    /// Number of retries that the balancer's share of the retry budget allows now.
    pub retry_budget_tokens: f64,
    /// Number of rejected requests since the start, by reason.
    pub rejections: Vec<(RejectionReason, u64)>,
    /// Number of picks since the start that skipped a busy instance.
    pub busy_instance_skips: u64,
    /// Number of prompts since the start that went to the cache owner of their prefix.
    pub cache_owner_hits: u64,
    /// Number of prompts since the start that went to another instance than the cache owner of their prefix.
    pub cache_owner_misses: u64,
    /// Metrics of the instances by region.
    pub regions: Vec<RegionMetrics>,
}

/// Metrics of a service's instances in one region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionMetrics {
    /// Name of the region.
    pub region: String,
    /// Normalized weight of the region, between 0 and 1.
    pub weight: f64,
    /// Root mean square distance of the latencies from the fit behind the weight, in milliseconds.
    pub fit_error_ms: f64,
    /// Number of instances that accept requests and are neither ejected nor unreachable.
    pub ready_instances: u64,
    /// Number of instances in slow start.
    pub warming_up_instances: u64,
    /// Number of instances that are ejected for consecutive failures.
    pub ejected_instances: u64,
    /// Number of instances in zones or regions that this balancer can't reach.
    pub unreachable_instances: u64,
    /// Number of this balancer's open attempts.
    pub in_flight_attempts: u64,
}

impl Router {
    /// Returns the current metrics by service and region.
    pub fn metrics(&self, now: u64) -> Vec<ServiceMetrics> {
        let metrics = |(id, service): (usize, &Service)| ServiceMetrics {
            service: self.catalogue.service_name(id).to_owned(),
            retry_budget_tokens: service.budget.tokens(),
            rejections: service.counts.rejections(),
            busy_instance_skips: service.counts.busy_instance_skips.get(),
            cache_owner_hits: service.counts.cache_owner_hits.get(),
            cache_owner_misses: service.counts.cache_owner_misses.get(),
            regions: (0..service.regions.len())
                .map(|region| self.region_metrics(service, region, now))
                .collect(),
        };
        self.services.iter().enumerate().map(metrics).collect()
    }

    fn region_metrics(&self, service: &Service, region: usize, now: u64) -> RegionMetrics {
        let open = || {
            let in_region = service.instances.values().filter(move |instance| instance.region == region);
            in_region.filter(|instance| instance.is_in_service())
        };
        RegionMetrics {
            region: self.catalogue.region_name(region).to_owned(),
            weight: service.regions[region].weight,
            fit_error_ms: service.regions[region].fit_error(now),
            ready_instances: open().filter(|instance| instance.is_ready(now)).count() as u64,
            warming_up_instances: open().filter(|instance| instance.is_warming_up(now)).count() as u64,
            ejected_instances: open()
                .filter(|instance| instance.health.is_ejected(now, instance.unanswered))
                .count() as u64,
            unreachable_instances: open().filter(|instance| now < instance.unreachable_until).count() as u64,
            in_flight_attempts: open().map(|instance| u64::from(instance.in_flight)).sum(),
        }
    }
}
