//! Weights between zones or regions by predicted latency: a few random shifts of weight are tried and the best kept.
//!
//! Both the balancer in service and the router of the serving system solve their weights here. Latency is taken to rise
//! with load, as a + b times the load of each ready server (`docs/design.md`).

use crate::pcg::Pcg;
use crate::samples::LatencyFit;
use crate::search::{SearchSettings, minimize_cost};

/// The least part of the traffic that a target with ready servers keeps, so that its latency stays known.
pub const MIN_SHARE: f64 = 0.02;
/// The least slope of a latency fit, as a part of the slope of a line through the origin.
pub(crate) const MIN_SLOPE_RATIO: f64 = 0.1;
const MOVES: SearchSettings = SearchSettings { attempts: 10, max_step: 0.1, min_share: MIN_SHARE };

/// A zone or a region that weight is given to.
pub struct Target {
    /// Its ready servers.
    pub ready_servers: f64,
    /// The load on each, in requests a second.
    pub load_per_server: f64,
    /// Its latency against the load for each ready server.
    pub fit: LatencyFit,
    /// What going there costs, in the unit of the latencies.
    pub crossing_cost: f64,
}

/// Tries a few shifts of weight between two targets and keeps the one with the lowest predicted latency: each target's
/// weight for a ready server. `rate` is all that the weights divide, in requests a second. None where there is nothing to
/// choose, or nothing known.
pub fn solve(random: &mut Pcg, targets: &[Target], weights: &[f64], rate: f64) -> Option<Vec<f64>> {
    let open: Vec<usize> = (0..targets.len()).filter(|&target| targets[target].ready_servers > 0.0).collect();
    let known: f64 = targets.iter().map(|target| target.fit.weight).sum();
    if open.len() < 2 || known <= 0.0 {
        return None;
    }
    // A fit whose samples have aged away leans on the others' mean.
    let mean_base = targets.iter().map(|target| target.fit.weight * target.fit.base).sum::<f64>() / known;
    let mean_slope = targets.iter().map(|target| target.fit.weight * target.fit.slope).sum::<f64>() / known;
    let predict = |shares: &[f64]| -> f64 {
        let latency = |&index: &usize| {
            let Target { ready_servers: ready, load_per_server: load, fit, crossing_cost: crossing } =
                &targets[index];
            let load = load + (shares[index] - weights[index]) * rate / ready;
            let trust = fit.weight.min(1.0);
            let base = trust * fit.base + (1.0 - trust) * mean_base;
            let slope = trust * fit.slope + (1.0 - trust) * mean_slope;
            shares[index] * (base + slope * load.max(0.0) + crossing)
        };
        open.iter().map(latency).sum()
    };
    let best = minimize_cost(random, weights, &open, &MOVES, predict);
    let all: f64 = targets.iter().map(|target| target.ready_servers).sum();
    let per_ready = |(target, weight): (&Target, f64)| {
        if target.ready_servers > 0.0 { weight * all / target.ready_servers } else { 1.0 }
    };
    Some(targets.iter().zip(best).map(per_ready).collect())
}
