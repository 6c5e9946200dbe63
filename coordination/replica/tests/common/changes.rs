//! A stream of large changes that doesn't stop, and what must hold at every moment of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use whinspindle_lab_simulated_cluster::{Cluster, DiskTiming, NetworkTiming, Occurrence};
use whinspindle_replica::{StandardRules, View};

use super::node::{
    CONFIGURATION, ClientAnswer, Command, KEPT_CHANGES, KEPT_DRAINED, Node, Sent, cluster_with_disks,
    endpoint, newest_change, remembers_change,
};

/// Between two looks at all replicas, in milliseconds.
const LOOK: u64 = 10;
/// Commands that are under way at once while the kept records are filled.
const BATCH: usize = 64;

/// How a stream of changes is played.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Between two changes, in milliseconds.
    pub interval: u64,
    pub body_bytes: usize,
    pub network: NetworkTiming,
    pub disks: DiskTiming,
}

/// A cluster under changes, with an observer of every view and every acknowledgement.
pub struct Changes {
    pub cluster: Cluster<Node<StandardRules>>,
    load: Load,
    /// Replicas that callers don't use.
    pub avoided: Vec<SocketAddr>,
    next_change: u64,
    next_ticket: u64,
    next_due: u64,
    waiting: BTreeMap<u64, u64>,
    /// The newest acknowledged change, and the newest position in the history that an answer told.
    pub acknowledged: u64,
    pub answered_sequence: u64,
    pub acknowledgements: usize,
    /// When the last change was acknowledged, and the longest time between two.
    last_at: u64,
    pub longest_pause: u64,
    newest_view: View,
    pub views: usize,
}

impl Changes {
    /// A cluster in which the kept records of all kinds have rolled over already.
    pub fn rolled_over(seed: u64, count: usize, tolerated_losses: usize, load: Load) -> Changes {
        let mut changes = Changes::new(seed, count, tolerated_losses, load);
        changes.pass(1_500);
        for first in (0..KEPT_DRAINED + BATCH).step_by(BATCH) {
            let commands = (first..first + BATCH).map(|number| format!("drain instance-{number}"));
            changes.submit_all(commands.collect());
        }
        for first in (0..KEPT_CHANGES + BATCH).step_by(BATCH) {
            let commands = (first..first + BATCH).map(|number| format!("change {} small", number + 1));
            changes.submit_all(commands.collect());
        }
        changes.next_change = (KEPT_CHANGES + 2 * BATCH) as u64;
        changes
    }

    pub fn new(seed: u64, count: usize, tolerated_losses: usize, load: Load) -> Changes {
        let cluster = cluster_with_disks(seed, count, tolerated_losses, load.network, load.disks);
        Changes {
            cluster,
            load,
            avoided: Vec::new(),
            next_change: 1,
            next_ticket: 0,
            next_due: 0,
            waiting: BTreeMap::new(),
            acknowledged: 0,
            answered_sequence: 0,
            acknowledgements: 0,
            last_at: 0,
            longest_pause: 0,
            newest_view: View::default(),
            views: 0,
        }
    }

    fn submit_all(&mut self, commands: Vec<String>) {
        for command in commands {
            self.next_ticket += 1;
            let ticket = self.next_ticket;
            self.cluster.command(endpoint(0), Command::Submit { ticket, command });
        }
        self.pass(200);
    }

    /// Lets time pass without changes.
    pub fn pass(&mut self, span: u64) {
        let until = self.cluster.now() + span;
        while self.cluster.now() < until {
            let next = (self.cluster.now() + LOOK).min(until);
            let told = self.cluster.run_until(next);
            self.look(told);
        }
    }

    /// Lets time pass under changes.
    pub fn run(&mut self, span: u64) {
        let until = self.cluster.now() + span;
        self.next_due = self.next_due.max(self.cluster.now());
        self.last_at = self.cluster.now();
        while self.cluster.now() < until {
            if self.next_due <= self.cluster.now() {
                self.change();
                self.next_due += self.load.interval;
            }
            self.pass(LOOK);
        }
    }

    /// Lets time pass under changes until something holds; returns how long that took.
    pub fn run_until(&mut self, longest: u64, holds: impl Fn(&Changes) -> bool) -> Result<u64, String> {
        let begun = self.cluster.now();
        while !holds(self) {
            if self.cluster.now() >= begun + longest {
                return Err(format!("not within {longest} ms:\n{}", self.describe()));
            }
            self.run(LOOK);
        }
        Ok(self.cluster.now() - begun)
    }

    /// So many changes come at once.
    pub fn burst(&mut self, count: usize) {
        for _ in 0..count {
            self.change();
        }
    }

    /// Sends the next change to the next replica in turn.
    fn change(&mut self) {
        let used = |at: &SocketAddr| self.cluster.is_running(*at) && !self.avoided.contains(at);
        let used: Vec<SocketAddr> = self.cluster.endpoints().into_iter().filter(used).collect();
        if used.is_empty() {
            return;
        }
        let number = self.next_change;
        self.next_change += 1;
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let command = format!("change {number} {}", self.body(number));
        let at = used[number as usize % used.len()];
        if self.cluster.command(at, Command::Submit { ticket, command }) {
            self.waiting.insert(ticket, number);
        }
    }

    fn body(&self, number: u64) -> String {
        let word = format!("route-{number};");
        word.repeat(self.load.body_bytes / word.len() + 1)
    }

