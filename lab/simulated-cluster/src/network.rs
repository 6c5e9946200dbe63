//! Links between nodes: delays, lost and duplicated messages, and partitions in one or both directions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use whinspindle::pcg::Pcg;

/// The properties of all links.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkTiming {
    /// The minimum delay of a message in one direction, in milliseconds.
    pub min_delay_ms: u64,
    /// The maximum delay of a message in one direction, in milliseconds.
    pub max_delay_ms: u64,
    /// The ratio of messages that are lost.
    pub loss_ratio: f64,
    /// The ratio of messages that are delivered twice.
    pub duplicate_ratio: f64,
    /// The ratio of messages sent into a cut link that are delivered after it is healed. The others are lost.
    pub held_ratio: f64,
    /// The number of bytes that one direction of a link carries in a millisecond. Its messages are then delivered in
    /// order, as over one connection. Without a limit messages do not delay each other.
    pub bytes_per_ms: Option<u64>,
}

impl Default for NetworkTiming {
    fn default() -> Self {
        NetworkTiming {
            min_delay_ms: 1,
            max_delay_ms: 10,
            loss_ratio: 0.0,
            duplicate_ratio: 0.0,
            held_ratio: 0.5,
            bytes_per_ms: None,
        }
    }
}

/// One direction of a link: the sender and the receiver.
type Link = (SocketAddr, SocketAddr);

/// Whether a message is dropped, given its sender, its receiver and its content.
type DropFilter<M> = Box<dyn Fn(SocketAddr, SocketAddr, &M) -> bool>;

/// The queue of a link of limited bandwidth.
#[derive(Clone, Copy, Debug, Default)]
struct LinkQueue {
    /// The time at which the last queued message is completely sent.
    sent_at: u64,
    /// The time at which the last queued message is delivered.
    delivered_at: u64,
}

/// The links between all nodes.
pub struct Network<M> {
    /// The properties of all links. They may be changed at any time.
    pub timing: NetworkTiming,
    cuts: BTreeSet<Link>,
    /// The messages that are delivered once their link is healed.
    held: BTreeMap<Link, Vec<M>>,
    queues: BTreeMap<Link, LinkQueue>,
    drop_filter: Option<DropFilter<M>>,
}

impl<M: Clone> Network<M> {
    /// Creates a network without faults.
    pub fn new(timing: NetworkTiming) -> Self {
        Network {
            timing,
            cuts: BTreeSet::new(),
            held: BTreeMap::new(),
            queues: BTreeMap::new(),
            drop_filter: None,
        }
    }

    /// Drops all messages for which `filter` returns true, given the sender, the receiver and the message.
    pub fn set_drop_filter(&mut self, filter: impl Fn(SocketAddr, SocketAddr, &M) -> bool + 'static) {
        self.drop_filter = Some(Box::new(filter));
    }

    /// Removes the filter of dropped messages.
    pub fn clear_drop_filter(&mut self) {
        self.drop_filter = None;
    }

    /// Cuts one direction of a link.
    pub fn cut(&mut self, from: SocketAddr, to: SocketAddr) {
        self.cuts.insert((from, to));
    }

    /// Whether a direction of a link is cut.
    pub fn is_cut(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// All directions of links that are cut.
    pub fn cut_links(&self) -> Vec<Link> {
        self.cuts.iter().copied().collect()
    }

    /// Heals one direction of a link. Returns the held messages with their delays.
    pub fn heal(&mut self, random: &mut Pcg, from: SocketAddr, to: SocketAddr) -> Vec<(u64, M)> {
        self.cuts.remove(&(from, to));
        let held = self.held.remove(&(from, to)).unwrap_or_default();
        held.into_iter().map(|message| (self.draw_delay(random), message)).collect()
    }

    /// Drops the connections of a node. Its messages that are held by cut links are lost.
    pub fn reset(&mut self, sender: SocketAddr) {
        self.held.retain(|(from, _), _| *from != sender);
        self.queues.retain(|(from, to), _| *from != sender && *to != sender);
    }

    /// Sends a message. Returns the delay of each of its copies; none if it is lost or held.
    pub fn send(
        &mut self,
        now: u64,
        random: &mut Pcg,
        (from, to): Link,
        message: &M,
        bytes: usize,
    ) -> Vec<u64> {
        if self.drop_filter.as_ref().is_some_and(|is_dropped| is_dropped(from, to, message)) {
            return Vec::new();
        }
        if self.is_cut(from, to) {
            if random.next_f64() < self.timing.held_ratio {
                self.held.entry((from, to)).or_default().push(message.clone());
            }
            return Vec::new();
        }
        if random.next_f64() < self.timing.loss_ratio {
            return Vec::new();
        }
        let copies = if random.next_f64() < self.timing.duplicate_ratio { 2 } else { 1 };
        let delays: Vec<u64> = (0..copies).map(|_| self.draw_delay(random)).collect();
        match self.timing.bytes_per_ms {
            None => delays,
            Some(bandwidth) => delays
                .into_iter()
                .map(|delay| self.enqueue(now, (from, to), delay, bytes, bandwidth))
                .collect(),
        }
    }

    /// Queues a message on a link. Returns its total delay.
    fn enqueue(&mut self, now: u64, link: Link, delay: u64, bytes: usize, bandwidth: u64) -> u64 {
        let queue = self.queues.entry(link).or_default();
        queue.sent_at = queue.sent_at.max(now) + bytes as u64 / bandwidth.max(1);
        queue.delivered_at = queue.delivered_at.max(queue.sent_at + delay);
        queue.delivered_at - now
    }

    fn draw_delay(&self, random: &mut Pcg) -> u64 {
        let delay_count = self.timing.max_delay_ms - self.timing.min_delay_ms + 1;
        self.timing.min_delay_ms + random.next_below(delay_count as usize) as u64
    }
}
