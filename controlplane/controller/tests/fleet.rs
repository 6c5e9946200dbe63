//! Several controllers on a simulated network: acknowledged changes survive crashes, partitions and power
//! losses, and reach every balancer whichever controller it is connected to.

mod common;

use std::collections::BTreeMap;

use bytes::Bytes;
use common::fleet::{Fleet, endpoint};
use common::*;
use http::StatusCode;
use whinspindle_configuration::InstanceState::{Draining, Ready};
use whinspindle_controller::api::Call;
use whinspindle_distribution::{Instance, SubscriberId};

/// Without faults every controller acknowledges a command within this time.
const COMMAND_TIMEOUT_MS: u64 = 400;
/// Balancers are notified of a quorum within this time after the start of all controllers.
const QUORUM_MS: u64 = 250;
/// Balancers are sent the restored state within this time after the start of all controllers.
const RESTORE_MS: u64 = 1_000;
/// A command is acknowledged within this time after a fault.
const COMMAND_TIMEOUT_WITH_FAULTS_MS: u64 = 15_000;

fn newest_instance(fleet: &Fleet, subscriber: SubscriberId, id: &str) -> Option<Instance> {
    let mut sent = fleet.updates.iter().rev().filter(|(to, _)| *to == subscriber);
    let newest = sent.find_map(|(_, update)| update.instances.as_ref())?;
    newest.list.iter().find(|instance| instance.id == id).cloned()
}

fn evacuated_zones(fleet: &Fleet, subscriber: SubscriberId) -> Option<Vec<String>> {
    let mut sent = fleet.updates.iter().rev().filter(|(to, _)| *to == subscriber);
    sent.find_map(|(_, update)| Some(update.evacuations.as_ref()?.zones.clone()))
}

#[test]
fn every_controller_accepts_commands_of_every_kind() {
    let mut fleet = Fleet::start(1, 5);
    let mut generation = 0;
    for number in 1..=5 {
        let at = endpoint(number);
        let commands = [
            replace(generation, generation + 2),
            evacuate("zone-b", true),
            evacuate("zone-b", false),
            heartbeat(&format!("i-{number}"), 1, Draining),
            deregister(&format!("i-{number}")),
        ];
        for command in commands {
            let started_at = fleet.cluster.now();
            let answer = fleet.ask(at, command.clone()).unwrap_or_else(|| panic!("{command:?} at {at}"));
            assert_eq!(answer.status, StatusCode::OK, "{command:?} at {at}: {answer:?}");
            assert!(
                fleet.cluster.now() < started_at + COMMAND_TIMEOUT_MS,
                "{command:?} at {at} took too long"
            );
        }
        generation += 2;
    }
    for number in 1..=5 {
        let answer = fleet.ask(endpoint(number), Call::Fetch).expect("a read is answered");
        assert_eq!(answer.body, configuration(generation), "at {number}");
    }
}

#[test]
fn balancers_learn_of_controllers_outside_of_the_view() {
    // With a tolerance of one loss, only three of five controllers are voters.
    let mut fleet = Fleet::start(2, 5);
    fleet.report(endpoint(1), 1, report(1, "zone-a"));
    fleet.pass(100);
    let (_, link) = fleet.links.last().expect("the first report is answered");
    let endpoints: Vec<_> = link.controllers.iter().map(|controller| controller.endpoint).collect();
    assert_eq!(endpoints, (1..=5).map(endpoint).collect::<Vec<_>>());
    assert!(link.controllers.iter().all(|controller| !controller.zone.is_empty()));
}

#[test]
fn observations_of_one_controller_reach_balancers_of_all() {
    let mut fleet = Fleet::start(2, 5);
    for number in 1..=5 {
        fleet.report(endpoint(number), u64::from(number), report(number, "zone-a"));
    }
    fleet.ask(endpoint(1), heartbeat("i-1", 1, Ready));
    fleet.pass(300);
    for number in 1..=5 {
        let published = newest_instance(&fleet, SubscriberId(number), "i-1");
        assert!(published.is_some_and(|instance| !instance.draining), "balancer {number}");
    }
    fleet.ask(endpoint(2), heartbeat("i-1", 2, Draining));
    fleet.ask(endpoint(3), evacuate("zone-c", true));
    fleet.pass(300);
    for number in 1..=5 {
        let published = newest_instance(&fleet, SubscriberId(number), "i-1");
        assert!(published.is_some_and(|instance| instance.draining), "balancer {number}");
        let zones = evacuated_zones(&fleet, SubscriberId(number));
        assert_eq!(zones, Some(vec!["zone-c".to_owned()]), "balancer {number}");
    }
}

