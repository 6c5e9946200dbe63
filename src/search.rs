//! Random local search for a distribution of shares with minimal cost.

use crate::pcg::Pcg;

/// Parameters of [`minimize_cost`].
pub struct SearchSettings {
    /// Number of shifts to try.
    pub attempts: usize,
    /// Maximum amount of a shift, as a fraction of the whole.
    pub max_step: f64,
    /// Shifts leave each position at least this share.
    pub min_share: f64,
}

/// Tries random shifts between pairs of the `open` indices, of which there must be at least two, and returns
/// the shares with the lowest cost.
pub fn minimize_cost(
    random: &mut Pcg,
    shares: &[f64],
    open: &[usize],
    settings: &SearchSettings,
    cost: impl Fn(&[f64]) -> f64,
) -> Vec<f64> {
    let (mut best, mut best_cost) = (shares.to_vec(), cost(shares));
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
        if shifted_cost < best_cost {
            (best, best_cost) = (shifted, shifted_cost);
        }
    }
    best
}
