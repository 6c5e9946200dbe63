//! Figures of a router, for whoever watches it.

use crate::service::Service;
use crate::{RefusalReason, Router};

/// One service as this balancer sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceFigures {
    pub service: String,
    /// Repeated sends that the balancer's part of the budget still allows.
    pub repeats_left: f64,
    /// Requests that were refused since the start, by reason.
    pub refusals: Vec<(RefusalReason, u64)>,
    /// Picks that passed over an instance for its sends in flight, since the start.
    pub passed_over: u64,
    /// Prompts sent to the instance that is to keep their shared parts, and elsewhere, since the start.
    pub at_holder: u64,
    pub beside_holder: u64,
    pub regions: Vec<RegionFigures>,
}

/// A service's instances in one region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionFigures {
    pub region: String,
    /// The weight by which the region is drawn, between 0 and 1.
    pub share: f64,
    /// How far latencies lie beside the fit that the weight is solved with, in milliseconds.
    pub fit_error_ms: f64,
    /// Instances that may be sent to and don't rest.
    pub ready: u64,
    pub cold: u64,
    pub resting: u64,
    /// Instances in a zone or region that this balancer can't reach.
    pub out_of_reach: u64,
    /// This balancer's sends.
    pub in_flight: u64,
}

impl Router {
    /// What the router knows now, by service and region.
    pub fn figures(&self, now: u64) -> Vec<ServiceFigures> {
        let figures = |(id, service): (usize, &Service)| ServiceFigures {
            service: self.catalogue.service_name(id).to_owned(),
            repeats_left: service.budget.tokens(),
            refusals: service.counts.refusals(),
            passed_over: service.counts.passed_over.get(),
            at_holder: service.counts.at_holder.get(),
            beside_holder: service.counts.beside_holder.get(),
            regions: (0..service.regions.len())
                .map(|region| self.region_figures(service, region, now))
                .collect(),
        };
        self.services.iter().enumerate().map(figures).collect()
    }

    fn region_figures(&self, service: &Service, region: usize, now: u64) -> RegionFigures {
        let open = || {
            let in_region = service.instances.values().filter(move |instance| instance.region == region);
            in_region.filter(|instance| instance.may_be_sent_to())
        };
        RegionFigures {
            region: self.catalogue.region_name(region).to_owned(),
            share: service.regions[region].share,
            fit_error_ms: service.regions[region].fit_error(now),
            ready: open().filter(|instance| instance.is_ready(now)).count() as u64,
            cold: open().filter(|instance| instance.is_cold(now)).count() as u64,
            resting: open().filter(|instance| instance.health.is_resting(now, instance.unanswered)).count()
                as u64,
            out_of_reach: open().filter(|instance| now < instance.out_of_reach_until).count() as u64,
            in_flight: open().map(|instance| u64::from(instance.in_flight)).sum(),
        }
    }
}
