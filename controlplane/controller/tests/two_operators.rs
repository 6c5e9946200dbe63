//! Two operators send changes on the same base, with every kind of fault at every time offset. One change is
//! confirmed, also on every retry at any controller, and the other one is never applied.

mod common;

use std::net::SocketAddr;

use common::fleet::{Fleet, endpoint};
use common::operators::{Change, FAULT_MS, Fault, OutcomeChecker};
use common::*;
use http::StatusCode;

const CONTROLLERS: u8 = 3;
/// Without faults a chain of three completes a command within this time; faults begin at offsets up to it.
const MAX_COMMAND_MS: u64 = 60;
const OFFSET_STEP_MS: usize = 2;
/// A command gets a definite answer within this time after a fault.
const COMMAND_TIMEOUT_WITH_FAULTS_MS: u64 = 15_000;
/// Controllers form a quorum within this time after all have started.
const START_MS: u64 = 4_000;

fn all_controllers() -> impl Iterator<Item = SocketAddr> {
    (1..=CONTROLLERS).map(endpoint)
}

fn started(seed: u64) -> Fleet {
    let mut fleet = Fleet::start(seed, CONTROLLERS);
    for number in 1..=CONTROLLERS {
        fleet.report(endpoint(number), u64::from(number), report(number, "zone-a"));
    }
    assert_eq!(fleet.complete(replace(0, 1), MAX_COMMAND_MS).status, StatusCode::OK);
    fleet
}

fn wait_for(fleet: &mut Fleet, attempts: &[usize]) -> Vec<StatusCode> {
    let end = fleet.cluster.now() + COMMAND_TIMEOUT_WITH_FAULTS_MS;
    while attempts.iter().any(|attempt| fleet.attempts[*attempt].answered.is_none()) {
        assert!(fleet.cluster.now() < end, "an operator gets no answer");
        fleet.pass(20);
    }
    let status = |attempt: &usize| fleet.attempts[*attempt].answered.as_ref().expect("an answer").1.status;
    attempts.iter().map(status).collect()
}

fn lose_power(fleet: &mut Fleet) {
    all_controllers().for_each(|at| fleet.cluster.stop(at));
    all_controllers().for_each(|at| fleet.cluster.start(at));
    fleet.pass(START_MS);
    for number in 1..=CONTROLLERS {
        fleet.report(endpoint(number), 10 + u64::from(number), report(number, "zone-a"));
    }
    fleet.pass(100);
}

/// Sends two commands on the same base, with equal or different generations, to the first two or the last two
/// members of the chain, and injects a fault at a member of the chain.
fn race(seed: u64, fault: Fault, chain_index: usize, offset_ms: u64) {
    let mut fleet = started(seed);
    let chain = fleet.chain(endpoint(1));
    let at = chain[chain_index];
    let (one_at, other_at) = if seed.is_multiple_of(2) { (chain[0], chain[1]) } else { (chain[1], chain[2]) };
    let changes =
        [Change::new(1, 2, "one"), Change::new(1, 2 + offset_ms / OFFSET_STEP_MS as u64 % 2, "other")];
    let attempts = [fleet.begin_at(one_at, changes[0].call()), fleet.begin_at(other_at, changes[1].call())];
    fleet.pass(offset_ms);
    fault.begin(&mut fleet, at);
    fleet.pass(FAULT_MS);
    fault.end(&mut fleet, at);
    let statuses = wait_for(&mut fleet, &attempts);

    let mut checker = OutcomeChecker::default();
    changes.iter().zip(&statuses).for_each(|(change, status)| checker.record_answer(change, *status));
    let winner = usize::from(statuses[0] != StatusCode::OK);
    assert_eq!(statuses[winner], StatusCode::OK, "one is confirmed");
    assert_eq!(statuses[1 - winner], StatusCode::PRECONDITION_FAILED, "the other is refused");

    fleet.pass(2 * FAULT_MS);
    checker.send_to_all(&mut fleet, &changes[winner], StatusCode::OK);
    lose_power(&mut fleet);
    checker.send_to_all(&mut fleet, &changes[winner], StatusCode::OK);
    checker.send_to_all(&mut fleet, &changes[1 - winner], StatusCode::PRECONDITION_FAILED);
    let current = changes[winner].generation;
    checker.send_to_all(&mut fleet, &Change::new(current, current + 1, "next"), StatusCode::OK);
    checker.send_to_all(&mut fleet, &changes[winner], StatusCode::OK);
    checker.send_to_all(&mut fleet, &changes[1 - winner], StatusCode::PRECONDITION_FAILED);
    checker.check_published(&fleet);
}

fn race_at_every_offset(fault: Fault) {
    for offset_ms in (0..MAX_COMMAND_MS).step_by(OFFSET_STEP_MS) {
        for chain_index in 0..usize::from(CONTROLLERS) {
            let seed = 100 + offset_ms + chain_index as u64;
            race(seed, fault, chain_index, offset_ms);
        }
    }
}

#[test]
fn one_of_two_is_confirmed_where_a_controller_is_killed() {
    race_at_every_offset(Fault::Kill);
}

#[test]
fn one_of_two_is_confirmed_where_a_controller_is_partitioned() {
    race_at_every_offset(Fault::Partition);
}

#[test]
fn one_of_two_is_confirmed_with_a_one_way_partition() {
    race_at_every_offset(Fault::OneWayPartition);
}

#[test]
fn one_of_two_is_confirmed_where_a_controller_is_frozen() {
    race_at_every_offset(Fault::Freeze);
}

#[test]
fn one_of_two_is_confirmed_where_a_disk_is_lost() {
    race_at_every_offset(Fault::Wipe);
}

#[test]
fn one_of_two_is_confirmed_where_a_disk_stalls() {
    race_at_every_offset(Fault::StalledDisk);
}

#[test]
fn one_of_two_is_confirmed_where_all_controllers_lose_power() {
    race_at_every_offset(Fault::PowerLoss);
}

#[test]
fn one_of_two_is_confirmed_where_answers_are_lost() {
    race_at_every_offset(Fault::LostAnswers);
}
