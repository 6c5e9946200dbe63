//! Operators with several concurrent commands under random faults: the confirmed configurations form a chain,
//! a refused configuration is never applied, and a retry of a confirmed command is confirmed again.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use common::fleet::{Fleet, endpoint};
use common::operators::{Change, Fault, OutcomeChecker};
use common::*;
use http::StatusCode;
use whinspindle_controller::api::{Call, Response};
use whinspindle_distribution::SubscriberId;

const CONTROLLERS: u8 = 5;
/// Number of seeds of an ordinary run, unless the environment variable sets another number.
const DEFAULT_RUNS: u64 = 40;
/// Seeds that have found a fault: with 196 a controller that is no voter stopped forwarding commands to the
/// chain, since it kept a promise of an earlier view.
const REGRESSION_SEEDS: [u64; 1] = [196];
const COUNT_VARIABLE: &str = "WHINSPINDLE_PLAYS";
const ROUNDS: usize = 8;
/// An operator gives up a command without a definite answer after this time.
const MAX_ANSWER_MS: u64 = 12_000;
/// One loss at a time is tolerated. A machine that was unreachable and a disk that was lost count as losses
/// until this long after their return.
const RECOVERY_MS: u64 = 6_000;
const START_MS: u64 = 8_000;
/// An evacuation command that was given up may still take effect within this time.
const ABANDONED_EVACUATION_MS: u64 = 500;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

const FAULTS: [Fault; 8] = [
    Fault::Kill,
    Fault::Partition,
    Fault::OneWayPartition,
    Fault::Freeze,
    Fault::Wipe,
    Fault::StalledDisk,
    Fault::PowerLoss,
    Fault::LostAnswers,
];

/// The faults of runs in which operators also read the configuration continuously.
const PARTITION_FAULTS: [Fault; 6] = [
    Fault::SplitHalves,
    Fault::IsolateAll,
    Fault::SplitHalves,
    Fault::Partition,
    Fault::PowerLoss,
    Fault::LostAnswers,
];
/// Longest pause between two reads.
const MAX_READ_PAUSE_MS: u64 = 150;

/// An evacuation command, with the time in which it may take effect.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    evacuated: bool,
    attempt: Option<usize>,
    begins_at: u64,
    ends_at: u64,
    is_acknowledged: bool,
}

