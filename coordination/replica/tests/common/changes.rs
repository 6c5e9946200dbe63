//! A continuous stream of large changes, and the invariants that are checked while it runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use whinspindle_lab_simulated_cluster::{Cluster, DiskTiming, NetworkTiming, TimedAnswer};
use whinspindle_replica::{StandardRules, View};

use super::node::{
    CONFIGURATION, ClientAnswer, Command, KEPT_CHANGES, KEPT_DRAINED, Node, Sent, cluster_with_disks,
    endpoint, newest_change, remembers_change,
};

/// The time between two checks of all replicas.
const CHECK_INTERVAL_MS: u64 = 10;
/// The number of concurrent commands while the kept records are filled.
const BATCH_SIZE: usize = 64;

/// The parameters of a stream of changes.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The time between two changes, in milliseconds.
    pub interval: u64,
    pub body_bytes: usize,
    pub network: NetworkTiming,
    pub disks: DiskTiming,
}

/// A cluster under changes. It tracks every view and every acknowledgement.
pub struct Changes {
    pub cluster: Cluster<Node<StandardRules>>,
    load: Load,
    /// Replicas to which callers send no commands.
    pub avoided: Vec<SocketAddr>,
    next_change: u64,
    next_ticket: u64,
    next_change_at: u64,
    pending: BTreeMap<u64, u64>,
    /// The number of the newest acknowledged change.
    pub acknowledged: u64,
    /// The greatest sequence in an answer.
    pub answered_sequence: u64,
    pub acknowledgements: usize,
    /// The time of the last acknowledgement.
    last_acknowledged_at: u64,
    /// The longest time between two acknowledgements, in milliseconds.
    pub longest_pause: u64,
    newest_view: View,
    /// The number of observed view changes.
    pub views: usize,
}

impl Changes {
    /// A cluster in which the oldest records of both kinds have already been dropped.
    pub fn rolled_over(seed: u64, count: usize, tolerated_losses: usize, load: Load) -> Changes {
        let mut changes = Changes::new(seed, count, tolerated_losses, load);
        changes.pass(1_500);
        for first in (0..KEPT_DRAINED + BATCH_SIZE).step_by(BATCH_SIZE) {
            let commands = (first..first + BATCH_SIZE).map(|number| format!("drain instance-{number}"));
            changes.submit_all(commands.collect());
        }
        for first in (0..KEPT_CHANGES + BATCH_SIZE).step_by(BATCH_SIZE) {
            let commands = (first..first + BATCH_SIZE).map(|number| format!("change {} small", number + 1));
            changes.submit_all(commands.collect());
        }
        changes.next_change = (KEPT_CHANGES + 2 * BATCH_SIZE) as u64;
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
            next_change_at: 0,
            pending: BTreeMap::new(),
            acknowledged: 0,
            answered_sequence: 0,
            acknowledgements: 0,
            last_acknowledged_at: 0,
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

    /// Runs the cluster for `span` milliseconds without new changes.
    pub fn pass(&mut self, span: u64) {
        let until = self.cluster.now() + span;
        while self.cluster.now() < until {
            let next = (self.cluster.now() + CHECK_INTERVAL_MS).min(until);
            let occurrences = self.cluster.run_until(next);
            self.observe(occurrences);
        }
    }

    /// Runs the cluster for `span` milliseconds under changes.
    pub fn run(&mut self, span: u64) {
        let until = self.cluster.now() + span;
        self.next_change_at = self.next_change_at.max(self.cluster.now());
        self.last_acknowledged_at = self.cluster.now();
        while self.cluster.now() < until {
            if self.next_change_at <= self.cluster.now() {
                self.submit_change();
                self.next_change_at += self.load.interval;
            }
            self.pass(CHECK_INTERVAL_MS);
        }
    }

    /// Runs the cluster under changes until a condition holds; returns the time it took, at most about
    /// `longest`.
    pub fn run_until(&mut self, longest: u64, holds: impl Fn(&Changes) -> bool) -> Result<u64, String> {
        let started_at = self.cluster.now();
        while !holds(self) {
            if self.cluster.now() >= started_at + longest {
                return Err(format!("not within {longest} ms:\n{}", self.describe()));
            }
            self.run(CHECK_INTERVAL_MS);
        }
        Ok(self.cluster.now() - started_at)
    }

    /// Submits `count` changes at once.
    pub fn burst(&mut self, count: usize) {
        for _ in 0..count {
            self.submit_change();
        }
    }

    /// Submits the next change to the running replicas in turn.
    fn submit_change(&mut self) {
        let is_used = |at: &SocketAddr| self.cluster.is_running(*at) && !self.avoided.contains(at);
        let used: Vec<SocketAddr> = self.cluster.endpoints().into_iter().filter(is_used).collect();
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
            self.pending.insert(ticket, number);
        }
    }

