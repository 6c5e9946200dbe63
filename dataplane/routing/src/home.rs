//! When a request stays in its balancer's region, and there in its zone, though the weights would send it elsewhere.
//!
//! Bytes between regions and zones have a price and each crossing takes time, so that a region or zone keeps what it
//! can serve: the load for each of its instances may be above the mean of all by a margin. What its balancers bring is
//! estimated from this balancer's own part; what the balancers tell of their sends corrects the estimate.

use crate::region::RegionModel;

/// The load for each instance of the own region may be this many times the mean over all regions.
const MARGIN: f64 = 1.5;
/// The correction moves by so much at most, downwards as a factor, upwards as a step, each time.
const FALL: f64 = 0.8;
const RISE: f64 = 0.05;
const LEAST: f64 = 0.1;
const CORRECTION_MS: u64 = 1_000;
/// Below so many requests a second a measured rate is mostly chance.
const LEAST_RATE: f64 = 5.0;

/// What is known of the traffic of a service.
pub(crate) struct Traffic {
    /// Requests a second that reach this balancer.
    pub(crate) own: f64,
    /// Requests a second of all balancers; 0 if that is not known.
    pub(crate) all: f64,
    /// 0 if not known.
    pub(crate) balancers: u32,
    /// Places (regions, or zones) that have balancers.
    pub(crate) places: usize,
}

impl Traffic {
    /// The part of all requests that the balancers of the own place bring: this one's, and an even part of the rest
    /// for each other one.
    fn brought_by_place(&self) -> f64 {
        let balancers = f64::from(self.balancers.max(1));
        let even = 1.0 / balancers;
        let own = self.own - self.own.sqrt();
        let part = if self.all >= LEAST_RATE { (own / self.all).clamp(even, 1.0) } else { even };
        let neighbours = (balancers / self.places.max(1) as f64 - 1.0).max(0.0);
        part + (1.0 - part) * neighbours / (balancers - 1.0).max(1.0)
    }
}

/// Corrects the estimate by what the balancers tell of their sends.
#[derive(Debug)]
pub(crate) struct HomePreference {
    correction: f64,
    corrected_at: u64,
}

impl HomePreference {
    pub(crate) fn new(now: u64) -> Self {
        HomePreference { correction: 1.0, corrected_at: now }
    }

    /// The chance that a request stays, where the own place has this part of the ready instances that may serve it.
    pub(crate) fn chance(&self, own_part: f64, traffic: &Traffic) -> f64 {
        (self.correction * (MARGIN * own_part / traffic.brought_by_place()).min(1.0)).min(1.0)
    }

    /// Lowers the chance while the home region is loaded beyond the margin, and raises it again afterwards.
    pub(crate) fn correct(&mut self, now: u64, regions: &[RegionModel], home: usize) {
        let Some(region) = regions.get(home) else { return };
        if now < self.corrected_at + CORRECTION_MS {
            return;
        }
        self.corrected_at = now;
        let (load, ready) = regions.iter().fold((0.0, 0.0), |sum, r| (sum.0 + r.told_load, sum.1 + r.ready));
        let allowed = MARGIN * load * region.ready / f64::max(ready, 1.0);
        if region.told_load > allowed.max(LEAST_RATE) && ready > region.ready {
            self.correction = (self.correction * (allowed / region.told_load).max(FALL)).max(LEAST);
        } else {
            self.correction = (self.correction + RISE).min(1.0);
        }
    }
}
