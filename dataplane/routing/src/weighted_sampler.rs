//! Weighted sampling by a low-discrepancy sequence, which follows the weights closely after a few draws.
//!
//! With independent random draws, the fractions of a few hundred requests are off by several percent. Here,
//! each point is the previous point plus the golden ratio, modulo 1 (a Kronecker sequence). Only the first
//! point is random, so that balancers draw different sequences.

use whinspindle::pcg::Pcg;

/// Fractional part of the golden ratio; its multiples are spread most evenly over the unit interval.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Draws indexes in proportion to their weights.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WeightedSampler {
    /// Last point of the sequence, in [0, 1).
    point: f64,
}

impl WeightedSampler {
    /// Creates a sampler with a random first point.
    pub(crate) fn with_random_start(random: &mut Pcg) -> Self {
        WeightedSampler { point: random.next_f64() }
    }

    /// Draws an index in proportion to its weight; `None` if no weight is positive.
    pub(crate) fn sample(&mut self, weights: &[f64]) -> Option<usize> {
        self.point = (self.point + GOLDEN_RATIO_FRACTION).fract();
        let last = weights.iter().rposition(|&weight| weight > 0.0)?;
        let mut remaining = self.point * weights.iter().sum::<f64>();
        let contains_point = |weight: &f64| {
            remaining -= weight;
            remaining < 0.0
        };
        Some(weights.iter().position(contains_point).unwrap_or(last).min(last))
    }
}