    fn body(&self, number: u64) -> String {
        let pattern = format!("route-{number};");
        pattern.repeat(self.load.body_bytes / pattern.len() + 1)
    }

    fn observe(&mut self, occurrences: Vec<TimedAnswer<ClientAnswer>>) {
        for occurrence in occurrences {
            self.record_answer(occurrence);
        }
        let endpoints: Vec<SocketAddr> = self.cluster.endpoints();
        for at in endpoints {
            let Some(node) = self.cluster.process(at) else { continue };
            let view = node.replica.view();
            if view.number > self.newest_view.number {
                self.newest_view = view.clone();
                self.views += 1;
            }
        }
        self.check_head();
    }

    fn record_answer(&mut self, occurrence: TimedAnswer<ClientAnswer>) {
        let ClientAnswer { ticket, result } = occurrence.answer;
        let Ok(reply) = result else { return };
        self.answered_sequence = self.answered_sequence.max(reply.sequence);
        let Some(number) = self.pending.remove(&ticket) else { return };
        if reply.answer == b"done" {
            self.acknowledged = self.acknowledged.max(number);
            self.acknowledgements += 1;
            self.longest_pause =
                self.longest_pause.max(occurrence.at.saturating_sub(self.last_acknowledged_at));
            self.last_acknowledged_at = occurrence.at;
        }
    }

    /// Checks that the head of the newest view has every answered command.
    fn check_head(&self) {
        let view = &self.newest_view;
        let Some(head) = view.head().and_then(|head| view.endpoint(head)) else { return };
        let Some(node) = self.cluster.process(head) else { return };
        if node.replica.view().number == view.number {
            let newest = node.replica.newest_sequence();
            assert!(
                newest >= self.answered_sequence,
                "the head of view {} has {newest}, but {} was answered\n{}",
                view.number,
                self.answered_sequence,
                self.describe()
            );
        }
    }

    /// Whether a replica is in the chain of the newest view and has all acknowledged changes.
    pub fn is_caught_up(&self, at: SocketAddr) -> bool {
        let Some(node) = self.cluster.process(at) else { return false };
        let view = node.replica.view();
        let member = view.member_at(at).and_then(|member| view.chain_position(member.voter));
        member.is_some()
            && view.number == self.newest_view.number
            && node.replica.is_in_quorum(self.cluster.now())
            && newest_change(node.replica.committed_records()) >= self.acknowledged
    }

    /// The replicas outside the chain of the newest view.
    pub fn outside_of_the_chain(&self) -> Vec<SocketAddr> {
        let view = &self.newest_view;
        let is_inside = |at: &SocketAddr| {
            view.member_at(*at).is_some_and(|member| view.chain_position(member.voter).is_some())
        };
        self.cluster.endpoints().into_iter().filter(|at| !is_inside(at)).collect()
    }

    /// The number of commands by which a replica lags behind the newest committed sequence.
    pub fn lag(&self, at: SocketAddr) -> u64 {
        let committed =
            |at: SocketAddr| self.cluster.process(at).map_or(0, |node| node.replica.committed_sequence());
        let newest_committed = self.cluster.endpoints().into_iter().map(committed).max().unwrap_or(0);
        newest_committed - committed(at)
    }

    /// Whether a replica, in the chain or not, has all acknowledged changes.
    pub fn follows(&self, at: SocketAddr) -> bool {
        let Some(node) = self.cluster.process(at) else { return false };
        newest_change(node.replica.committed_records()) >= self.acknowledged
    }

    /// Checks that no acknowledged change is lost, that the newest one is intact and that all replicas agree.
    pub fn check_nothing_lost(&self) {
        for at in self.cluster.endpoints() {
            let node = self.cluster.process(at).expect("all run");
            let records = node.replica.committed_records();
            let newest = newest_change(records);
            assert!(
                newest >= self.acknowledged,
                "{at} has change {newest}, {} is acknowledged",
                self.acknowledged
            );
            assert!(remembers_change(records, self.acknowledged) || self.acknowledged == 0);
            let body = records.get(CONFIGURATION).map(|record| record.value.to_vec()).unwrap_or_default();
            assert_eq!(String::from_utf8_lossy(&body), self.body(newest), "at {at}");
            let other = self.cluster.process(self.cluster.endpoints()[0]).expect("all run");
            assert_eq!(records, other.replica.committed_records(), "{at}");
        }
    }

    /// Cuts all links of a replica.
    pub fn isolate(&mut self, at: SocketAddr) {
        for other in self.cluster.endpoints().into_iter().filter(|other| *other != at) {
            self.cluster.cut(at, other);
            self.cluster.cut(other, at);
        }
    }

    /// Stops all replicas at once and starts them a second later.
    pub fn lose_all_power(&mut self) {
        for at in self.cluster.endpoints() {
            self.cluster.stop(at);
        }
        self.pass(1_000);
        for at in self.cluster.endpoints() {
            self.cluster.start(at);
        }
    }

    /// The total traffic of all running replicas.
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
