//! Latency model of a service in one region, and the solver of region weights from these models.

use std::collections::VecDeque;

use whinspindle::pcg::Pcg;
use whinspindle::samples::{LatencyFit, decay_weighted, fit_increasing_line, normalize_shares, push_bounded};
use whinspindle::weights::{MIN_SHARE, Target, solve};

use crate::rate::RateCounter;

/// Time between two checks of the weights, in milliseconds.
pub(crate) const CHECK_INTERVAL_MS: u64 = 5_000;
/// Maximum number of checks between two solutions of the weights, also without a change.
const CHECKS_PER_SOLVE: u32 = 2;
/// Relative change of an input above which a check solves for new weights.
const RELATIVE_CHANGE_THRESHOLD: f64 = 0.2;
/// Maximum number of latency samples for each region.
const MAX_SAMPLES: usize = 64;
/// Minimum slope of a fit, relative to a line through the origin.
const MIN_SLOPE: f64 = 0.1;

/// Model of the instances of a service in one region.
#[derive(Debug)]
pub(crate) struct RegionModel {
    /// Relative weight of one ready instance. The weight of the region is this times its number of ready
    /// instances.
    weight_per_instance: f64,
    /// Time of a response, the load per ready instance at that time, and the latency in milliseconds.
    samples: VecDeque<(u64, f64, f64)>,
    /// Ready instances and mean latency at the last solution of the weights.
    at_last_solve: (f64, f64),
    /// Number of ready instances.
    pub(crate) ready_instances: f64,
    /// Normalized weight of the region including the floor, between 0 and 1.
    pub(crate) weight: f64,
    /// Reported requests per second of all balancers to the region.
    pub(crate) reported_load: f64,
    /// Rate of this balancer's own attempts in the region.
    pub(crate) attempts: RateCounter,
}

impl RegionModel {
    pub(crate) fn new(now: u64) -> Self {
        RegionModel {
            weight_per_instance: 1.0,
            samples: VecDeque::new(),
            at_last_solve: (0.0, 0.0),
            ready_instances: 0.0,
            weight: 0.0,
            reported_load: 0.0,
            attempts: RateCounter::new(now),
        }
    }

    pub(crate) fn record_latency(&mut self, now: u64, load_per_instance: f64, latency_ms: f64) {
        push_bounded(&mut self.samples, MAX_SAMPLES, (now, load_per_instance, latency_ms));
    }

    /// Root of the weighted mean square distance of the samples from the fit, in milliseconds.
    pub(crate) fn fit_error(&self, now: u64) -> f64 {
        let fit = self.fit(now);
        let square = |(weight, load, latency): (f64, f64, f64)| {
            weight * (latency - fit.base - fit.slope * load).powi(2)
        };
        let squares: f64 = decay_weighted(&self.samples, now, 2 * CHECK_INTERVAL_MS).map(square).sum();
        if fit.weight > 0.0 { (squares / fit.weight).sqrt() } else { 0.0 }
    }

    /// Current fit of the latency against the load per ready instance.
    pub(crate) fn fit(&self, now: u64) -> LatencyFit {
        fit_increasing_line(decay_weighted(&self.samples, now, 2 * CHECK_INTERVAL_MS), MIN_SLOPE)
    }
}

/// The state of the last solution of the weights.
#[derive(Debug, Default)]
pub(crate) struct LastSolution {
    rate: f64,
    checks_since: u32,
}

/// Inputs of the weight solver besides the regions.
pub(crate) struct WeightInputs {
    pub(crate) now: u64,
    /// Requests per second of the service at all balancers, extrapolated from the rate at this balancer.
    pub(crate) rate: f64,
}

/// Sets the normalized region weights: the weight per instance times the ready instances, optionally with a
/// floor.
pub(crate) fn set_weights(regions: &mut [RegionModel], has_floor: bool) {
    let weights = regions.iter().map(|region| region.weight_per_instance * region.ready_instances).collect();
    let floored = normalize_shares(weights, if has_floor { MIN_SHARE } else { 0.0 });
    regions.iter_mut().zip(floored).for_each(|(region, weight)| region.weight = weight);
}

/// Solves for new weights if ready instances, latency or arrival rate have changed enough, and every few
/// checks.
pub(crate) fn solve_weights_if_due(
    regions: &mut [RegionModel],
    last_solution: &mut LastSolution,
    inputs: &WeightInputs,
    load: impl Fn(&RegionModel) -> f64,
    random: &mut Pcg,
) {
    let fits: Vec<_> = regions.iter().map(|region| region.fit(inputs.now)).collect();
    let has_region_changed = |(region, fit): (&RegionModel, &LatencyFit)| {
        has_changed(region.at_last_solve.0, region.ready_instances)
            || has_changed(region.at_last_solve.1, fit.mean)
    };
    last_solution.checks_since += 1;
    let is_due =
        last_solution.checks_since >= CHECKS_PER_SOLVE || has_changed(last_solution.rate, inputs.rate);
    if !is_due && !regions.iter().zip(&fits).any(has_region_changed) {
        return;
    }
    *last_solution = LastSolution { rate: inputs.rate, checks_since: 0 };
    // Leaving the region has no cost here, since `crate::locality` decides which requests stay.
    let target = |(index, region): (usize, &RegionModel)| Target {
        ready_servers: region.ready_instances,
        load_per_server: load(region) / region.ready_instances.max(1.0),
        fit: fits[index],
        crossing_cost: 0.0,
    };
    let targets: Vec<Target> = regions.iter().enumerate().map(target).collect();
    let weights: Vec<f64> = regions.iter().map(|region| region.weight).collect();
    let solved_weights = solve(random, &targets, &weights, inputs.rate);
    for (region, fit) in regions.iter_mut().zip(&fits) {
        region.at_last_solve = (region.ready_instances, fit.mean);
    }
    regions
        .iter_mut()
        .zip(solved_weights.into_iter().flatten())
        .for_each(|(region, weight)| region.weight_per_instance = weight);
}

fn has_changed(old: f64, new: f64) -> bool {
    (new - old).abs() > RELATIVE_CHANGE_THRESHOLD * old
}
