//! Operators with several commands under way, through faults drawn at random: what was confirmed is a chain, what was
//! refused is never in force, and what was confirmed is confirmed again however often it is sent.

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
/// Plays in an ordinary run; as many as this variable says otherwise.
const ORDINARY: u64 = 40;
/// Plays that have found a fault: 196 found a controller without a vote that gave no command to the chain any more, since
/// a promise of an earlier view was left over.
const REGRESSION_SEEDS: [u64; 1] = [196];
const COUNT_VARIABLE: &str = "WHINSPINDLE_PLAYS";
const ROUNDS: usize = 8;
/// An operator gives up a command without a clear answer after this time.
const MAX_ANSWER_MS: u64 = 12_000;
/// One loss at a time is borne. A machine that was out of touch counts as a loss until it has been back for so long, and
/// so does a disk.
const RECOVERY_MS: u64 = 6_000;
const START_MS: u64 = 8_000;
/// An evacuation command that was given up may still take effect within this time.
const EVACUATION_ECHO_MS: u64 = 500;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

const FAULTS: [Fault; 8] = [
    Fault::Kill,
    Fault::Partition,
    Fault::OneWayPartition,
    Fault::Freeze,
    Fault::Wipe,
    Fault::StalledDisk,
    Fault::LossOfPower,
    Fault::LostAnswers,
];

/// The faults of plays in which operators also read the configuration all the time.
const SPLITS: [Fault; 6] =
    [Fault::Halves, Fault::Apart, Fault::Halves, Fault::Partition, Fault::LossOfPower, Fault::LostAnswers];
/// Pauses between reads at most.
const READ_MS: u64 = 150;

/// An evacuation command, with the time in which it may take effect.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    evacuated: bool,
    attempt: Option<usize>,
    begun: u64,
    ended: u64,
    is_acknowledged: bool,
}

struct Play {
    fleet: Fleet,
    checker: OutcomeChecker,
    changes: Vec<Change>,
    /// Changes whose answers are waited for.
    in_flight: Vec<(Change, usize)>,
    evacuations: BTreeMap<&'static str, Vec<Evacuation>>,
    sent: usize,
    /// Reads of the configuration, with the newest generation that had been confirmed before.
    reads: Vec<(u64, usize)>,
}

impl Play {
    fn new(seed: u64) -> Play {
        let mut fleet = Fleet::start(seed, CONTROLLERS);
        fleet.cluster.network().timing.repetition = 0.05;
        fleet.cluster.network().timing.loss = 0.01;
        let in_service =
            Evacuation { evacuated: false, attempt: None, begun: 0, ended: 0, is_acknowledged: true };
        let evacuations = ZONES.map(|zone| (zone, vec![in_service])).into();
        Play {
            fleet,
            checker: OutcomeChecker::default(),
            changes: Vec::new(),
            in_flight: Vec::new(),
            evacuations,
            sent: 0,
            reads: Vec::new(),
        }
    }

