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
    /// Bytes that one direction of a link carries in a millisecond, one message after the other and in their order,
    /// as over one connection; without a limit each message travels by itself.
    pub bytes_per_ms: Option<u64>,
}

impl Default for NetworkTiming {
    fn default() -> Self {
        NetworkTiming {
            shortest: 1,
            longest: 10,
            loss: 0.0,
            repetition: 0.0,
            held_by_cut: 0.5,
            bytes_per_ms: None,
        }
    }
}

/// A direction of a link.
type Link = (SocketAddr, SocketAddr);

/// Whether a message is lost, by its sender, its receiver and its content.
type Withhold<M> = Box<dyn Fn(SocketAddr, SocketAddr, &M) -> bool>;

/// What a link of limited width is busy with.
#[derive(Clone, Copy, Debug, Default)]
struct Busy {
    /// When the last message will have left.
    sending_until: u64,
    /// When the last message will have arrived.
    arrived_at: u64,
}

/// All links.
pub struct Network<M> {
    pub timing: NetworkTiming,
    cuts: BTreeSet<Link>,
    held: BTreeMap<Link, Vec<M>>,
    busy: BTreeMap<Link, Busy>,
    withhold: Option<Withhold<M>>,
}

impl<M: Clone> Network<M> {
    pub fn new(timing: NetworkTiming) -> Self {
        Network {
            timing,
            cuts: BTreeSet::new(),
            held: BTreeMap::new(),
            busy: BTreeMap::new(),
            withhold: None,
        }
    }

    /// From now on messages of this choice are lost.
    pub fn withhold(&mut self, choice: impl Fn(SocketAddr, SocketAddr, &M) -> bool + 'static) {
        self.withhold = Some(Box::new(choice));
    }

    /// All messages are carried again.
    pub fn withhold_nothing(&mut self) {
        self.withhold = None;
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
        self.busy.retain(|(from, to), _| *from != sender && *to != sender);
    }

    /// The delays after which a message of this size arrives: none, one or two.
    pub fn send(
        &mut self,
        now: u64,
        chance: &mut Pcg,
        (from, to): Link,
        message: &M,
        bytes: usize,
    ) -> Vec<u64> {
        if self.withhold.as_ref().is_some_and(|is_lost| is_lost(from, to, message)) {
            return Vec::new();
        }
        if self.is_cut(from, to) {
            if chance.next_f64() < self.timing.held_by_cut {
                self.held.entry((from, to)).or_default().push(message.clone());
            }
            return Vec::new();
        }
        if chance.next_f64() < self.timing.loss {
            return Vec::new();
        }
        let copies = if chance.next_f64() < self.timing.repetition { 2 } else { 1 };
        let delays: Vec<u64> = (0..copies).map(|_| self.delay(chance)).collect();
        match self.timing.bytes_per_ms {
            None => delays,
            Some(width) => {
                delays.into_iter().map(|delay| self.queue(now, (from, to), delay, bytes, width)).collect()
            }
        }
    }

    /// The delay of a message behind those that the link is busy with.
    fn queue(&mut self, now: u64, link: Link, delay: u64, bytes: usize, width: u64) -> u64 {
        let busy = self.busy.entry(link).or_default();
        busy.sending_until = busy.sending_until.max(now) + bytes as u64 / width.max(1);
        busy.arrived_at = busy.arrived_at.max(busy.sending_until + delay);
        busy.arrived_at - now
    }

    fn delay(&self, chance: &mut Pcg) -> u64 {
        let spread = self.timing.longest - self.timing.shortest + 1;
        self.timing.shortest + chance.next_below(spread as usize) as u64
    }
}
