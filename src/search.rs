//! A random local search for better shares. The cost, the step and the number of tries are the caller's.

use crate::pcg::Pcg;

/// How often and how far a search moves, and the share that it leaves everywhere.
pub struct SearchSettings {
    /// Shifts that are tried.
    pub attempts: usize,
    /// The largest shift, as a part of 1.
    pub max_step: f64,
    /// The share that is left everywhere.
    pub min_share: f64,
}

/// Tries shifts of a part between two of the open places, two at the least; the shares of the least cost.
pub fn minimize_cost(
    random: &mut Pcg,
    shares: &[f64],
    open: &[usize],
    settings: &SearchSettings,
    cost: impl Fn(&[f64]) -> f64,
) -> Vec<f64> {
    let (mut best, mut least) = (shares.to_vec(), cost(shares));
    for _ in 0..settings.attempts {
        let first = random.next_below(open.len());
        let second = (first + 1 + random.next_below(open.len() - 1)) % open.len();
        let (from, to) = (open[first], open[second]);
        let step =
            (settings.max_step * (1.0 - random.next_f64())).min(shares[from] - settings.min_share).max(0.0);
        let mut shifted = shares.to_vec();
        shifted[from] -= step;
        shifted[to] += step;
        let shifted_cost = cost(&shifted);
        if shifted_cost < least {
            (best, least) = (shifted, shifted_cost);
        }
    }
    best
}
