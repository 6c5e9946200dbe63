//! Draws among weighted parts so that each gets its share of a few draws already, not only of very many.
//!
//! Draws that know nothing of each other leave a share off by several in a hundred when it is counted over some hundred
//! requests. Here the points of one sequence lie evenly (each a golden section further round the circle of all weights)
//! and only its beginning is drawn by chance, so that balancers do not move in step.

use whinspindle::pcg::Pcg;

/// The golden section of the circle: points in steps of it lie most evenly, however many there are.
const STEP: f64 = 0.618_033_988_749_894_9;

/// One sequence of draws.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EvenDraw {
    /// Where on the circle the last draw was, from 0 up to but without 1.
    point: f64,
}

impl EvenDraw {
    /// A sequence that begins anywhere.
    pub(crate) fn beginning_by_chance(chance: &mut Pcg) -> Self {
        EvenDraw { point: chance.unit() }
    }

    /// An index in proportion to its weight; none where no weight is positive.
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
