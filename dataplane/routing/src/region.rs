//! What is known of a service's instances in one region, and the weights of regions.

use std::collections::VecDeque;

use whinspindle::pcg::Pcg;
use whinspindle::samples::{decayed, push, rising, shares};
use whinspindle::weights::{FLOOR_SHARE, Target, solve};

use crate::rate::RateCounter;

/// The time between two checks of the weights.
pub(crate) const CHECK_MS: u64 = 5_000;
/// Without a change, one check in so many solves all the same.
const SOLVE_EVERY: u32 = 2;
/// A change by this part of the old value counts.
const CHANGE: f64 = 0.2;
const SAMPLES: usize = 64;
/// The least slope of a fit against a line through the origin.
const LEAST_SLOPE: f64 = 0.1;

/// A service's instances in one region.
#[derive(Debug)]
pub(crate) struct RegionModel {
    /// Weight for each ready instance against the other regions'; the region's weight is this times their number.
    each: f64,
    /// When a request was answered, the load for each ready instance then, the latency.
    samples: VecDeque<(u64, f64, f64)>,
    /// Ready instances and latency when the weights were last solved for.
    solved: (f64, f64),
    pub(crate) ready: f64,
    /// Its part of the requests, the floor included.
    pub(crate) share: f64,
    /// Requests a second that all balancers send there, as told.
    pub(crate) told_load: f64,
    pub(crate) sends: RateCounter,
}

impl RegionModel {
    pub(crate) fn new(now: u64) -> Self {
        RegionModel {
            each: 1.0,
            samples: VecDeque::new(),
            solved: (0.0, 0.0),
            ready: 0.0,
            share: 0.0,
            told_load: 0.0,
            sends: RateCounter::new(now),
        }
    }

    pub(crate) fn note_latency(&mut self, now: u64, load_per_ready: f64, latency_ms: f64) {
        push(&mut self.samples, SAMPLES, (now, load_per_ready, latency_ms));
    }

    /// The root of the mean square by which the samples lie beside the fit, in milliseconds.
    pub(crate) fn fit_error(&self, now: u64) -> f64 {
        let (least, slope, _, weight) = self.line(now);
        let square =
            |(weight, load, latency): (f64, f64, f64)| weight * (latency - least - slope * load).powi(2);
        let squares: f64 = decayed(&self.samples, now, 2 * CHECK_MS).map(square).sum();
        if weight > 0.0 { (squares / weight).sqrt() } else { 0.0 }
    }

    /// The fit: latency without load, its slope, the mean latency, the weight of the samples.
    pub(crate) fn line(&self, now: u64) -> (f64, f64, f64, f64) {
        rising(decayed(&self.samples, now, 2 * CHECK_MS), LEAST_SLOPE)
    }
}

/// What the weights were last solved for.
#[derive(Debug, Default)]
pub(crate) struct Solved {
    rate: f64,
    checks_since: u32,
}

/// What a check of the weights needs besides the regions.
pub(crate) struct Conditions {
    pub(crate) now: u64,
    /// Requests a second for the service, of all balancers by this one's own.
    pub(crate) rate: f64,
}

/// Sets each region's share by its weight and its number of ready instances.
pub(crate) fn set_shares(regions: &mut [RegionModel], has_floor: bool) {
    let weights = regions.iter().map(|region| region.each * region.ready).collect();
    let floored = shares(weights, if has_floor { FLOOR_SHARE } else { 0.0 });
    regions.iter_mut().zip(floored).for_each(|(region, share)| region.share = share);
}

/// Solves for new weights where ready instances, latency or arrivals have changed enough, and every few checks.
pub(crate) fn check(
    regions: &mut [RegionModel],
    solved: &mut Solved,
    conditions: &Conditions,
    load: impl Fn(&RegionModel) -> f64,
    chance: &mut Pcg,
) {
    let lines: Vec<_> = regions.iter().map(|region| region.line(conditions.now)).collect();
    let moved = |(region, line): (&RegionModel, &(f64, f64, f64, f64))| {
        changed(region.solved.0, region.ready) || changed(region.solved.1, line.2)
    };
    solved.checks_since += 1;
    let due = solved.checks_since >= SOLVE_EVERY || changed(solved.rate, conditions.rate);
    if !due && !regions.iter().zip(&lines).any(moved) {
        return;
    }
    *solved = Solved { rate: conditions.rate, checks_since: 0 };
    // No crossing is charged: requests stay in their region by a preference of their own.
    let place = |(index, region): (usize, &RegionModel)| Target {
        ready: region.ready,
        load: load(region) / region.ready.max(1.0),
        line: lines[index],
        crossing: 0.0,
    };
    let places: Vec<Target> = regions.iter().enumerate().map(place).collect();
    let weights: Vec<f64> = regions.iter().map(|region| region.share).collect();
    let better = solve(chance, &places, &weights, conditions.rate);
    for (region, line) in regions.iter_mut().zip(&lines) {
        region.solved = (region.ready, line.2);
    }
    regions.iter_mut().zip(better.into_iter().flatten()).for_each(|(region, each)| region.each = each);
}

fn changed(old: f64, new: f64) -> bool {
    (new - old).abs() > CHANGE * old
}
