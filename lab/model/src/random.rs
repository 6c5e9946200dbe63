//! Seeded random generators.
//!
//! Each concern draws from a stream of its own, so that the draws of one do not move those of another: the same seed
//! brings the same queries whatever the balancers do with them.
//!
//! ```
//! use whinspindle_lab_model::random::{Concern, RandomGenerator};
//!
//! let mut first = RandomGenerator::new(7, Concern::Network);
//! let mut second = RandomGenerator::new(7, Concern::Network);
//! assert_eq!(first.bits(), second.bits());
//! ```

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Gamma};
use rand_pcg::Pcg64Mcg;

/// What a stream of random numbers is for.
#[derive(Clone, Copy, Debug)]
pub enum Concern {
    /// The queries of a load, by its number.
    Arrivals(usize),
    /// A machine, by a number made of its tier and its number there.
    Machine(usize),
    /// Delay, loss and resets.
    Network,
    /// Delays of endpoint lists.
    Discovery,
    /// What clients choose.
    Clients,
    /// A balancer, by its number.
    Balancer(usize),
    /// The search for faulty scenarios.
    Hunt,
    /// The choices of a baseline policy, by the number of its balancer.
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

/// A generator of one stream: the same seed and concern draw the same numbers.
pub struct RandomGenerator(Pcg64Mcg);

impl RandomGenerator {
    /// The generator of a concern.
    pub fn new(seed: u64, concern: Concern) -> Self {
        let (kind, number) = concern.stream();
        // A multiplicative generator needs streams far apart; mixing the three words does it.
        let mut state = seed ^ 0x9e37_79b9_7f4a_7c15;
        for word in [kind, number] {
            state = (state ^ word.wrapping_mul(0xff51_afd7_ed55_8ccd)).rotate_left(29);
            state = state.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
            state ^= state >> 32;
        }
        RandomGenerator(Pcg64Mcg::seed_from_u64(state))
    }

    /// A number from 0 up to, but without, 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// A number below `n`; 0 if `n` is 0.
    pub fn below(&mut self, n: usize) -> usize {
        if n == 0 { 0 } else { self.0.random_range(0..n) }
    }

    /// Any 64 bits.
    pub fn bits(&mut self) -> u64 {
        self.0.random()
    }

    /// Whether an event of this probability happens; nothing is drawn if it is 0.
    pub fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.unit() < probability
    }

    /// Exponentially distributed with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.unit()).ln() * mean
    }

    /// Gamma distributed with this mean and relative deviation: constant at 0, exponential at 1.
    pub fn varied(&mut self, mean: f64, deviation: f64) -> f64 {
        if deviation <= 0.0 {
            return mean;
        }
        let shape = 1.0 / (deviation * deviation);
        Gamma::new(shape, mean / shape).map_or(mean, |gamma| gamma.sample(&mut self.0))
    }

    /// A time with the same mean of which the share `part` is uniformly distributed.
    pub fn spread(&mut self, time: u64, part: f64) -> u64 {
        let fixed = time as f64 * (1.0 - part);
        (fixed + 2.0 * part * time as f64 * self.unit()) as u64
    }
}
