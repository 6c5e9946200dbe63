//! A permuted congruential generator, PCG-XSH-RR 64/32 (M. E. O'Neill, "PCG: A Family of Simple Fast Space-Efficient
//! Statistically Good Algorithms for Random Number Generation", 2014): the only source of random numbers.

/// The generator's state. The same seed draws the same numbers on every machine.
pub struct Pcg(u64);

impl Pcg {
    const STEP: u64 = 6_364_136_223_846_793_005;
    const ODD: u64 = 1_442_695_040_888_963_407;

    /// A generator that starts from this seed.
    pub fn new(seed: u64) -> Self {
        let mut pcg = Pcg(seed.wrapping_add(Self::ODD));
        pcg.bits();
        pcg
    }

    fn bits(&mut self) -> u32 {
        let old = self.0;
        self.0 = old.wrapping_mul(Self::STEP).wrapping_add(Self::ODD);
        ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32)
    }

    /// A number from 0 up to but without 1.
    pub fn next_f64(&mut self) -> f64 {
        f64::from(self.bits()) / 4_294_967_296.0
    }

    /// A whole number below `n`; 0 if `n` is 0.
    pub fn next_below(&mut self, n: usize) -> usize {
        ((u64::from(self.bits()) * n as u64) >> 32) as usize
    }

    /// An index in proportion to its weight; none where no weight is positive.
    pub fn pick_weighted(&mut self, weights: &[f64]) -> Option<usize> {
        let mut at = self.next_f64() * weights.iter().sum::<f64>();
        let last = weights.iter().rposition(|&weight| weight > 0.0)?;
        let passed = |weight: &f64| {
            at -= weight;
            at < 0.0
        };
        Some(weights.iter().position(passed).unwrap_or(last))
    }
}
