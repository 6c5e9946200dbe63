//! Configuration changes of operators, faults of controllers, and a checker for the answers to operators.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use bytes::Bytes;
use http::StatusCode;
use whinspindle_controller::api::Call;

use super::configuration;
use super::fleet::Fleet;

/// The duration of a fault.
pub const FAULT_MS: u64 = 3_000;

/// A fault of one controller or of all of them.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The controller is killed and started again at the end.
    Kill,
    /// The controller is partitioned both ways; messages are delayed or lost.
    Partition,
    /// The controller receives messages of the others, but its own are delayed or lost.
    OneWayPartition,
    Freeze,
    /// The controller is killed and its disk is lost.
    Wipe,
    /// The disk of the controller completes no writes.
    StalledDisk,
    /// All controllers are restarted at once.
    PowerLoss,
    /// The controllers with even indices are partitioned from those with odd indices.
    SplitHalves,
    /// Every controller is partitioned from all others, so that there is no quorum.
    IsolateAll,
    /// No answers reach the callers during the fault.
    LostAnswers,
}

fn others(fleet: &Fleet, at: SocketAddr) -> impl Iterator<Item = SocketAddr> + use<> {
    fleet.cluster.endpoints().into_iter().filter(move |other| *other != at)
}

/// Cuts the links between all controllers for whose indices `is_cut` returns true.
fn partition_where(fleet: &mut Fleet, is_cut: impl Fn(usize, usize) -> bool) {
    let endpoints = fleet.cluster.endpoints();
    for (one, from) in endpoints.iter().enumerate() {
        for (other, to) in endpoints.iter().enumerate().filter(|(other, _)| *other != one) {
            if is_cut(one, other) {
                fleet.cluster.cut(*from, *to);
            }
        }
    }
}

impl Fault {
    pub fn begin(self, fleet: &mut Fleet, at: SocketAddr) {
        let until = fleet.cluster.now() + FAULT_MS;
        match self {
            Fault::Kill => fleet.cluster.stop(at),
            Fault::Partition => fleet.set_partitioned(at, true),
            Fault::OneWayPartition => others(fleet, at).for_each(|other| fleet.cluster.cut(at, other)),
            Fault::Freeze => fleet.cluster.freeze(at, until),
            Fault::Wipe => {
                fleet.cluster.stop(at);
                fleet.wipe(at);
            }
            Fault::SplitHalves => partition_where(fleet, |one, other| (one + other) % 2 == 1),
            Fault::IsolateAll => partition_where(fleet, |_, _| true),
            Fault::StalledDisk => fleet.cluster.disk(at).expect("it has a disk").stall(until),
            Fault::PowerLoss => fleet.cluster.endpoints().into_iter().for_each(|at| fleet.restart(at)),
            Fault::LostAnswers => fleet.lost_answers = 1.0,
        }
    }

    pub fn end(self, fleet: &mut Fleet, at: SocketAddr) {
        match self {
            Fault::Kill | Fault::Wipe => fleet.cluster.start(at),
            Fault::Partition => fleet.set_partitioned(at, false),
            Fault::OneWayPartition => others(fleet, at).for_each(|other| fleet.cluster.heal(at, other)),
            Fault::SplitHalves | Fault::IsolateAll => fleet.cluster.heal_all(),
            Fault::LostAnswers => fleet.lost_answers = 0.0,
            Fault::Freeze | Fault::StalledDisk | Fault::PowerLoss => {}
        }
    }
}

/// A command of one operator to replace the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Change {
    pub base: u64,
    pub generation: u64,
    pub body: Bytes,
}

impl Change {
    pub fn new(base: u64, generation: u64, operator: &str) -> Change {
        let body = String::from_utf8(configuration(generation).to_vec()).expect("text");
        let body = Bytes::from(body.replacen('{', &format!("{{\"operator\":\"{operator}\","), 1));
        Change { base, generation, body }
    }

    pub fn call(&self) -> Call {
        Call::Replace { base: self.base, generation: self.generation, body: self.body.clone() }
    }
}

/// The changes that were confirmed or refused to operators, which must not contradict each other.
#[derive(Default)]
pub struct OutcomeChecker {
    pub confirmed: BTreeSet<Change>,
    pub refused: BTreeSet<Change>,
}

impl OutcomeChecker {
    pub fn record_answer(&mut self, change: &Change, status: StatusCode) {
        match status {
            StatusCode::OK => {
                self.confirmed.insert(change.clone());
            }
            StatusCode::PRECONDITION_FAILED | StatusCode::CONFLICT => {
                self.refused.insert(change.clone());
            }
            other => assert_eq!(other, StatusCode::SERVICE_UNAVAILABLE, "{change:?}"),
        }
        assert!(self.confirmed.is_disjoint(&self.refused), "confirmed and refused: {change:?}");
        let bases: BTreeSet<u64> = self.confirmed.iter().map(|change| change.base).collect();
        assert_eq!(
            bases.len(),
            self.confirmed.len(),
            "two changes confirmed on one base: {:?}",
            self.confirmed
        );
    }

    /// Checks that no balancer was sent a configuration that was refused to its operator.
    pub fn check_published(&self, fleet: &Fleet) {
        let published = fleet.updates.iter().filter_map(|(_, update)| update.configured.as_ref());
        for configured in published {
            let refused = self.refused.iter().find(|change| change.body == configured.body);
            assert_eq!(refused, None, "refused and published");
        }
    }

    /// Sends the same command to every controller and checks that each gives the expected answer.
    pub fn send_to_all(&mut self, fleet: &mut Fleet, change: &Change, expected: StatusCode) {
        for at in fleet.cluster.endpoints() {
            let answer = fleet.ask(at, change.call()).expect("an answer in time");
            assert_eq!(answer.status, expected, "{change:?} at {at}: {answer:?}");
            self.record_answer(change, answer.status);
        }
    }
}
