//! A permuted congruential generator, PCG-XSH-RR 64/32 (M. E. O'Neill, "PCG: A Family of Simple Fast
//! Space-Efficient Statistically Good Algorithms for Random Number Generation", 2014). All random numbers
//! come from this generator.

/// A random number generator. A seed produces the same numbers on every machine.
pub struct Pcg(u64);

impl Pcg {
    const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
    const INCREMENT: u64 = 1_442_695_040_888_963_407;

    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        let mut pcg = Pcg(seed.wrapping_add(Self::INCREMENT));
        pcg.next_u32();
        pcg
    }

    fn next_u32(&mut self) -> u32 {
        let state = self.0;
        self.0 = state.wrapping_mul(Self::MULTIPLIER).wrapping_add(Self::INCREMENT);
        ((((state >> 18) ^ state) >> 27) as u32).rotate_right((state >> 59) as u32)
    }

    /// A uniform random number in `[0, 1)`.
    pub fn next_f64(&mut self) -> f64 {
        f64::from(self.next_u32()) / 4_294_967_296.0
    }

    /// A uniform random integer below `n`; 0 if `n` is 0.
    pub fn next_below(&mut self, n: usize) -> usize {
        ((u64::from(self.next_u32()) * n as u64) >> 32) as usize
    }

    /// A random index with probability proportional to its weight; `None` if no weight is positive.
    pub fn pick_weighted(&mut self, weights: &[f64]) -> Option<usize> {
        let mut remaining = self.next_f64() * weights.iter().sum::<f64>();
        let last_positive = weights.iter().rposition(|&weight| weight > 0.0)?;
        let is_reached = |weight: &f64| {
            remaining -= weight;
            remaining < 0.0
        };
        Some(weights.iter().position(is_reached).unwrap_or(last_positive))
    }
}
