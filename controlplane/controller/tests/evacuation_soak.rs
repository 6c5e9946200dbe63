//! Soak of evacuation commands: an operator evacuates a zone and takes it back, over and over, while controllers
//! are paused, partitioned and killed. It moves on to another controller after a second of silence and leaves
//! the connection open, and links deliver further copies of its commands late.

mod common;

use std::net::SocketAddr;

use common::fleet::{Command, Fleet, endpoint};
use common::operators::Fault;
use common::{TICK_MS, evacuate};
use http::StatusCode;
use whinspindle_controller::api::Call;

const CONTROLLERS: u8 = 3;
const ZONE: &str = "zone-a";
const COMMANDS: usize = 60;
/// Number of seeds of an ordinary run, unless the environment variable sets another number.
const DEFAULT_RUNS: u64 = 50;
const COUNT_VARIABLE: &str = "WHINSPINDLE_SOAKS";
/// The longest pause of a controller, and the longest partition.
const MAX_FAULT_MS: usize = 6_000;
/// The longest delay of a copy on a link. It is longer than an operator sends a command again.
const MAX_DELAY_MS: usize = 8_000;
/// The longest pause between the answer to a command and the next command.
const MAX_THINK_MS: usize = 1_500;
/// A command is acknowledged within this time, which outlasts a fault.
const MAX_ANSWER_MS: u64 = 20_000;
/// Every controller in contact knows an acknowledged command within this time.
const PROPAGATION_MS: u64 = 1_000;

const FAULTS: [Fault; 4] = [Fault::Freeze, Fault::Partition, Fault::OneWayPartition, Fault::Kill];

struct Soak {
    fleet: Fleet,
    /// The fault of one controller, with the time at which it ends.
    fault: Option<(Fault, SocketAddr, u64)>,
    /// Copies of commands on slow links, with the times at which they are delivered.
    delayed: Vec<(u64, SocketAddr, Call)>,
}

impl Soak {
    fn below(&mut self, bound: usize) -> usize {
        self.fleet.random.next_below(bound)
    }

    fn random_controller(&mut self) -> SocketAddr {
        endpoint(1 + self.below(usize::from(CONTROLLERS)) as u8)
    }

    fn pass(&mut self, span_ms: u64) {
        let end = self.fleet.cluster.now() + span_ms;
        while self.fleet.cluster.now() < end {
            self.fleet.pass(TICK_MS / 2);
            self.end_fault();
            self.deliver();
        }
    }

    fn begin_fault(&mut self) {
        if self.fault.is_some() || self.below(2) == 0 {
            return;
        }
        let at = self.random_controller();
        let duration = 300 + self.below(MAX_FAULT_MS) as u64;
        let until = self.fleet.cluster.now() + duration;
        let fault = FAULTS[self.below(FAULTS.len())];
        match fault {
            Fault::Freeze => self.fleet.cluster.freeze(at, until),
            other => other.begin(&mut self.fleet, at),
        }
        self.fault = Some((fault, at, until));
    }

    fn end_fault(&mut self) {
        let now = self.fleet.cluster.now();
        if let Some((fault, at, _)) = self.fault.take_if(|(.., until)| *until <= now) {
            fault.end(&mut self.fleet, at);
        }
    }

    /// The callers have moved on, so nobody follows the answers.
    fn deliver(&mut self) {
        let now = self.fleet.cluster.now();
        let due: Vec<_> = self.delayed.extract_if(.., |(due, ..)| *due <= now).collect();
        for (_, at, call) in due {
            let id = self.fleet.next_call();
            self.fleet.cluster.send_command(at, Command::Call { id, call });
        }
    }

    /// Sends a command until it is acknowledged.
    fn command(&mut self, evacuated: bool) {
        let call = evacuate(ZONE, evacuated);
        if self.below(3) == 0 {
            let due = self.fleet.cluster.now() + self.below(MAX_DELAY_MS) as u64;
            let at = self.random_controller();
            self.delayed.push((due, at, call.clone()));
        }
        let at = self.random_controller();
        let attempt = self.fleet.begin_at(at, call);
        while self.fleet.attempts[attempt].answered.is_none() {
            assert!(self.fleet.since(attempt) < MAX_ANSWER_MS, "no answer, fault {:?}", self.fault);
            self.pass(TICK_MS);
        }
        let (_, response) = self.fleet.attempts[attempt].answered.clone().expect("an answer");
        assert_eq!(response.status, StatusCode::OK);
    }

    /// Whether the zone is evacuated, according to the running controller that has committed the most.
    fn is_evacuated(&mut self) -> bool {
        let is_stopped = |fault: &(Fault, SocketAddr, u64), at| {
            fault.1 == at && matches!(fault.0, Fault::Freeze | Fault::Kill)
        };
        let mut newest = (0, false);
        for at in (1..=CONTROLLERS).map(endpoint) {
            if self.fault.as_ref().is_none_or(|fault| !is_stopped(fault, at)) {
                let status = self.fleet.ask_once(at, Call::Status).expect("the status is answered at once");
                newest = newest.max(parse_status(&String::from_utf8_lossy(&status.body)));
            }
        }
        newest.1
    }

    fn run(&mut self) {
        for number in 0..COMMANDS {
            let evacuated = number % 2 == 0;
            self.begin_fault();
            let span = self.below(400) as u64;
            self.pass(span);
            self.command(evacuated);
            let span = self.below(MAX_THINK_MS) as u64;
            self.pass(span);
            if self.is_evacuated() != evacuated {
                self.pass(PROPAGATION_MS);
                let is_evacuated = self.is_evacuated();
                assert_eq!(is_evacuated, evacuated, "command {number} is undone, fault {:?}", self.fault);
            }
        }
    }
}

/// The committed position of a controller, and whether the zone is evacuated there.
fn parse_status(status: &str) -> (u64, bool) {
    let (_, rest) = status.split_once("\"committed_sequence\":").expect("the position");
    let digits = rest.split([',', '}']).next().expect("its end");
    let (_, rest) = status.split_once("\"evacuated_zones\":[").expect("the zones");
    let zones = rest.split(']').next().expect("their end");
    (digits.parse().expect("a number"), zones.contains(ZONE))
}

fn run_count() -> u64 {
    std::env::var(COUNT_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_RUNS)
}

/// Guards against: a copy of an evacuation command that is read late undoes a command acknowledged since.
#[test]
fn acknowledged_evacuation_commands_stay_in_force() {
    for seed in 0..run_count() {
        println!("seed {seed}");
        let mut fleet = Fleet::start(7_000 + seed, CONTROLLERS);
        fleet.cluster.network().timing.held_ratio = 0.5;
        Soak { fleet, fault: None, delayed: Vec::new() }.run();
    }
}