    fn look(&mut self, told: Vec<Occurrence<ClientAnswer>>) {
        for occurrence in told {
            self.note(occurrence);
        }
        let running: Vec<SocketAddr> = self.cluster.endpoints();
        for at in running {
            let Some(node) = self.cluster.process(at) else { continue };
            let view = node.replica.view();
            if view.number > self.newest_view.number {
                self.newest_view = view.clone();
                self.views += 1;
            }
        }
        self.check_head();
    }

    fn note(&mut self, occurrence: Occurrence<ClientAnswer>) {
        let ClientAnswer { ticket, result } = occurrence.answer;
        let Ok(reply) = result else { return };
        self.answered_sequence = self.answered_sequence.max(reply.sequence);
        let Some(number) = self.waiting.remove(&ticket) else { return };
        if reply.answer == b"done" {
            self.acknowledged = self.acknowledged.max(number);
            self.acknowledgements += 1;
            self.longest_pause = self.longest_pause.max(occurrence.at.saturating_sub(self.last_at));
            self.last_at = occurrence.at;
        }
    }

    /// The head of the newest view has everything that was ever answered.
    fn check_head(&self) {
        let view = &self.newest_view;
        let Some(head) = view.head().and_then(|head| view.endpoint(head)) else { return };
        let Some(node) = self.cluster.process(head) else { return };
        if node.replica.view().number == view.number {
            let newest = node.replica.newest_sequence();
            assert!(
                newest >= self.answered_sequence,
                "the head of view {} has {newest}, {} was answered\n{}",
                view.number,
                self.answered_sequence,
                self.describe()
            );
        }
    }

    /// Whether a replica is in the chain of the newest view and has all that was acknowledged.
    pub fn is_caught_up(&self, at: SocketAddr) -> bool {
        let Some(node) = self.cluster.process(at) else { return false };
        let view = node.replica.view();
        let member = view.member_at(at).and_then(|member| view.chain_position(member.voter));
        member.is_some()
            && view.number == self.newest_view.number
            && node.replica.is_in_quorum(self.cluster.now())
            && newest_change(node.replica.committed_records()) >= self.acknowledged
    }

    /// The replicas that are no members of the chain of the newest view.
    pub fn outside_of_the_chain(&self) -> Vec<SocketAddr> {
        let view = &self.newest_view;
        let is_inside = |at: &SocketAddr| {
            view.member_at(*at).is_some_and(|member| view.chain_position(member.voter).is_some())
        };
        self.cluster.endpoints().into_iter().filter(|at| !is_inside(at)).collect()
    }

    /// How many committed commands a replica lacks that another has.
    pub fn lag(&self, at: SocketAddr) -> u64 {
        let committed =
            |at: SocketAddr| self.cluster.process(at).map_or(0, |node| node.replica.committed_sequence());
        let most = self.cluster.endpoints().into_iter().map(committed).max().unwrap_or(0);
        most - committed(at)
    }

    /// Whether a replica, in the chain or not, has all that was acknowledged.
    pub fn follows(&self, at: SocketAddr) -> bool {
        let Some(node) = self.cluster.process(at) else { return false };
        newest_change(node.replica.committed_records()) >= self.acknowledged
    }

    /// Nothing that was acknowledged is lost, and what replaced it is whole.
    pub fn check_nothing_lost(&self) {
        for at in self.cluster.endpoints() {
            let node = self.cluster.process(at).expect("all run");
            let records = node.replica.committed_records();
            let newest = newest_change(records);
            assert!(newest >= self.acknowledged, "{at} has {newest} of {}", self.acknowledged);
            assert!(remembers_change(records, self.acknowledged) || self.acknowledged == 0);
            let body = records.get(CONFIGURATION).map(|record| record.value.to_vec()).unwrap_or_default();
            assert_eq!(String::from_utf8_lossy(&body), self.body(newest), "at {at}");
            let other = self.cluster.process(self.cluster.endpoints()[0]).expect("all run");
            assert_eq!(records, other.replica.committed_records(), "{at}");
        }
    }

    pub fn isolate(&mut self, at: SocketAddr) {
        for other in self.cluster.endpoints().into_iter().filter(|other| *other != at) {
            self.cluster.cut(at, other);
            self.cluster.cut(other, at);
        }
    }

    /// All lose power at once, and have it again.
    pub fn lose_all_power(&mut self) {
        for at in self.cluster.endpoints() {
            self.cluster.stop(at);
        }
        self.pass(1_000);
        for at in self.cluster.endpoints() {
            self.cluster.start(at);
        }
    }

    /// What the replicas that run have sent, and how much of it for those that lag.
    pub fn sent(&self) -> Sent {
        let mut sum = Sent::default();
        for at in self.cluster.endpoints() {
            let Some(node) = self.cluster.process(at) else { continue };
            sum.bytes += node.sent.bytes;
            sum.transfers += node.sent.transfers;
            sum.transfer_bytes += node.sent.transfer_bytes;
        }
        sum
    }

    pub fn describe(&self) -> String {
        let now = self.cluster.now();
        let line = |at: SocketAddr| match self.cluster.process(at) {
            Some(node) => {
                format!(
                    "{at}: {} change {}",
                    node.describe(now),
                    newest_change(node.replica.committed_records())
                )
            }
            None => format!("{at}: down"),
        };
        let lines: Vec<String> = self.cluster.endpoints().into_iter().map(line).collect();
        format!("{now}: {} acknowledged\n{}", self.acknowledged, lines.join("\n"))
    }
}