#[test]
fn every_controller_directs_clients_to_all_balancers() {
    let mut fleet = Fleet::start(3, 5);
    fleet.report(endpoint(1), 1, report(1, "zone-a"));
    fleet.report(endpoint(4), 2, report(2, "zone-a"));
    fleet.pass(300);
    for number in 1..=5 {
        let answer = fleet.ask(endpoint(number), resolve("north", "zone-a")).expect("an answer");
        let expected = r#"{"addrs":["10.1.0.1:8161","10.1.0.2:8161"],"ttl_s":2}"#;
        assert_eq!(answer.body, expected, "controller {number}");
    }
}

#[test]
fn restarted_controller_receives_the_state_of_the_others() {
    let mut fleet = Fleet::start(4, 3);
    fleet.ask(endpoint(2), heartbeat("i-1", 1, Ready));
    fleet.ask(endpoint(2), heartbeat("i-2", 1, Draining));
    fleet.restart(endpoint(1));
    for sequence in 2..6 {
        fleet.pass(1_000);
        fleet.ask(endpoint(2), heartbeat("i-1", sequence, Ready));
    }
    fleet.report(endpoint(1), 1, report(1, "zone-a"));
    fleet.pass(100);
    assert!(newest_instance(&fleet, SubscriberId(1), "i-1").is_some());
    let answer = fleet.ask(endpoint(1), heartbeat("i-2", 2, Draining)).expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
}

/// Starts controllers that all know some instances and a balancer, then restarts all at once, some with a
/// lost disk.
fn start_after_power_loss(seed: u64, wiped: &[u8]) -> Fleet {
    let mut fleet = Fleet::start(seed, 3);
    fleet.complete(replace(0, 1), COMMAND_TIMEOUT_MS);
    fleet.ask(endpoint(1), heartbeat("i-1", 1, Ready));
    fleet.ask(endpoint(2), heartbeat("i-2", 1, Ready));
    fleet.ask(endpoint(2), heartbeat("i-3", 1, Draining));
    fleet.report(endpoint(3), 1, report(1, "zone-a"));
    fleet.pass(1_500);
    (1..=3).for_each(|number| fleet.cluster.stop(endpoint(number)));
    wiped.iter().for_each(|number| fleet.wipe(endpoint(*number)));
    (1..=3).for_each(|number| fleet.cluster.start(endpoint(number)));
    fleet
}

#[test]
fn restored_state_is_published_with_the_configuration_after_a_power_loss() {
    for wiped in [&[][..], &[1], &[3]] {
        let mut fleet = start_after_power_loss(8, wiped);
        for number in 1..=3 {
            fleet.report(endpoint(number), 10 + u64::from(number), report(number, "zone-a"));
        }
        fleet.pass(RESTORE_MS);
        for number in 1..=3 {
            let subscriber = SubscriberId(10 + number);
            let draining = |id| newest_instance(&fleet, subscriber, id).map(|instance| instance.draining);
            assert_eq!(draining("i-1"), Some(false), "controller {number}, {wiped:?} wiped");
            assert_eq!(draining("i-2"), Some(false), "controller {number}, {wiped:?} wiped");
            assert_ne!(draining("i-3"), Some(false), "controller {number}, {wiped:?} wiped");
            let configured =
                fleet.updates.iter().any(|(to, update)| *to == subscriber && update.configured.is_some());
            assert!(configured, "controller {number}, {wiped:?} wiped");
        }
    }
}

#[test]
fn quorum_is_restored_soon_and_announced_at_once_after_a_power_loss() {
    for seed in 20..40 {
        let mut fleet = start_after_power_loss(seed, &[]);
        for number in 1..=3 {
            fleet.report(endpoint(number), u64::from(number), report(number, "zone-a"));
        }
        fleet.pass(QUORUM_MS);
        for number in 1..=3 {
            let subscriber = SubscriberId(number);
            let is_notified = fleet.links.iter().any(|(to, link)| *to == subscriber && link.in_quorum);
            assert!(is_notified, "controller {number}, seed {seed}");
        }
    }
}

