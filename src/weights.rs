//! Weights of zones or regions that minimize the predicted latency, found by a random local search.
//!
//! Used by the balancer and by the router of the serving system. Latency is modelled as a linear function of
//! the load per ready server (`docs/design.md`).

use crate::pcg::Pcg;
use crate::samples::LatencyFit;
use crate::search::{SearchSettings, minimize_cost};

/// Minimum share of the traffic for a target with ready servers, so that its latency is still measured.
pub const MIN_SHARE: f64 = 0.02;
/// Minimum slope of a latency fit, as a fraction of the slope of a line through the origin.
pub(crate) const MIN_SLOPE_RATIO: f64 = 0.1;
const SEARCH_SETTINGS: SearchSettings = SearchSettings { attempts: 10, max_step: 0.1, min_share: MIN_SHARE };

/// A zone or region that receives a share of the traffic.
pub struct Target {
    /// Number of ready servers.
    pub ready_servers: f64,
    /// Load per ready server in requests per second.
    pub load_per_server: f64,
    /// Latency as a function of the load per ready server.
    pub fit: LatencyFit,
    /// Cost of sending a request there, in the unit of the latencies.
    pub crossing_cost: f64,
}

/// Searches for weights with a lower predicted latency and returns each target's weight per ready server.
/// `rate` is the total number of requests per second. `None` with fewer than two usable targets or without
/// latency samples.
pub fn solve(random: &mut Pcg, targets: &[Target], weights: &[f64], rate: f64) -> Option<Vec<f64>> {
    let usable: Vec<usize> =
        (0..targets.len()).filter(|&target| targets[target].ready_servers > 0.0).collect();
    let total_fit_weight: f64 = targets.iter().map(|target| target.fit.weight).sum();
    if usable.len() < 2 || total_fit_weight <= 0.0 {
        return None;
    }
    // Fits with little remaining sample weight are blended with the mean of all fits.
    let mean_base =
        targets.iter().map(|target| target.fit.weight * target.fit.base).sum::<f64>() / total_fit_weight;
    let mean_slope =
        targets.iter().map(|target| target.fit.weight * target.fit.slope).sum::<f64>() / total_fit_weight;
    let predict = |shares: &[f64]| -> f64 {
        let latency = |&index: &usize| {
            let Target { ready_servers, load_per_server, fit, crossing_cost } = &targets[index];
            let load = load_per_server + (shares[index] - weights[index]) * rate / ready_servers;
            let confidence = fit.weight.min(1.0);
            let base = confidence * fit.base + (1.0 - confidence) * mean_base;
            let slope = confidence * fit.slope + (1.0 - confidence) * mean_slope;
            shares[index] * (base + slope * load.max(0.0) + crossing_cost)
        };
        usable.iter().map(latency).sum()
    };
    let best = minimize_cost(random, weights, &usable, &SEARCH_SETTINGS, predict);
    let total_ready: f64 = targets.iter().map(|target| target.ready_servers).sum();
    let per_ready = |(target, weight): (&Target, f64)| {
        if target.ready_servers > 0.0 { weight * total_ready / target.ready_servers } else { 1.0 }
    };
    Some(targets.iter().zip(best).map(per_ready).collect())
}