    fn run(&mut self) {
        for _ in 0..ROUNDS {
            let fault = FAULTS[self.below(FAULTS.len())];
            let at = self.anywhere();
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

    /// As `run`, with reads at any controller at any time. Each fault has as long as it takes to be noticed.
    fn run_split(&mut self) {
        for _ in 0..ROUNDS {
            let fault = SPLITS[self.below(SPLITS.len())];
            let at = self.anywhere();
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
            let at = self.anywhere();
            let confirmed = self.known();
            let attempt = self.fleet.begin_at(at, Call::Fetch);
            self.reads.push((confirmed, attempt));
            let span = 1 + self.below(READ_MS as usize) as u64;
            self.pass(span);
            self.check_reads();
        }
    }

    /// No answer is older than what was confirmed before the read was sent. A read without an answer is given up.
    fn check_reads(&mut self) {
        for (confirmed, attempt) in std::mem::take(&mut self.reads) {
            match &self.fleet.attempts[attempt].answered {
                Some((_, answer)) => {
                    let generation = generation_of(answer);
                    assert!(generation >= confirmed, "{generation} was read, {confirmed} confirmed");
                }
                None if self.fleet.since(attempt) > MAX_ANSWER_MS => self.fleet.abandon(attempt),
                None => self.reads.push((confirmed, attempt)),
            }
        }
    }

    fn below(&mut self, bound: usize) -> usize {
        self.fleet.random.next_below(bound)
    }

    fn anywhere(&mut self) -> SocketAddr {
        endpoint(1 + self.below(usize::from(CONTROLLERS)) as u8)
    }

    /// The newest generation that operators know of.
    fn known(&self) -> u64 {
        self.checker.confirmed.iter().map(|change| change.generation).max().unwrap_or(0)
    }

    fn send_changes(&mut self) {
        for _ in 0..1 + self.below(3) {
            let change = self.draw_change();
            let at = self.anywhere();
            let attempt = self.fleet.begin_at(at, change.call());
            self.changes.push(change.clone());
            self.in_flight.push((change, attempt));
        }
    }

    fn draw_change(&mut self) -> Change {
        self.sent += 1;
        let base = self.known();
        let newest = self.changes.last().cloned();
        match (self.below(10), newest) {
            // The same once more, however old.
            (0..2, Some(_)) => {
                let index = self.below(self.changes.len());
                self.changes[index].clone()
            }
            // The very bytes of another operator.
            (2, Some(newest)) => newest,
            // The same but for white space.
            (3, Some(newest)) => {
                let mut body = newest.body.to_vec();
                body.push(b' ');
                Change { body: Bytes::from(body), ..newest }
            }
            // On a change that may still be under way, or may have been refused.
            (4, Some(newest)) => self.change(newest.generation),
            _ => self.change(base),
        }
    }

    fn change(&mut self, base: u64) -> Change {
        let above = 1 + self.below(2) as u64;
        Change::new(base, base + above, &format!("number {}", self.sent))
    }

    /// One command at a time for each zone; some are given up.
    fn send_evacuations(&mut self) {
        for zone in ZONES {
            self.conclude_evacuation(zone);
            let latest = *self.evacuations[zone].last().expect("the first state");
            let now = self.fleet.cluster.now();
            if latest.attempt.is_some() || now < latest.ended || self.below(2) == 0 {
                continue;
            }
            let evacuated = self.below(2) == 0;
            let at = self.anywhere();
            let attempt = Some(self.fleet.begin_at(at, evacuate(zone, evacuated)));
            let command =
                Evacuation { evacuated, attempt, begun: now, ended: u64::MAX, is_acknowledged: false };
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
            *latest = Evacuation { attempt: None, ended: *at, is_acknowledged: true, ..*latest };
        } else if gives_up {
            *latest = Evacuation { attempt: None, ended: now + EVACUATION_ECHO_MS, ..*latest };
            self.fleet.abandon(attempt);
        }
    }

    fn pass(&mut self, span_ms: u64) {
        self.fleet.pass(span_ms);
        let (now, mut waiting) = (self.fleet.cluster.now(), Vec::new());
        for (change, attempt) in std::mem::take(&mut self.in_flight) {
            if let Some((_, answer)) = &self.fleet.attempts[attempt].answered {
                self.checker.answered(&change, answer.status);
            } else if now > self.fleet.attempts[attempt].first_sent_at + MAX_ANSWER_MS {
                self.fleet.abandon(attempt);
            } else {
                waiting.push((change, attempt));
            }
        }
        self.in_flight = waiting;
    }

    /// Calm again, and after a loss of power of all, everything is sent once more everywhere.
    fn verify(&mut self) {
        for zone in ZONES {
            self.conclude_evacuation(zone);
        }
        self.in_flight.drain(..).for_each(|(_, attempt)| self.fleet.abandon(attempt));
        (1..=CONTROLLERS).for_each(|number| self.fleet.cluster.stop(endpoint(number)));
        (1..=CONTROLLERS).for_each(|number| self.fleet.cluster.start(endpoint(number)));
        self.fleet.cluster.network().timing.loss = 0.0;
        self.fleet.pass(START_MS);
        let mut in_force = Vec::new();
        for change in self.changes.clone() {
            let status = self.answer_in_calm(&change);
            self.checker.answered(&change, status);
            assert_eq!(self.answer_in_calm(&change), status, "{change:?}");
            if status == StatusCode::SERVICE_UNAVAILABLE {
                assert!(change.base > self.known(), "no clear answer to {change:?}");
            }
            if status == StatusCode::OK && !in_force.contains(&change) {
                in_force.push(change);
            }
        }
        self.verify_chain(in_force);
        self.verify_zones();
        self.checker.check_published(&self.fleet);
    }

    fn answer_in_calm(&mut self, change: &Change) -> StatusCode {
        let at = self.anywhere();
        self.fleet
            .ask(at, change.call())
            .or_else(|| self.fleet.ask(at, change.call()))
            .expect("an answer")
            .status
    }

    fn verify_chain(&mut self, mut in_force: Vec<Change>) {
        in_force.sort_by_key(|change| change.generation);
        let mut base = 0;
        for change in &in_force {
            assert_eq!(change.base, base, "not a chain: {in_force:?}");
            base = change.generation;
        }
        assert!(in_force.len() > 1, "nothing was confirmed");
        let newest = in_force.last().expect("one is in force").body.clone();
        assert_eq!(self.fleet.complete(Call::Fetch, MAX_ANSWER_MS).body, newest);
    }

    /// The state of a zone is that of a command after which no other was acknowledged from begin to end.
    fn verify_zones(&mut self) {
        let subscriber = SubscriberId(100);
        self.fleet.report(endpoint(1), subscriber.0, report(1, "zone-a"));
        self.fleet.pass(200);
        let mut sent = self.fleet.updates.iter().rev().filter(|(to, _)| *to == subscriber);
        let told = sent.find_map(|(_, update)| Some(update.evacuations.as_ref()?.zones.clone()));
        let told = told.unwrap_or_default();
        for (zone, commands) in &self.evacuations {
            let is_evacuated = told.iter().any(|evacuated| evacuated == zone);
            let explains = |(place, command): &(usize, &Evacuation)| {
                let is_undone = |later: &Evacuation| later.is_acknowledged && later.begun >= command.ended;
                command.evacuated == is_evacuated && !commands[place + 1..].iter().any(is_undone)
            };
            let explanation = commands.iter().enumerate().find(explains);
            assert!(explanation.is_some(), "{zone} evacuated: {is_evacuated}, after {commands:?}");
        }
    }
}

/// What a read was answered; 0 where there was no configuration yet.
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

fn count() -> u64 {
    std::env::var(COUNT_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(ORDINARY)
}

#[test]
fn reads_and_answers_stay_consistent_through_split_halves() {
    for seed in 0..count() {
        Play::new(9_000 + seed).run_split();
    }
}

#[test]
fn answers_stay_consistent_through_random_faults() {
    for seed in (0..count()).chain(REGRESSION_SEEDS) {
        Play::new(4_800 + seed).run();
    }
}
