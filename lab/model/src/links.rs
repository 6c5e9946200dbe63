//! The network between zones: delay, loss that costs a resend, cuts in which nothing passes, resets of kept
//! connections.

use whinspindle_lab_scenario::Network;

use crate::dice::{Concern, Dice};

pub struct Links {
    network: Network,
    dice: Dice,
    cuts: Vec<(usize, usize)>,
    pub loss: f64,
    pub resets: f64,
}

/// A message that is lost more often than this in a row does not arrive.
const RESENDS: u32 = 5;

impl Links {
    pub fn new(network: &Network, seed: u64) -> Self {
        Links {
            dice: Dice::new(seed, Concern::Network),
            cuts: Vec::new(),
            loss: network.loss,
            resets: network.resets,
            network: network.clone(),
        }
    }

    pub fn cut(&mut self, a: usize, b: usize) {
        self.cuts.push((a, b));
    }

    pub fn mend(&mut self, a: usize, b: usize) {
        if let Some(at) = self.cuts.iter().position(|cut| *cut == (a, b)) {
            self.cuts.swap_remove(at);
        }
    }

    pub fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains(&(a, b)) || self.cuts.contains(&(b, a))
    }

    /// How long a message takes; none if it never arrives.
    pub fn way(&mut self, a: usize, b: usize) -> Option<u64> {
        let delay = if a == b { self.network.near } else { self.network.far };
        let mut time = self.dice.spread(delay, self.network.spread);
        let mut lost = 0;
        while self.loss > 0.0 && self.dice.chance(self.loss) {
            lost += 1;
            if lost > RESENDS {
                return None;
            }
            time += self.network.resend << (lost - 1);
        }
        (!self.is_cut(a, b)).then_some(time.max(1))
    }

    /// Whether this exchange on a kept connection ends in a reset.
    pub fn breaks(&mut self) -> bool {
        let part = self.resets;
        self.dice.chance(part)
    }
}
