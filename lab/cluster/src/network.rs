//! Links between nodes: delay, loss, repetition and cuts in one direction or both.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use whinspindle::pcg::Pcg;

/// How a message travels where nothing is wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkTiming {
    /// Milliseconds one way.
    pub shortest: u64,
    pub longest: u64,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that arrive twice.
    pub repetition: f64,
    /// Share of the messages into a cut that arrive once it is healed; the others are lost.
    pub held_by_cut: f64,
}

impl Default for NetworkTiming {
    fn default() -> Self {
        NetworkTiming { shortest: 1, longest: 10, loss: 0.0, repetition: 0.0, held_by_cut: 0.5 }
    }
}

/// A direction of a link.
type Link = (SocketAddr, SocketAddr);

/// All links.
#[derive(Debug)]
pub struct Network<M> {
    pub timing: NetworkTiming,
    cuts: BTreeSet<Link>,
    held: BTreeMap<Link, Vec<M>>,
}

impl<M: Clone> Network<M> {
    pub fn new(timing: NetworkTiming) -> Self {
        Network { timing, cuts: BTreeSet::new(), held: BTreeMap::new() }
    }

    pub fn cut(&mut self, from: SocketAddr, to: SocketAddr) {
        self.cuts.insert((from, to));
    }

    pub fn is_cut(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.cuts.contains(&(from, to))
    }

    pub fn cut_links(&self) -> Vec<Link> {
        self.cuts.iter().copied().collect()
    }

    /// Heals one direction; returns the delays and messages that now come through.
    pub fn heal(&mut self, chance: &mut Pcg, from: SocketAddr, to: SocketAddr) -> Vec<(u64, M)> {
        self.cuts.remove(&(from, to));
        let held = self.held.remove(&(from, to)).unwrap_or_default();
        held.into_iter().map(|message| (self.delay(chance), message)).collect()
    }

    /// The sender has lost its connections: what a cut holds will never arrive.
    pub fn reset(&mut self, sender: SocketAddr) {
        self.held.retain(|(from, _), _| *from != sender);
    }

    /// The delays after which a message arrives: none, one or two.
    pub fn send(&mut self, chance: &mut Pcg, from: SocketAddr, to: SocketAddr, message: &M) -> Vec<u64> {
        if self.is_cut(from, to) {
            if chance.unit() < self.timing.held_by_cut {
                self.held.entry((from, to)).or_default().push(message.clone());
            }
            return Vec::new();
        }
        if chance.unit() < self.timing.loss {
            return Vec::new();
        }
        let copies = if chance.unit() < self.timing.repetition { 2 } else { 1 };
        (0..copies).map(|_| self.delay(chance)).collect()
    }

    fn delay(&self, chance: &mut Pcg) -> u64 {
        let spread = self.timing.longest - self.timing.shortest + 1;
        self.timing.shortest + chance.below(spread as usize) as u64
    }
}
