//! Locality preference: when a request stays in its balancer's region, and there in its zone, before region weights apply.
//!
//! Traffic between regions and zones costs money and time. A region or zone therefore keeps its own requests as long as the
//! load for each of its instances is at most a margin above the mean. The traffic of a region's balancers is estimated from
//! this balancer's own part, and the estimate is corrected by the loads that the balancers report.

use crate::region::RegionModel;

/// The load for each instance of the own region may be at most this many times the mean over all regions.
const MARGIN: f64 = 1.5;
/// Least factor by which the correction falls at a time.
const FALL: f64 = 0.8;
/// Step by which the correction rises at a time.
const RISE: f64 = 0.05;
/// Least value of the correction.
const LEAST: f64 = 0.1;
/// Least time between two corrections, in milliseconds.
const CORRECTION_MS: u64 = 1_000;
/// Below so many requests a second a measured rate is mostly noise.
const LEAST_RATE: f64 = 5.0;

/// Rates of a service's requests.
pub(crate) struct Traffic {
    /// Requests a second that reach this balancer.
    pub(crate) own: f64,
    /// Requests a second of all balancers; 0 if that is not known.
    pub(crate) all: f64,
    /// Number of balancers; 0 if it is not known.
    pub(crate) balancers: u32,
    /// Number of failure domains (regions, or zones) that have balancers.
    pub(crate) domains: usize,
}

impl Traffic {
    /// The fraction of all requests that arrives at the balancers of the own domain: this one's, and an even part of the
    /// others' for each other one.
    fn own_domain_fraction(&self) -> f64 {
        let balancers = f64::from(self.balancers.max(1));
        let even = 1.0 / balancers;
        let own = self.own - self.own.sqrt();
        let part = if self.all >= LEAST_RATE { (own / self.all).clamp(even, 1.0) } else { even };
        let neighbours = (balancers / self.domains.max(1) as f64 - 1.0).max(0.0);
        part + (1.0 - part) * neighbours / (balancers - 1.0).max(1.0)
    }
}

/// The probability that a request stays, with a correction by reported loads.
#[derive(Debug)]
pub(crate) struct LocalityPreference {
    /// Factor on the probability, at most 1.
    correction: f64,
    corrected_at: u64,
}

impl LocalityPreference {
    /// A preference without correction.
    pub(crate) fn new(now: u64) -> Self {
        LocalityPreference { correction: 1.0, corrected_at: now }
    }

    /// The probability that a request stays in the own domain, which has this fraction of the ready instances.
    pub(crate) fn stay_probability(&self, own_part: f64, traffic: &Traffic) -> f64 {
        (self.correction * (MARGIN * own_part / traffic.own_domain_fraction()).min(1.0)).min(1.0)
    }

    /// Lowers the probability while the own region is loaded beyond the margin, and raises it again afterwards.
    pub(crate) fn correct(&mut self, now: u64, regions: &[RegionModel], own_region: usize) {
        let Some(region) = regions.get(own_region) else { return };
        if now < self.corrected_at + CORRECTION_MS {
            return;
        }
        self.corrected_at = now;
        let (load, ready) =
            regions.iter().fold((0.0, 0.0), |sum, r| (sum.0 + r.reported_load, sum.1 + r.ready));
        let allowed = MARGIN * load * region.ready / f64::max(ready, 1.0);
        if region.reported_load > allowed.max(LEAST_RATE) && ready > region.ready {
            self.correction = (self.correction * (allowed / region.reported_load).max(FALL)).max(LEAST);
        } else {
            self.correction = (self.correction + RISE).min(1.0);
        }
    }
}
