//! Jitter of delays, from a seed: the same seed yields the same delays.

/// A pseudorandom generator (G. Marsaglia, "Xorshift RNGs", 2003).
#[derive(Clone, Debug)]
pub struct Jitter(u64);

impl Jitter {
    /// A generator with this seed.
    pub fn new(seed: u64) -> Jitter {
        // The generator never leaves state 0, so it must not start there.
        Jitter(seed | 1)
    }

    /// The next number below `bound`, which must not be 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }
}
