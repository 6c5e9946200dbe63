//! The event loop: nodes, their processes and all that happens to them, in the order of the simulated time.

use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use whinspindle::pcg::Pcg;

use crate::disk::{Disk, DiskTiming, Written};
use crate::network::{Network, NetworkTiming};
use crate::process::{Effect, Event, Process, Start};

/// Between two ticks of a process, in milliseconds.
const TICK: u64 = 50;

/// Starts a process on a node.
type Starter<P> = Box<dyn FnMut(Start) -> (P, Vec<Effect<P>>)>;

/// Something that a process told its local caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Occurrence<T> {
    pub at: u64,
    pub endpoint: SocketAddr,
    pub answer: T,
}

struct Node<P> {
    process: Option<P>,
    disk: Disk,
    /// Counts starts: what was meant for an earlier process is void.
    life: u64,
    has_run: bool,
    is_founding: bool,
    frozen_until: u64,
}

enum Due<P: Process> {
    Tick,
    Message { from: SocketAddr, message: P::Message },
    Command { command: P::Command },
    Written { token: u64 },
}

struct Scheduled<P: Process> {
    at: u64,
    order: u64,
    endpoint: SocketAddr,
    /// None: for whichever process runs then.
    life: Option<u64>,
    due: Due<P>,
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
    /// The earliest is the greatest, as the heap wants it.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Nodes in a simulated network.
pub struct Cluster<P: Process> {
    now: u64,
    order: u64,
    chance: Pcg,
    nodes: BTreeMap<SocketAddr, Node<P>>,
    network: Network<P::Message>,
    disk_timing: DiskTiming,
    queue: BinaryHeap<Scheduled<P>>,
    starter: Starter<P>,
    answers: Vec<Occurrence<P::Answer>>,
}

impl<P: Process> Cluster<P> {
    pub fn new(
        seed: u64,
        network: NetworkTiming,
        disk_timing: DiskTiming,
        starter: impl FnMut(Start) -> (P, Vec<Effect<P>>) + 'static,
    ) -> Self {
        Cluster {
            // Processes are told the time of a machine that was up before them.
            now: 1_000,
            order: 0,
            chance: Pcg::new(seed),
            nodes: BTreeMap::new(),
            network: Network::new(network),
            disk_timing,
            queue: BinaryHeap::new(),
            starter: Box::new(starter),
            answers: Vec::new(),
        }
    }

    pub fn now(&self) -> u64 {
        self.now
    }

    pub fn network(&mut self) -> &mut Network<P::Message> {
        &mut self.network
    }

    pub fn endpoints(&self) -> Vec<SocketAddr> {
        self.nodes.keys().copied().collect()
    }

    pub fn process(&self, endpoint: SocketAddr) -> Option<&P> {
        self.nodes.get(&endpoint)?.process.as_ref()
    }

    /// The process itself, to be given inputs beside the event loop.
    pub fn process_mut(&mut self, endpoint: SocketAddr) -> Option<&mut P> {
        self.nodes.get_mut(&endpoint)?.process.as_mut()
    }

    pub fn is_running(&self, endpoint: SocketAddr) -> bool {
        self.process(endpoint).is_some()
    }

    pub fn disk(&mut self, endpoint: SocketAddr) -> Option<&mut Disk> {
        self.nodes.get_mut(&endpoint).map(|node| &mut node.disk)
    }

    /// Adds a node with an empty disk; it does not run yet.
    pub fn add(&mut self, endpoint: SocketAddr, is_founding: bool) {
        let node = Node {
            process: None,
            disk: Disk::default(),
            life: 0,
            has_run: false,
            is_founding,
            frozen_until: 0,
        };
        self.nodes.insert(endpoint, node);
    }

    /// Starts a node's process, unless it runs.
    pub fn start(&mut self, endpoint: SocketAddr) {
        let chance = self.draw_number();
        let nodes = self.endpoints();
        let Some(node) = self.nodes.get_mut(&endpoint).filter(|node| node.process.is_none()) else { return };
        let is_founding = node.is_founding && !node.has_run;
        node.has_run = true;
        node.life += 1;
        node.frozen_until = 0;
        let recovered = node.disk.recover();
        let start = Start { endpoint, now: self.now, chance, is_founding, nodes, recovered };
        let (process, effects) = (self.starter)(start);
        node.process = Some(process);
        let life = node.life;
        self.carry_out(endpoint, effects);
        let phase = self.chance.next_below(TICK as usize) as u64;
        self.schedule(phase, endpoint, Some(life), Due::Tick);
    }

    fn draw_number(&mut self) -> u64 {
        let half = |chance: &mut Pcg| chance.next_below(1 << 31) as u64;
        half(&mut self.chance) << 31 | half(&mut self.chance) | 1 << 62
    }

    /// Ends a node's process, by a kill or by a loss of power: both leave what was under way on the disk undecided.
    pub fn stop(&mut self, endpoint: SocketAddr) {
        self.network.reset(endpoint);
        let Some(node) = self.nodes.get_mut(&endpoint) else { return };
        node.process = None;
        node.disk.interrupt(&mut self.chance);
    }

