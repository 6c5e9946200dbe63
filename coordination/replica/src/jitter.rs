//! Deterministic jitter: the same seed always yields the same delays.

/// A pseudorandom generator (G. Marsaglia, "Xorshift RNGs", 2003).
#[derive(Clone, Debug)]
pub struct Jitter(u64);

impl Jitter {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Jitter {
        // An xorshift generator with state 0 returns only zeros.
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
