//! The network between zones: delay, loss that costs a resend, partitions, and resets of kept connections.

use whinspindle_lab_scenario::Network;

use crate::random::{Concern, RandomGenerator};

/// All links of the network.
pub struct Links {
    network: Network,
    random: RandomGenerator,
    partitions: Vec<(usize, usize)>,
    /// The share of messages that are lost.
    pub loss_rate: f64,
    /// The share of exchanges on kept connections that end in a reset.
    pub reset_rate: f64,
}

/// A message that is lost more often than this in a row does not arrive.
const MAX_RESENDS: u32 = 5;

impl Links {
    /// The network of a scenario without partitions.
    pub fn new(network: &Network, seed: u64) -> Self {
        Links {
            random: RandomGenerator::new(seed, Concern::Network),
            partitions: Vec::new(),
            loss_rate: network.loss,
            reset_rate: network.resets,
            network: network.clone(),
        }
    }

    /// Separates two zones, in both directions.
    pub fn partition(&mut self, a: usize, b: usize) {
        self.partitions.push((a, b));
    }

    /// Ends one partition of two zones.
    pub fn heal(&mut self, a: usize, b: usize) {
        if let Some(index) = self.partitions.iter().position(|pair| *pair == (a, b)) {
            self.partitions.swap_remove(index);
        }
    }

    /// Whether no message passes between two zones.
    pub fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.partitions.contains(&(a, b)) || self.partitions.contains(&(b, a))
    }

    /// How long a message takes; nothing if it never arrives.
    pub fn transit_time(&mut self, a: usize, b: usize) -> Option<u64> {
        let delay = if a == b { self.network.near } else { self.network.far };
        let mut time = self.random.spread(delay, self.network.spread);
        let mut lost = 0;
        while self.loss_rate > 0.0 && self.random.chance(self.loss_rate) {
            lost += 1;
            if lost > MAX_RESENDS {
                return None;
            }
            time += self.network.resend << (lost - 1);
        }
        (!self.is_partitioned(a, b)).then_some(time.max(1))
    }

    /// Whether this exchange on a kept connection ends in a reset.
    pub fn resets_exchange(&mut self) -> bool {
        let part = self.reset_rate;
        self.random.chance(part)
    }
}
