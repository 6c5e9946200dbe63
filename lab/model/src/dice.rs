//! Chance. Each concern has a stream of its own, so that what one draws does not move another's: the same
//! seed brings the same queries whatever the balancers do with them.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Gamma};
use rand_pcg::Pcg64Mcg;

/// What a stream of chance is for.
#[derive(Clone, Copy, Debug)]
pub enum Concern {
    Arrivals(usize),
    Machine(usize),
    Network,
    Discovery,
    Clients,
    Balancer(usize),
    Hunt,
    Policy(usize),
}

impl Concern {
    fn stream(self) -> (u64, u64) {
        match self {
            Concern::Arrivals(n) => (1, n as u64),
            Concern::Machine(n) => (2, n as u64),
            Concern::Network => (3, 0),
            Concern::Discovery => (4, 0),
            Concern::Clients => (5, 0),
            Concern::Balancer(n) => (6, n as u64),
            Concern::Hunt => (7, 0),
            Concern::Policy(n) => (8, n as u64),
        }
    }
}

pub struct Dice(Pcg64Mcg);

impl Dice {
    pub fn new(seed: u64, concern: Concern) -> Self {
        let (kind, number) = concern.stream();
        // A multiplicative generator needs streams far apart; mixing the three words does it.
        let mut state = seed ^ 0x9e37_79b9_7f4a_7c15;
        for word in [kind, number] {
            state = (state ^ word.wrapping_mul(0xff51_afd7_ed55_8ccd)).rotate_left(29);
            state = state.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
            state ^= state >> 32;
        }
        Dice(Pcg64Mcg::seed_from_u64(state))
    }

    /// From 0 up to but without 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    pub fn below(&mut self, n: usize) -> usize {
        if n == 0 { 0 } else { self.0.random_range(0..n) }
    }

    pub fn bits(&mut self) -> u64 {
        self.0.random()
    }

    pub fn chance(&mut self, part: f64) -> bool {
        part > 0.0 && self.unit() < part
    }

    pub fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.unit()).ln() * mean
    }

    /// Gamma with this mean and relative deviation: constant at 0, exponential at 1.
    pub fn varied(&mut self, mean: f64, varies: f64) -> f64 {
        if varies <= 0.0 {
            return mean;
        }
        let shape = 1.0 / (varies * varies);
        Gamma::new(shape, mean / shape).map_or(mean, |gamma| gamma.sample(&mut self.0))
    }

    /// A time with a part of it drawn anew.
    pub fn spread(&mut self, time: u64, part: f64) -> u64 {
        let fixed = time as f64 * (1.0 - part);
        (fixed + 2.0 * part * time as f64 * self.unit()) as u64
    }
}
