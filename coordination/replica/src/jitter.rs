//! Jitter from a seed (G. Marsaglia, "Xorshift RNGs", 2003).

#[derive(Clone, Debug)]
pub struct Jitter(u64);

impl Jitter {
    pub fn new(seed: u64) -> Jitter {
        // Any state but 0 will do.
        Jitter(seed | 1)
    }

    /// A number below `bound`, which must not be 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }
}
