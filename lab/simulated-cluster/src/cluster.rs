//! The event loop: nodes with their processes, and their events in the order of the simulated time.

use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use whinspindle::pcg::Pcg;

use crate::disk::{Disk, DiskTiming, WriteResult};
use crate::network::{Network, NetworkTiming};
use crate::process::{Effect, Event, Process, Start};

/// The interval between two ticks of a process, in milliseconds.
const TICK_INTERVAL_MS: u64 = 50;
/// The time at which a simulation starts. The clock of a process does not start at zero.
const START_MS: u64 = 1_000;

/// Creates a process at its start.
type Starter<P> = Box<dyn FnMut(Start) -> (P, Vec<Effect<P>>)>;

/// An output of a process to the outside of the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedAnswer<T> {
    /// The time of the output.
    pub at: u64,
    /// The address of the node.
    pub endpoint: SocketAddr,
    /// The output.
    pub answer: T,
}

struct Node<P> {
    process: Option<P>,
    disk: Disk,
    /// The number of starts. Events for an earlier incarnation are dropped.
    incarnation: u64,
    has_run: bool,
    is_initial: bool,
    paused_until: u64,
}

enum NodeEvent<P: Process> {
    Tick,
    Message { from: SocketAddr, message: P::Message },
    Command { command: P::Command },
    WriteComplete { token: u64 },
}

struct Scheduled<P: Process> {
    at: u64,
    order: u64,
    endpoint: SocketAddr,
    /// The incarnation of the process that the event is for, or none for any incarnation.
    incarnation: Option<u64>,
    event: NodeEvent<P>,
}

impl<P: Process> PartialEq for Scheduled<P> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<P: Process> Eq for Scheduled<P> {}

impl<P: Process> PartialOrd for Scheduled<P> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<P: Process> Ord for Scheduled<P> {
    /// Reversed, because the heap returns the greatest element first.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Nodes on a simulated network.
pub struct Cluster<P: Process> {
    now: u64,
    order: u64,
    random: Pcg,
    nodes: BTreeMap<SocketAddr, Node<P>>,
    network: Network<P::Message>,
    disk_timing: DiskTiming,
    queue: BinaryHeap<Scheduled<P>>,
    starter: Starter<P>,
    answers: Vec<TimedAnswer<P::Answer>>,
}

impl<P: Process> Cluster<P> {
    /// Creates a cluster without nodes. `starter` creates a process and returns its first effects.
    pub fn new(
        seed: u64,
        network: NetworkTiming,
        disk_timing: DiskTiming,
        starter: impl FnMut(Start) -> (P, Vec<Effect<P>>) + 'static,
    ) -> Self {
        Cluster {
            now: START_MS,
            order: 0,
            random: Pcg::new(seed),
            nodes: BTreeMap::new(),
            network: Network::new(network),
            disk_timing,
            queue: BinaryHeap::new(),
            starter: Box::new(starter),
            answers: Vec::new(),
        }
    }

    /// The current time.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// The links between the nodes.
    pub fn network(&mut self) -> &mut Network<P::Message> {
        &mut self.network
    }

    /// The addresses of all nodes.
    pub fn endpoints(&self) -> Vec<SocketAddr> {
        self.nodes.keys().copied().collect()
    }

    /// The process of a node, if it is running.
    pub fn process(&self, endpoint: SocketAddr) -> Option<&P> {
        self.nodes.get(&endpoint)?.process.as_ref()
    }

    /// The process of a node, to pass inputs to it outside of the event loop.
    pub fn process_mut(&mut self, endpoint: SocketAddr) -> Option<&mut P> {
        self.nodes.get_mut(&endpoint)?.process.as_mut()
    }

    /// Whether the process of a node is running.
    pub fn is_running(&self, endpoint: SocketAddr) -> bool {
        self.process(endpoint).is_some()
    }