    /// Empties the disk of a node that does not run.
    pub fn wipe(&mut self, endpoint: SocketAddr) {
        if let Some(node) = self.nodes.get_mut(&endpoint).filter(|node| node.process.is_none()) {
            node.disk.wipe();
        }
    }

    /// Takes a node out for good.
    pub fn remove(&mut self, endpoint: SocketAddr) {
        self.stop(endpoint);
        self.nodes.remove(&endpoint);
    }

    /// Nothing happens at the node until then; it is all made up for afterwards.
    pub fn freeze(&mut self, endpoint: SocketAddr, until: u64) {
        if let Some(node) = self.nodes.get_mut(&endpoint) {
            node.frozen_until = until;
        }
    }

    pub fn cut(&mut self, from: SocketAddr, to: SocketAddr) {
        self.network.cut(from, to);
    }

    pub fn heal(&mut self, from: SocketAddr, to: SocketAddr) {
        for (delay, message) in self.network.heal(&mut self.chance, from, to) {
            self.schedule(delay, to, None, Due::Message { from, message });
        }
    }

    pub fn heal_all(&mut self) {
        for (from, to) in self.network.cut_links() {
            self.heal(from, to);
        }
    }

    /// A local caller asks a process, if one runs there. Returns whether it did.
    pub fn command(&mut self, endpoint: SocketAddr, command: P::Command) -> bool {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&endpoint) else { return false };
        let Some(process) = node.process.as_mut().filter(|_| node.frozen_until <= now) else { return false };
        let effects = process.handle(now, Event::Command(command));
        self.carry_out(endpoint, effects);
        true
    }

    /// Like [`Cluster::command`], over a connection: a frozen process reads the command when it wakes.
    pub fn send_command(&mut self, endpoint: SocketAddr, command: P::Command) -> bool {
        let now = self.now;
        let Some(node) = self.nodes.get(&endpoint).filter(|node| node.process.is_some()) else {
            return false;
        };
        if node.frozen_until <= now {
            return self.command(endpoint, command);
        }
        let (delay, life) = (node.frozen_until - now, node.life);
        self.schedule(delay, endpoint, Some(life), Due::Command { command });
        true
    }

    /// Lets time pass up to this moment; returns what processes told their callers.
    pub fn run_until(&mut self, until: u64) -> Vec<Occurrence<P::Answer>> {
        while self.queue.peek().is_some_and(|next| next.at <= until) {
            let Some(next) = self.queue.pop() else { break };
            self.now = next.at;
            self.happen(next);
        }
        self.now = self.now.max(until);
        std::mem::take(&mut self.answers)
    }

    fn happen(&mut self, scheduled: Scheduled<P>) {
        let Scheduled { endpoint, life, due, .. } = scheduled;
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&endpoint) else { return };
        if life.is_some_and(|life| life != node.life) || node.process.is_none() {
            return;
        }
        if node.frozen_until > now {
            let delay = node.frozen_until - now;
            self.schedule(delay, endpoint, life, due);
            return;
        }
        let event = match due {
            Due::Tick => {
                self.schedule(TICK, endpoint, life, Due::Tick);
                Event::Tick
            }
            Due::Message { from, message } => Event::Message { from, message },
            Due::Command { command } => Event::Command(command),
            Due::Written { token } => match node.disk.finish(now, &mut self.chance, token) {
                Some(Written::Done) => Event::Persisted { token },
                Some(Written::Failed) => Event::PersistFailed { token },
                None => return,
            },
        };
        let Some(process) = self.nodes.get_mut(&endpoint).and_then(|node| node.process.as_mut()) else {
            return;
        };
        let effects = process.handle(now, event);
        self.carry_out(endpoint, effects);
    }

    fn carry_out(&mut self, endpoint: SocketAddr, effects: Vec<Effect<P>>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.post(endpoint, to, message),
                Effect::Append { token, records } => {
                    self.write(endpoint, token, |disk, now, timing| disk.append(now, timing, token, records));
                }
                Effect::Checkpoint { token, state } => {
                    self.write(endpoint, token, |disk, now, timing| {
                        disk.checkpoint(now, timing, token, state)
                    });
                }
                Effect::Answer(answer) => {
                    self.answers.push(Occurrence { at: self.now, endpoint, answer });
                }
            }
        }
    }

    fn post(&mut self, from: SocketAddr, to: SocketAddr, message: P::Message) {
        let bytes = P::message_bytes(&message);
        for delay in self.network.send(self.now, &mut self.chance, (from, to), &message, bytes) {
            let message = message.clone();
            self.schedule(delay, to, None, Due::Message { from, message });
        }
    }

    fn write(
        &mut self,
        endpoint: SocketAddr,
        token: u64,
        begin: impl FnOnce(&mut Disk, u64, DiskTiming) -> u64,
    ) {
        let (now, timing) = (self.now, self.disk_timing);
        let Some(node) = self.nodes.get_mut(&endpoint) else { return };
        let done_at = begin(&mut node.disk, now, timing);
        let life = node.life;
        self.schedule(done_at - now, endpoint, Some(life), Due::Written { token });
    }

    fn schedule(&mut self, delay: u64, endpoint: SocketAddr, life: Option<u64>, due: Due<P>) {
        self.order += 1;
        let at = self.now + delay;
        self.queue.push(Scheduled { at, order: self.order, endpoint, life, due });
    }
}