struct Run {
    fleet: Fleet,
    checker: OutcomeChecker,
    changes: Vec<Change>,
    /// Changes without an answer so far, with their attempts.
    in_flight: Vec<(Change, usize)>,
    evacuations: BTreeMap<&'static str, Vec<Evacuation>>,
    change_count: usize,
    /// Attempts to read the configuration, with the newest generation confirmed before each read was sent.
    reads: Vec<(u64, usize)>,
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut fleet = Fleet::start(seed, CONTROLLERS);
        fleet.cluster.network().timing.duplicate_ratio = 0.05;
        fleet.cluster.network().timing.loss_ratio = 0.01;
        let in_service =
            Evacuation { evacuated: false, attempt: None, begins_at: 0, ends_at: 0, is_acknowledged: true };
        let evacuations = ZONES.map(|zone| (zone, vec![in_service])).into();
        Run {
            fleet,
            checker: OutcomeChecker::default(),
            changes: Vec::new(),
            in_flight: Vec::new(),
            evacuations,
            change_count: 0,
            reads: Vec::new(),
        }
    }

    fn run(&mut self) {
        for _ in 0..ROUNDS {
            let fault = FAULTS[self.below(FAULTS.len())];
            let at = self.random_controller();
            if matches!(fault, Fault::Wipe) {
                self.pass(RECOVERY_MS);
            }
            self.send_changes();
            self.send_evacuations();
            let span = self.below(120) as u64;
            self.pass(span);
            fault.begin(&mut self.fleet, at);
            self.send_changes();
            let span = self.below(3_000) as u64;
            self.pass(span);
            fault.end(&mut self.fleet, at);
            if matches!(fault, Fault::Wipe) {
                self.pass(RECOVERY_MS);
            }
        }
        self.pass(MAX_ANSWER_MS);
        self.verify();
    }

    /// Like `run`, with reads at random controllers all the time. Each fault lasts up to four seconds, long
    /// enough to be detected.
    fn run_with_reads(&mut self) {
        for _ in 0..ROUNDS {
            let fault = PARTITION_FAULTS[self.below(PARTITION_FAULTS.len())];
            let at = self.random_controller();
            self.send_changes();
            self.read_for(500);
            fault.begin(&mut self.fleet, at);
            self.send_changes();
            let span = self.below(4_000) as u64;
            self.read_for(span);
            fault.end(&mut self.fleet, at);
            let span = self.below(3_000) as u64;
            self.read_for(span);
        }
        self.pass(MAX_ANSWER_MS);
        self.verify();
    }

    fn read_for(&mut self, span_ms: u64) {
        let end = self.fleet.cluster.now() + span_ms;
        while self.fleet.cluster.now() < end {
            let at = self.random_controller();
            let confirmed = self.newest_confirmed();
            let attempt = self.fleet.begin_at(at, Call::Fetch);
            self.reads.push((confirmed, attempt));
            let span = 1 + self.below(MAX_READ_PAUSE_MS as usize) as u64;
            self.pass(span);
            self.check_reads();
        }
    }

    /// Checks that no read returns an older generation than was confirmed before it was sent. A read without
    /// an answer is given up.
    fn check_reads(&mut self) {
        for (confirmed, attempt) in std::mem::take(&mut self.reads) {
            match &self.fleet.attempts[attempt].answered {
                Some((_, answer)) => {
                    let generation = generation_of(answer);
                    assert!(generation >= confirmed, "{generation} was read, {confirmed} was confirmed");
                }
                None if self.fleet.since(attempt) > MAX_ANSWER_MS => self.fleet.abandon(attempt),
                None => self.reads.push((confirmed, attempt)),
            }
        }
    }

    fn below(&mut self, bound: usize) -> usize {
        self.fleet.random.next_below(bound)
    }

    fn random_controller(&mut self) -> SocketAddr {
        endpoint(1 + self.below(usize::from(CONTROLLERS)) as u8)
    }

    /// The newest generation that operators know of.
    fn newest_confirmed(&self) -> u64 {
        self.checker.confirmed.iter().map(|change| change.generation).max().unwrap_or(0)
    }

    fn send_changes(&mut self) {
        for _ in 0..1 + self.below(3) {
            let change = self.draw_change();
            let at = self.random_controller();
            let attempt = self.fleet.begin_at(at, change.call());
            self.changes.push(change.clone());
            self.in_flight.push((change, attempt));
        }
    }

    fn draw_change(&mut self) -> Change {
        self.change_count += 1;
        let base = self.newest_confirmed();
        let newest = self.changes.last().cloned();
        match (self.below(10), newest) {
            // A retry of any earlier command.
            (0..2, Some(_)) => {
                let index = self.below(self.changes.len());
                self.changes[index].clone()
            }
            // The same bytes as the newest command.
            (2, Some(newest)) => newest,
            // The newest command with additional white space.
            (3, Some(newest)) => {
                let mut body = newest.body.to_vec();
                body.push(b' ');
                Change { body: Bytes::from(body), ..newest }
            }
            // Based on a change that may be pending or refused.
            (4, Some(newest)) => self.change(newest.generation),
            _ => self.change(base),
        }
    }

    fn change(&mut self, base: u64) -> Change {
        let generation_offset = 1 + self.below(2) as u64;
        Change::new(base, base + generation_offset, &format!("number {}", self.change_count))
    }

    /// Sends at most one command at a time for each zone; some of them are given up.
    fn send_evacuations(&mut self) {
        for zone in ZONES {
            self.conclude_evacuation(zone);
            let latest = *self.evacuations[zone].last().expect("the first state");
            let now = self.fleet.cluster.now();
            if latest.attempt.is_some() || now < latest.ends_at || self.below(2) == 0 {
                continue;
            }
            let evacuated = self.below(2) == 0;
            let at = self.random_controller();
            let attempt = Some(self.fleet.begin_at(at, evacuate(zone, evacuated)));
            let command =
                Evacuation { evacuated, attempt, begins_at: now, ends_at: u64::MAX, is_acknowledged: false };
            self.evacuations.get_mut(zone).expect("it is known").push(command);
        }
    }

    fn conclude_evacuation(&mut self, zone: &'static str) {
        let gives_up = self.below(3) == 0;
        let now = self.fleet.cluster.now();
        let latest = self.evacuations.get_mut(zone).and_then(|commands| commands.last_mut()).expect("one");
        let Some(attempt) = latest.attempt else { return };
        if let Some((at, answer)) = &self.fleet.attempts[attempt].answered {
            assert_eq!(answer.status, StatusCode::OK, "{latest:?} of {zone}");
            *latest = Evacuation { attempt: None, ends_at: *at, is_acknowledged: true, ..*latest };
        } else if gives_up {
            *latest = Evacuation { attempt: None, ends_at: now + ABANDONED_EVACUATION_MS, ..*latest };
            self.fleet.abandon(attempt);
        }
    }

    fn pass(&mut self, span_ms: u64) {
        self.fleet.pass(span_ms);
        let (now, mut waiting) = (self.fleet.cluster.now(), Vec::new());
        for (change, attempt) in std::mem::take(&mut self.in_flight) {
            if let Some((_, answer)) = &self.fleet.attempts[attempt].answered {
                self.checker.record_answer(&change, answer.status);
            } else if now > self.fleet.attempts[attempt].first_sent_at + MAX_ANSWER_MS {
                self.fleet.abandon(attempt);
            } else {
                waiting.push((change, attempt));
            }
        }
        self.in_flight = waiting;
    }

    /// After a power loss of all controllers and without further faults, sends every command again and checks
    /// the answers.
    fn verify(&mut self) {
        for zone in ZONES {
            self.conclude_evacuation(zone);
        }
        self.in_flight.drain(..).for_each(|(_, attempt)| self.fleet.abandon(attempt));
        (1..=CONTROLLERS).for_each(|number| self.fleet.cluster.stop(endpoint(number)));
        (1..=CONTROLLERS).for_each(|number| self.fleet.cluster.start(endpoint(number)));
        self.fleet.cluster.network().timing.loss_ratio = 0.0;
        self.fleet.pass(START_MS);
        let mut applied = Vec::new();
        for change in self.changes.clone() {
            let status = self.answer_without_faults(&change);
            self.checker.record_answer(&change, status);
            assert_eq!(self.answer_without_faults(&change), status, "{change:?}");
            if status == StatusCode::SERVICE_UNAVAILABLE {
                assert!(change.base > self.newest_confirmed(), "no clear answer to {change:?}");
            }
            if status == StatusCode::OK && !applied.contains(&change) {
                applied.push(change);
            }
        }
        self.verify_chain(applied);
        self.verify_zones();
        self.checker.check_published(&self.fleet);
    }

    fn answer_without_faults(&mut self, change: &Change) -> StatusCode {
        let at = self.random_controller();
        self.fleet
            .ask(at, change.call())
            .or_else(|| self.fleet.ask(at, change.call()))
            .expect("an answer")
            .status
    }

    fn verify_chain(&mut self, mut applied: Vec<Change>) {
        applied.sort_by_key(|change| change.generation);
        let mut base = 0;
        for change in &applied {
            assert_eq!(change.base, base, "not a chain: {applied:?}");
            base = change.generation;
        }
        assert!(applied.len() > 1, "nothing was confirmed");
        let newest = applied.last().expect("one is applied").body.clone();
        assert_eq!(self.fleet.complete(Call::Fetch, MAX_ANSWER_MS).body, newest);
    }

    /// The state of each zone has to match a command that no acknowledged command has followed entirely.
    fn verify_zones(&mut self) {
        let subscriber = SubscriberId(100);
        self.fleet.report(endpoint(1), subscriber.0, report(1, "zone-a"));
        self.fleet.pass(200);
        let mut sent = self.fleet.updates.iter().rev().filter(|(to, _)| *to == subscriber);
        let published = sent.find_map(|(_, update)| Some(update.evacuations.as_ref()?.zones.clone()));
        let published = published.unwrap_or_default();
        for (zone, commands) in &self.evacuations {
            let is_evacuated = published.iter().any(|evacuated| evacuated == zone);
            let explains = |(index, command): &(usize, &Evacuation)| {
                let is_superseded =
                    |later: &Evacuation| later.is_acknowledged && later.begins_at >= command.ends_at;
                command.evacuated == is_evacuated && !commands[index + 1..].iter().any(is_superseded)
            };
            let explanation = commands.iter().enumerate().find(explains);
            assert!(explanation.is_some(), "{zone} evacuated: {is_evacuated}, after {commands:?}");
        }
    }
}

/// The generation in the response to a read; 0 if there is no configuration yet.
fn generation_of(answer: &Response) -> u64 {
    if answer.status == StatusCode::NOT_FOUND {
        return 0;
    }
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let text = String::from_utf8_lossy(&answer.body);
    let (_, rest) = text.split_once("\"generation\":").expect("it has one");
    let digits = rest.split(',').next().expect("its end");
    digits.parse().expect("a number")
}

fn run_count() -> u64 {
    std::env::var(COUNT_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_RUNS)
}

#[test]
fn reads_and_answers_stay_consistent_through_split_halves() {
    for seed in 0..run_count() {
        Run::new(9_000 + seed).run_with_reads();
    }
}

#[test]
fn answers_stay_consistent_through_random_faults() {
    for seed in (0..run_count()).chain(REGRESSION_SEEDS) {
        Run::new(4_800 + seed).run();
    }
}
