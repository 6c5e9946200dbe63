//! The model of a service's instances in one region, and the solving of region weights from these models.

use std::collections::VecDeque;

use whinspindle::pcg::Pcg;
use whinspindle::samples::{LatencyFit, decay_weighted, fit_increasing_line, normalize_shares, push_bounded};
use whinspindle::weights::{MIN_SHARE, Target, solve};

use crate::rate::RateCounter;

/// The time between two checks of the weights.
pub(crate) const CHECK_MS: u64 = 5_000;
/// Weights are solved for at least at every n-th check, also without a change.
const SOLVE_EVERY: u32 = 2;
/// A relative change above this makes a check solve for new weights.
const RELATIVE_CHANGE: f64 = 0.2;
/// Latency samples kept for each region.
const SAMPLES: usize = 64;
/// The least slope of a fit against a line through the origin.
const LEAST_SLOPE: f64 = 0.1;

/// A service's instances in one region.
#[derive(Debug)]
pub(crate) struct RegionModel {
    /// Relative weight of one ready instance; the region's weight is this times the number of its ready instances.
    weight_per_instance: f64,
    /// Time of an answer, the load for each ready instance at that time, and the latency in milliseconds.
    samples: VecDeque<(u64, f64, f64)>,
    /// Ready instances and mean latency when the weights were last solved for.
    solved: (f64, f64),
    /// Number of ready instances.
    pub(crate) ready: f64,
    /// Normalized weight by which the region is drawn, between 0 and 1, floor included.
    pub(crate) weight: f64,
    /// Requests a second that all balancers send there, as reported.
    pub(crate) reported_load: f64,
    /// Rate of this balancer's own attempts there.
    pub(crate) attempts: RateCounter,
}

impl RegionModel {
    pub(crate) fn new(now: u64) -> Self {
        RegionModel {
            weight_per_instance: 1.0,
            samples: VecDeque::new(),
            solved: (0.0, 0.0),
            ready: 0.0,
            weight: 0.0,
            reported_load: 0.0,
            attempts: RateCounter::new(now),
        }
    }

    pub(crate) fn record_latency(&mut self, now: u64, load_per_ready: f64, latency_ms: f64) {
        push_bounded(&mut self.samples, SAMPLES, (now, load_per_ready, latency_ms));
    }

    /// The root of the weighted mean square distance between the samples and the fit, in milliseconds.
    pub(crate) fn fit_error(&self, now: u64) -> f64 {
        let fit = self.fit(now);
        let square = |(weight, load, latency): (f64, f64, f64)| {
            weight * (latency - fit.base - fit.slope * load).powi(2)
        };
        let squares: f64 = decay_weighted(&self.samples, now, 2 * CHECK_MS).map(square).sum();
        if fit.weight > 0.0 { (squares / fit.weight).sqrt() } else { 0.0 }
    }

    /// The present fit of latency against the load for each ready instance.
    pub(crate) fn fit(&self, now: u64) -> LatencyFit {
        fit_increasing_line(decay_weighted(&self.samples, now, 2 * CHECK_MS), LEAST_SLOPE)
    }
}

/// The state of the last solution of the weights.
#[derive(Debug, Default)]
pub(crate) struct Solved {
    rate: f64,
    checks_since: u32,
}

/// Inputs of a check of the weights besides the regions.
pub(crate) struct Conditions {
    pub(crate) now: u64,
    /// Requests a second for the service over all balancers, extrapolated from this balancer's own rate.
    pub(crate) rate: f64,
}

/// Normalizes the region weights: weight of an instance times the number of ready instances, with a floor if wanted.
pub(crate) fn set_weights(regions: &mut [RegionModel], has_floor: bool) {
    let weights = regions.iter().map(|region| region.weight_per_instance * region.ready).collect();
    let floored = normalize_shares(weights, if has_floor { MIN_SHARE } else { 0.0 });
    regions.iter_mut().zip(floored).for_each(|(region, weight)| region.weight = weight);
}

/// Solves for new weights if ready instances, latency or the arrival rate have changed enough, and every few checks.
pub(crate) fn check(
    regions: &mut [RegionModel],
    solved: &mut Solved,
    conditions: &Conditions,
    load: impl Fn(&RegionModel) -> f64,
    random: &mut Pcg,
) {
    let fits: Vec<_> = regions.iter().map(|region| region.fit(conditions.now)).collect();
    let moved = |(region, fit): (&RegionModel, &LatencyFit)| {
        changed(region.solved.0, region.ready) || changed(region.solved.1, fit.mean)
    };
    solved.checks_since += 1;
    let due = solved.checks_since >= SOLVE_EVERY || changed(solved.rate, conditions.rate);
    if !due && !regions.iter().zip(&fits).any(moved) {
        return;
    }
    *solved = Solved { rate: conditions.rate, checks_since: 0 };
    // No cost for leaving the region here: `crate::locality` decides which requests stay.
    let place = |(index, region): (usize, &RegionModel)| Target {
        ready_servers: region.ready,
        load_per_server: load(region) / region.ready.max(1.0),
        fit: fits[index],
        crossing_cost: 0.0,
    };
    let places: Vec<Target> = regions.iter().enumerate().map(place).collect();
    let weights: Vec<f64> = regions.iter().map(|region| region.weight).collect();
    let better = solve(random, &places, &weights, conditions.rate);
    for (region, fit) in regions.iter_mut().zip(&fits) {
        region.solved = (region.ready, fit.mean);
    }
    regions
        .iter_mut()
        .zip(better.into_iter().flatten())
        .for_each(|(region, weight)| region.weight_per_instance = weight);
}

fn changed(old: f64, new: f64) -> bool {
    (new - old).abs() > RELATIVE_CHANGE * old
}
