//! Locality preference: decides whether a request stays in the region and the zone of its balancer before
//! region weights apply.
//!
//! Traffic between regions and zones costs money and time. A region or zone therefore keeps its own requests
//! as long as the load of its instances is at most a margin above the mean. The traffic of the balancers of a
//! region is estimated from this balancer's own traffic and corrected by the loads that the balancers report.

use crate::region::RegionModel;

/// Maximum load per instance of the own region, as a multiple of the mean over all regions.
const LOAD_MARGIN: f64 = 1.5;
/// Minimum factor of a single decrease of the correction.
const MIN_DECREASE_FACTOR: f64 = 0.8;
/// Step of a single increase of the correction.
const INCREASE_STEP: f64 = 0.05;
/// Minimum value of the correction.
const MIN_CORRECTION: f64 = 0.1;
/// Minimum time between two corrections, in milliseconds.
const CORRECTION_INTERVAL_MS: u64 = 1_000;
/// Measured rates below this are mostly noise.
const MIN_RATE_PER_S: f64 = 5.0;

/// Request rates of a service and the number of balancers that receive them.
pub(crate) struct Traffic {
    /// Requests per second at this balancer.
    pub(crate) own_per_s: f64,
    /// Requests per second at all balancers; 0 if unknown.
    pub(crate) total_per_s: f64,
    /// Number of balancers; 0 if unknown.
    pub(crate) balancers: u32,
    /// Number of failure domains (regions, or zones) that have balancers.
    pub(crate) domains: usize,
}

impl Traffic {
    /// Estimated fraction of all requests that arrives at the balancers of the own domain. The requests of
    /// all other balancers are assumed to be spread evenly over them.
    fn own_domain_fraction(&self) -> f64 {
        let balancers = f64::from(self.balancers.max(1));
        let even_share = 1.0 / balancers;
        let own_estimate = self.own_per_s - self.own_per_s.sqrt();
        let own_share = if self.total_per_s >= MIN_RATE_PER_S {
            (own_estimate / self.total_per_s).clamp(even_share, 1.0)
        } else {
            even_share
        };
        let domain_peers = (balancers / self.domains.max(1) as f64 - 1.0).max(0.0);
        own_share + (1.0 - own_share) * domain_peers / (balancers - 1.0).max(1.0)
    }
}

/// Probability that a request stays in the own domain, corrected by reported loads.
#[derive(Debug)]
pub(crate) struct LocalityPreference {
    /// Factor on the probability, at most 1.
    correction: f64,
    corrected_at: u64,
}

impl LocalityPreference {
    /// Creates a preference without correction.
    pub(crate) fn new(now: u64) -> Self {
        LocalityPreference { correction: 1.0, corrected_at: now }
    }

    /// Probability that a request stays in the own domain, which has `ready_fraction` of all ready instances.
    pub(crate) fn stay_probability(&self, ready_fraction: f64, traffic: &Traffic) -> f64 {
        (self.correction * (LOAD_MARGIN * ready_fraction / traffic.own_domain_fraction()).min(1.0)).min(1.0)
    }

    /// Lowers the probability while the load of the own region exceeds the margin, and raises it again
    /// afterwards.
    pub(crate) fn update_correction(&mut self, now: u64, regions: &[RegionModel], own_region: usize) {
        let Some(region) = regions.get(own_region) else { return };
        if now < self.corrected_at + CORRECTION_INTERVAL_MS {
            return;
        }
        self.corrected_at = now;
        let (load, ready) =
            regions.iter().fold((0.0, 0.0), |sum, r| (sum.0 + r.reported_load, sum.1 + r.ready_instances));
        let allowed_load = LOAD_MARGIN * load * region.ready_instances / f64::max(ready, 1.0);
        if region.reported_load > allowed_load.max(MIN_RATE_PER_S) && ready > region.ready_instances {
            self.correction = (self.correction
                * (allowed_load / region.reported_load).max(MIN_DECREASE_FACTOR))
            .max(MIN_CORRECTION);
        } else {
            self.correction = (self.correction + INCREASE_STEP).min(1.0);
        }
    }
}