#[test]
fn clients_are_directed_to_restored_balancers_after_a_power_loss() {
    let mut fleet = start_after_power_loss(9, &[2]);
    fleet.pass(RESTORE_MS);
    for number in 1..=3 {
        let answer = fleet.ask(endpoint(number), resolve("north", "zone-a")).expect("an answer");
        assert_eq!(answer.body, r#"{"addrs":["10.1.0.1:8161"],"ttl_s":2}"#, "controller {number}");
    }
}

#[test]
fn restored_state_that_is_not_confirmed_after_a_power_loss_is_dropped() {
    let mut fleet = start_after_power_loss(10, &[]);
    fleet.report(endpoint(1), 11, report(1, "zone-a"));
    for sequence in 2..8 {
        fleet.pass(1_000);
        fleet.ask(endpoint(2), heartbeat("i-1", sequence, Ready));
        fleet.report(endpoint(1), 11, report(1, "zone-a"));
    }
    assert!(newest_instance(&fleet, SubscriberId(11), "i-1").is_some());
    assert!(
        newest_instance(&fleet, SubscriberId(11), "i-2").is_none(),
        "the instance has not sent another heartbeat"
    );
}

#[test]
fn single_restart_does_not_revive_a_lost_instance() {
    let mut fleet = Fleet::start(11, 3);
    fleet.ask(endpoint(2), heartbeat("i-1", 1, Ready));
    fleet.ask(endpoint(2), heartbeat("i-2", 1, Ready));
    fleet.pass(1_500);
    fleet.cluster.stop(endpoint(1));
    for sequence in 2..8 {
        fleet.pass(1_000);
        fleet.ask(endpoint(2), heartbeat("i-1", sequence, Ready));
    }
    fleet.report(endpoint(2), 12, report(2, "zone-a"));
    fleet.cluster.start(endpoint(1));
    fleet.report(endpoint(1), 11, report(1, "zone-a"));
    fleet.updates.clear();
    fleet.pass(RESTORE_MS);
    fleet.report(endpoint(1), 11, report(1, "zone-a"));
    fleet.ask(endpoint(1), heartbeat("i-1", 8, Ready));
    fleet.pass(100);
    for subscriber in [SubscriberId(11), SubscriberId(12)] {
        let published = newest_instance(&fleet, subscriber, "i-2");
        assert!(published.is_none(), "{subscriber:?}");
    }
    assert!(newest_instance(&fleet, SubscriberId(11), "i-1").is_some());
}

#[test]
fn partitioned_controller_acknowledges_no_command() {
    let mut fleet = Fleet::start(5, 3);
    fleet.set_partitioned(endpoint(3), true);
    let commands = [replace(0, 1), evacuate("zone-a", true), heartbeat("i-1", 1, Draining), Call::Fetch];
    for command in commands {
        let answer = fleet.ask(endpoint(3), command.clone()).expect("an answer in time");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{command:?}");
    }
    let answer = fleet.ask(endpoint(3), heartbeat("i-2", 1, Ready)).expect("an answer");
    assert_eq!(
        answer.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "the other controllers would treat the instance as lost"
    );
    fleet.pass(2_000);
    assert_eq!(fleet.complete(replace(0, 1), COMMAND_TIMEOUT_WITH_FAULTS_MS).status, StatusCode::OK);
    fleet.set_partitioned(endpoint(3), false);
    fleet.pass(4_000);
    let answer = fleet.ask(endpoint(3), Call::Fetch).expect("an answer");
    assert_eq!(answer.body, configuration(1));
}

#[test]
fn controller_shutdown_loses_no_command() {
    for shutting_down in 1..=3 {
        let mut fleet = Fleet::start(6, 3);
        fleet.complete(replace(0, 1), COMMAND_TIMEOUT_MS);
        fleet.cluster.command(endpoint(shutting_down), common::fleet::Command::Shutdown);
        let attempt = fleet.begin(replace(1, 2));
        fleet.pass(400);
        fleet.cluster.stop(endpoint(shutting_down));
        fleet.pass(2_000);
        let (at, answer) = fleet.attempts[attempt].answered.clone().expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
        assert!(at < fleet.attempts[attempt].first_sent_at + 2_000, "controller {shutting_down}");
        assert_eq!(fleet.complete(replace(2, 3), 1_500).status, StatusCode::OK);
    }
}

/// Concurrent changes of two operators and departures of upstreams under random faults.
struct Run {
    fleet: Fleet,
    /// Bodies that were sent, by generation; no two operators send the same body.
    sent: BTreeMap<u64, Vec<Bytes>>,
    /// Acknowledged configurations as base and generation.
    acknowledged: Vec<(u64, u64, Bytes)>,
    evacuated: BTreeMap<String, bool>,
    departed: Vec<String>,
}

impl Run {
    fn new(seed: u64) -> Run {
        Run {
            fleet: Fleet::start(seed, 5),
            sent: BTreeMap::new(),
            acknowledged: Vec::new(),
            evacuated: BTreeMap::new(),
            departed: Vec::new(),
        }
    }

    fn run(&mut self, rounds: usize) {
        for round in 0..rounds {
            let fault = self.inject_fault();
            self.race(round);
            self.evacuate(round);
            self.depart(round);
            let span = self.fleet.random.next_below(1_500) as u64;
            self.fleet.pass(span);
            self.repair(fault);
        }
    }

    /// Injects a random fault: one controller is stopped, partitioned or loses its disk, or all restart, or
    /// none.
    fn inject_fault(&mut self) -> (u8, usize) {
        let number = 1 + self.fleet.random.next_below(5) as u8;
        let kind = self.fleet.random.next_below(5);
        match kind {
            0 => self.fleet.cluster.stop(endpoint(number)),
            1 => self.fleet.set_partitioned(endpoint(number), true),
            2 => {
                self.fleet.cluster.stop(endpoint(number));
                self.fleet.wipe(endpoint(number));
            }
            3 => (1..=5).for_each(|number| self.fleet.restart(endpoint(number))),
            _ => {}
        }
        (number, kind)
    }

    /// Repairs the fault. A lost disk counts as a loss until its controller has been running for some
    /// seconds.
    fn repair(&mut self, (number, kind): (u8, usize)) {
        match kind {
            0 => self.fleet.cluster.start(endpoint(number)),
            1 => self.fleet.set_partitioned(endpoint(number), false),
            2 => {
                self.fleet.cluster.start(endpoint(number));
                self.fleet.pass(6_000);
            }
            _ => {}
        }
    }

    fn race(&mut self, round: usize) {
        let base = self.acknowledged.last().map_or(0, |(_, generation, _)| *generation);
        let operators = ["one", "other"].map(|operator| {
            let generation = base + 1 + self.fleet.random.next_below(2) as u64;
            let body = Bytes::from(String::from_utf8(configuration(generation).to_vec()).unwrap().replacen(
                '{',
                &format!("{{\"operator\":\"{operator} {round}\","),
                1,
            ));
            self.sent.entry(generation).or_default().push(body.clone());
            let attempt = self.fleet.begin(Call::Replace { base, generation, body: body.clone() });
            (attempt, generation, body)
        });
        self.wait_for(operators.iter().map(|(attempt, ..)| *attempt).collect());
        let mut winners = 0;
        for (attempt, generation, body) in operators {
            let status = self.fleet.attempts[attempt].answered.as_ref().expect("an answer").1.status;
            if status == StatusCode::OK {
                winners += 1;
                self.acknowledged.push((base, generation, body));
            } else {
                assert_eq!(status, StatusCode::PRECONDITION_FAILED);
            }
        }
        assert_eq!(winners, 1, "one of two changes on one base is applied");
    }

    fn evacuate(&mut self, round: usize) {
        let zone = ["zone-a", "zone-b", "zone-c"][round % 3];
        let evacuated = !self.evacuated.get(zone).copied().unwrap_or(false);
        assert_eq!(
            self.fleet.complete(evacuate(zone, evacuated), COMMAND_TIMEOUT_WITH_FAULTS_MS).status,
            StatusCode::OK
        );
        self.evacuated.insert(zone.to_owned(), evacuated);
    }

    fn depart(&mut self, round: usize) {
        let instance = format!("i-{round}");
        let answer = self.fleet.complete(heartbeat(&instance, 1, Draining), COMMAND_TIMEOUT_WITH_FAULTS_MS);
        assert_eq!(answer.status, StatusCode::OK);
        self.departed.push(instance);
    }

    fn wait_for(&mut self, attempts: Vec<usize>) {
        let end = self.fleet.cluster.now() + COMMAND_TIMEOUT_WITH_FAULTS_MS;
        while attempts.iter().any(|attempt| self.fleet.attempts[*attempt].answered.is_none()) {
            assert!(self.fleet.cluster.now() < end, "an operator gets no answer");
            self.fleet.pass(50);
        }
    }

    /// Restarts all controllers at once; afterwards every one has all acknowledged changes.
    fn verify_after_power_loss(&mut self) {
        for number in 1..=5 {
            self.fleet.cluster.stop(endpoint(number));
        }
        for number in 1..=5 {
            self.fleet.cluster.start(endpoint(number));
        }
        self.fleet.pass(8_000);
        let (_, generation, body) = self.acknowledged.last().expect("something was acknowledged").clone();
        for number in 1..=5 {
            let answer = self.fleet.ask(endpoint(number), Call::Fetch).expect("a read is answered");
            assert_eq!(answer.body, body, "generation {generation} at controller {number}");
            self.verify_balancer(number);
        }
    }

    fn verify_balancer(&mut self, number: u8) {
        let subscriber = SubscriberId(100 + u64::from(number));
        self.fleet.report(endpoint(number), subscriber.0, report(number, "zone-a"));
        self.fleet.pass(100);
        let expected: Vec<String> = self
            .evacuated
            .iter()
            .filter(|(_, evacuated)| **evacuated)
            .map(|(zone, _)| zone.clone())
            .collect();
        assert_eq!(evacuated_zones(&self.fleet, subscriber), Some(expected), "controller {number}");
        for instance in &self.departed {
            let process = self.fleet.cluster.process(endpoint(number)).expect("it runs");
            assert!(process.controller.has_departed(instance), "{instance} at controller {number}");
        }
    }
}

#[test]
fn acknowledged_commands_survive_random_faults() {
    for seed in 0..24 {
        let mut run = Run::new(1_000 + seed);
        run.run(12);
        run.verify_after_power_loss();
    }
}
