//! A small seeded generator of chance (SplitMix64).

/// Draws numbers; the same seed brings the same ones.
#[derive(Clone, Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    /// A generator with this seed.
    pub fn new(seed: u64) -> Self {
        Random { state: seed }
    }

    /// Any 64 bits.
    pub fn bits(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// From 0 up to, but not including, 1.
    pub fn fraction(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// An index below `count`; 0 if `count` is 0.
    pub fn index(&mut self, count: usize) -> usize {
        ((self.fraction() * count as f64) as usize).min(count.saturating_sub(1))
    }

    /// Exponentially distributed with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.fraction()).ln()
    }

    /// A whole number around a mean, at least 1 and at most `most`.
    pub fn size(&mut self, mean: f64, most: u64) -> u64 {
        (self.exponential(mean).round() as u64).clamp(1, most)
    }
}