    /// The disk of a node.
    pub fn disk(&mut self, endpoint: SocketAddr) -> Option<&mut Disk> {
        self.nodes.get_mut(&endpoint).map(|node| &mut node.disk)
    }

    /// Adds a node with an empty disk. Its process is not started.
    pub fn add(&mut self, endpoint: SocketAddr, is_initial: bool) {
        let node = Node {
            process: None,
            disk: Disk::default(),
            incarnation: 0,
            has_run: false,
            is_initial,
            paused_until: 0,
        };
        self.nodes.insert(endpoint, node);
    }

    /// Starts the process of a node, unless it is running.
    pub fn start(&mut self, endpoint: SocketAddr) {
        let random_number = self.draw_number();
        let nodes = self.endpoints();
        let Some(node) = self.nodes.get_mut(&endpoint).filter(|node| node.process.is_none()) else { return };
        let is_bootstrap = node.is_initial && !node.has_run;
        node.has_run = true;
        node.incarnation += 1;
        node.paused_until = 0;
        let recovered = node.disk.recover();
        let start = Start { endpoint, now: self.now, random_number, is_bootstrap, nodes, recovered };
        let (process, effects) = (self.starter)(start);
        node.process = Some(process);
        let incarnation = node.incarnation;
        self.perform(endpoint, effects);
        let phase = self.random.next_below(TICK_INTERVAL_MS as usize) as u64;
        self.schedule(phase, endpoint, Some(incarnation), NodeEvent::Tick);
    }

    fn draw_number(&mut self) -> u64 {
        let half = |random: &mut Pcg| random.next_below(1 << 31) as u64;
        half(&mut self.random) << 31 | half(&mut self.random) | 1 << 62
    }

    /// Kills the process of a node, as by a signal or a loss of power. Pending writes are lost or partial.
    pub fn stop(&mut self, endpoint: SocketAddr) {
        self.network.reset(endpoint);
        let Some(node) = self.nodes.get_mut(&endpoint) else { return };
        node.process = None;
        node.disk.interrupt(&mut self.random);
    }

    /// Empties the disk of a node that is not running.
    pub fn wipe(&mut self, endpoint: SocketAddr) {
        if let Some(node) = self.nodes.get_mut(&endpoint).filter(|node| node.process.is_none()) {
            node.disk.wipe();
        }
    }

    /// Removes a node permanently.
    pub fn remove(&mut self, endpoint: SocketAddr) {
        self.stop(endpoint);
        self.nodes.remove(&endpoint);
    }

    /// Pauses the process of a node. Its events are handled at the time `until`.
    pub fn freeze(&mut self, endpoint: SocketAddr, until: u64) {
        if let Some(node) = self.nodes.get_mut(&endpoint) {
            node.paused_until = until;
        }
    }

    /// Cuts one direction of the link between two nodes.
    pub fn cut(&mut self, from: SocketAddr, to: SocketAddr) {
        self.network.cut(from, to);
    }

    /// Heals one direction of the link between two nodes, and delivers the held messages.
    pub fn heal(&mut self, from: SocketAddr, to: SocketAddr) {
        for (delay, message) in self.network.heal(&mut self.random, from, to) {
            self.schedule(delay, to, None, NodeEvent::Message { from, message });
        }
    }

    /// Heals all links.
    pub fn heal_all(&mut self) {
        for (from, to) in self.network.cut_links() {
            self.heal(from, to);
        }
    }

    /// Passes a command to the process of a node at once. Returns false if it is not running or paused.
    pub fn command(&mut self, endpoint: SocketAddr, command: P::Command) -> bool {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&endpoint) else { return false };
        let Some(process) = node.process.as_mut().filter(|_| node.paused_until <= now) else { return false };
        let effects = process.handle(now, Event::Command(command));
        self.perform(endpoint, effects);
        true
    }

