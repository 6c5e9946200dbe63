//! Weighted draws by a low-discrepancy sequence, so that few draws already keep to the weights.
//!
//! With independent random draws, a fraction over some hundred requests is off by several percent. Here each point is the
//! last one plus the golden ratio, modulo 1 (a Kronecker sequence). Only the first point is random, so that balancers do
//! not draw in step.

use whinspindle::pcg::Pcg;

/// The fractional part of the golden ratio: multiples of it are spread most evenly over the unit interval.
const STEP: f64 = 0.618_033_988_749_894_9;

/// One sequence of draws.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EvenDraw {
    /// The last point, in [0, 1).
    point: f64,
}

impl EvenDraw {
    /// A sequence with a random first point.
    pub(crate) fn starting_at_random(random: &mut Pcg) -> Self {
        EvenDraw { point: random.next_f64() }
    }

    /// Draws an index in proportion to its weight; none if no weight is positive.
    pub(crate) fn pick(&mut self, weights: &[f64]) -> Option<usize> {
        self.point = (self.point + STEP).fract();
        let last = weights.iter().rposition(|&weight| weight > 0.0)?;
        let mut left = self.point * weights.iter().sum::<f64>();
        let passed = |weight: &f64| {
            left -= weight;
            left < 0.0
        };
        Some(weights.iter().position(passed).unwrap_or(last).min(last))
    }
}