    /// Sends a command over a connection: a paused process reads it when it resumes. Returns false if the process
    /// is not running.
    pub fn send_command(&mut self, endpoint: SocketAddr, command: P::Command) -> bool {
        let now = self.now;
        let Some(node) = self.nodes.get(&endpoint).filter(|node| node.process.is_some()) else {
            return false;
        };
        if node.paused_until <= now {
            return self.command(endpoint, command);
        }
        let (delay, incarnation) = (node.paused_until - now, node.incarnation);
        self.schedule(delay, endpoint, Some(incarnation), NodeEvent::Command { command });
        true
    }

    /// Advances the time and handles all events up to the time `until`. Returns the outputs of the processes.
    pub fn run_until(&mut self, until: u64) -> Vec<TimedAnswer<P::Answer>> {
        while self.queue.peek().is_some_and(|next| next.at <= until) {
            let Some(next) = self.queue.pop() else { break };
            self.now = next.at;
            self.dispatch(next);
        }
        self.now = self.now.max(until);
        std::mem::take(&mut self.answers)
    }

    /// Passes an event to its process, or postpones it while the process is paused.
    fn dispatch(&mut self, scheduled: Scheduled<P>) {
        let Scheduled { endpoint, incarnation, event, .. } = scheduled;
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&endpoint) else { return };
        if incarnation.is_some_and(|incarnation| incarnation != node.incarnation) || node.process.is_none() {
            return;
        }
        if node.paused_until > now {
            let delay = node.paused_until - now;
            self.schedule(delay, endpoint, incarnation, event);
            return;
        }
        let event = match event {
            NodeEvent::Tick => {
                self.schedule(TICK_INTERVAL_MS, endpoint, incarnation, NodeEvent::Tick);
                Event::Tick
            }
            NodeEvent::Message { from, message } => Event::Message { from, message },
            NodeEvent::Command { command } => Event::Command(command),
            NodeEvent::WriteComplete { token } => match node.disk.complete(now, &mut self.random, token) {
                Some(WriteResult::Durable) => Event::Persisted { token },
                Some(WriteResult::Failed) => Event::PersistFailed { token },
                None => return,
            },
        };
        let Some(process) = self.nodes.get_mut(&endpoint).and_then(|node| node.process.as_mut()) else {
            return;
        };
        let effects = process.handle(now, event);
        self.perform(endpoint, effects);
    }

    fn perform(&mut self, endpoint: SocketAddr, effects: Vec<Effect<P>>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(endpoint, to, message),
                Effect::Append { token, records } => {
                    self.write(endpoint, token, |disk, now, timing| disk.append(now, timing, token, records));
                }
                Effect::Checkpoint { token, state } => {
                    self.write(endpoint, token, |disk, now, timing| {
                        disk.checkpoint(now, timing, token, state)
                    });
                }
                Effect::Answer(answer) => {
                    self.answers.push(TimedAnswer { at: self.now, endpoint, answer });
                }
            }
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: P::Message) {
        let bytes = P::message_bytes(&message);
        for delay in self.network.send(self.now, &mut self.random, (from, to), &message, bytes) {
            let message = message.clone();
            self.schedule(delay, to, None, NodeEvent::Message { from, message });
        }
    }

    fn write(
        &mut self,
        endpoint: SocketAddr,
        token: u64,
        start: impl FnOnce(&mut Disk, u64, DiskTiming) -> u64,
    ) {
        let (now, timing) = (self.now, self.disk_timing);
        let Some(node) = self.nodes.get_mut(&endpoint) else { return };
        let completes_at = start(&mut node.disk, now, timing);
        let incarnation = node.incarnation;
        self.schedule(completes_at - now, endpoint, Some(incarnation), NodeEvent::WriteComplete { token });
    }

    fn schedule(&mut self, delay: u64, endpoint: SocketAddr, incarnation: Option<u64>, event: NodeEvent<P>) {
        self.order += 1;
        let at = self.now + delay;
        self.queue.push(Scheduled { at, order: self.order, endpoint, incarnation, event });
    }
}
