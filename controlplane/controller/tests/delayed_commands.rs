//! Delayed commands, which arrive after later commands were acknowledged.

mod common;

use std::net::SocketAddr;

use common::fleet::{Fleet, endpoint};
use common::*;
use http::StatusCode;
use whinspindle_controller::api::Call;
use whinspindle_distribution::SubscriberId;

/// Every controller answers a command within this time.
const ANSWER_MS: u64 = 1_000;
/// The controllers have recovered within this time after a partition.
const RECOVERY_MS: u64 = 8_000;
/// Delayed messages and pending commands are delivered or given up within this time.
const DELIVERY_MS: u64 = 6_000;

/// Starts controllers on a network that delays the messages on a cut link until the link is healed.
fn started(seed: u64, controllers: u8) -> Fleet {
    let mut fleet = Fleet::start(seed, controllers);
    fleet.cluster.network().timing.held_ratio = 1.0;
    fleet
}

/// Returns a controller of the chain that isn't its head.
fn follower(fleet: &mut Fleet) -> SocketAddr {
    fleet.chain(endpoint(1))[1]
}

/// Returns a controller outside of the chain, so that a partition of it doesn't stop the chain.
fn controller_outside_the_chain(fleet: &mut Fleet) -> SocketAddr {
    let chain = fleet.chain(endpoint(1));
    (1..=5).map(endpoint).find(|at| !chain.contains(at)).expect("three of five are in the chain")
}

fn status(fleet: &mut Fleet, at: SocketAddr, call: Call) -> StatusCode {
    fleet.ask(at, call).expect("an answer in time").status
}

/// Returns the evacuated zones that every controller publishes to its balancers.
fn evacuated_zones(fleet: &mut Fleet) -> Vec<String> {
    let mut published = Vec::new();
    for number in 1..=3 {
        let subscriber = 50 + u64::from(number);
        fleet.report(endpoint(number), subscriber, report(number, "zone-a"));
        fleet.pass(100);
        let mut sent = fleet.updates.iter().rev().filter(|(to, _)| *to == SubscriberId(subscriber));
        let zones = sent.find_map(|(_, update)| Some(update.evacuations.as_ref()?.zones.clone()));
        published.push(zones.unwrap_or_default());
    }
    assert!(published.iter().all(|zones| *zones == published[0]), "controllers disagree: {published:?}");
    published.remove(0)
}

/// A partitioned controller gives no definite answer to a command. Another controller acknowledges the
/// opposite command, which matches the current state, and then the links are healed.
#[test]
fn duplicate_evacuation_command_does_not_undo_a_later_one() {
    for (seed, evacuated) in (0..12).flat_map(|seed| [(seed, true), (seed, false)]) {
        let mut fleet = started(300 + seed, 3);
        let at = follower(&mut fleet);
        let elsewhere = fleet.chain(endpoint(1))[0];
        assert_eq!(status(&mut fleet, elsewhere, evacuate("zone-a", !evacuated)), StatusCode::OK);
        fleet.pass(500);
        fleet.set_partitioned(at, true);
        let answer = status(&mut fleet, at, evacuate("zone-a", evacuated));
        assert_eq!(answer, StatusCode::SERVICE_UNAVAILABLE, "seed {seed}");
        let opposite = fleet.begin_at(elsewhere, evacuate("zone-a", !evacuated));
        fleet.pass(ANSWER_MS + 500);
        fleet.set_partitioned(at, false);
        fleet.pass(RECOVERY_MS);
        let (_, answer) = fleet.attempts[opposite].answered.clone().expect("an answer");
        assert_eq!(answer.status, StatusCode::OK, "seed {seed}");
        assert_eq!(evacuated_zones(&mut fleet).is_empty(), evacuated, "seed {seed}: the copy was applied");
    }
}

/// A delayed command reaches the head before its deadline. Meanwhile another controller has acknowledged the
/// same command to its caller, and then the opposite command.
#[test]
fn evacuation_command_is_not_resubmitted_after_its_caller_has_moved_on() {
    for seed in 0..12 {
        let mut fleet = started(340 + seed, 3);
        let at = follower(&mut fleet);
        let head = fleet.chain(endpoint(1))[0];
        fleet.cluster.cut(at, head);
        let first = fleet.begin_at(at, evacuate("zone-a", true));
        fleet.abandon(first);
        fleet.pass(200);
        assert_eq!(status(&mut fleet, head, evacuate("zone-a", true)), StatusCode::OK, "seed {seed}");
        assert_eq!(status(&mut fleet, head, evacuate("zone-a", false)), StatusCode::OK, "seed {seed}");
        fleet.pass(650 - fleet.since(first));
        fleet.cluster.heal(at, head);
        fleet.pass(DELIVERY_MS);
        assert_eq!(
            evacuated_zones(&mut fleet),
            Vec::<String>::new(),
            "seed {seed}: the command was resubmitted"
        );
    }
}

/// Guards against: a controller that wakes from a pause takes an evacuation command that was sent before for a
/// new one and undoes the opposite command, which another controller has acknowledged since.
#[test]
fn evacuation_command_read_after_a_pause_does_not_undo_a_later_one() {
    let pauses = [1_300, 2_000, 3_400, 8_000, 20_000];
    let read_after = [0, 20, 90, 400, 900];
    let mut read_copies = 0;
    for (seed, (pause_ms, read_after_ms)) in (500..).zip(pairs(&pauses, &read_after)) {
        for evacuated in [true, false] {
            read_copies += usize::from(read_after_a_pause(seed, evacuated, pause_ms, read_after_ms));
        }
    }
    assert!(read_copies > 30, "only {read_copies} copies were read after the opposite command");
}

fn pairs(one: &[u64], other: &[u64]) -> Vec<(u64, u64)> {
    one.iter().flat_map(|first| other.iter().map(|second| (*first, *second))).collect()
}

/// Pauses a controller while a command is on its way to it, and has another controller acknowledge the same
/// command and the opposite one. Returns whether both were acknowledged during the pause.
fn read_after_a_pause(seed: u64, evacuated: bool, pause_ms: u64, read_after_ms: u64) -> bool {
    let mut fleet = started(seed, 3);
    let chain = fleet.chain(endpoint(1));
    let at = chain[seed as usize % chain.len()];
    let elsewhere = (1..=3).map(endpoint).find(|other| *other != at).expect("three controllers");
    assert_eq!(status(&mut fleet, elsewhere, evacuate("zone-a", !evacuated)), StatusCode::OK);
    fleet.pass(500);
    let woken_at = fleet.cluster.now() + pause_ms;
    fleet.cluster.freeze(at, woken_at);
    for state in [evacuated, !evacuated] {
        fleet.complete(evacuate("zone-a", state), RECOVERY_MS);
    }
    if fleet.cluster.now() >= woken_at {
        return false;
    }
    fleet.pass(woken_at + read_after_ms - fleet.cluster.now());
    let answer = status(&mut fleet, at, evacuate("zone-a", evacuated));
    let case = format!("seed {seed}: {evacuated}, read {read_after_ms} ms after {pause_ms} ms");
    assert_eq!(answer, StatusCode::SERVICE_UNAVAILABLE, "{case}");
    fleet.pass(RECOVERY_MS);
    assert_eq!(evacuated_zones(&mut fleet).is_empty(), evacuated, "{case}: the copy was applied");
    true
}

/// Guards against: a command that a link has delayed is taken for a new one, though its caller has moved on,
/// and whether or not the end of its connection has arrived. So is the confirmation of such a command.
#[test]
fn evacuation_command_delayed_by_a_link_does_not_undo_a_later_one() {
    for (seed, evacuated) in (600..612).flat_map(|seed| [(seed, true), (seed, false)]) {
        let mut fleet = started(seed, 3);
        let chain = fleet.chain(endpoint(1));
        let (at, elsewhere) = (chain[seed as usize % 3], chain[(seed as usize + 1) % 3]);
        assert_eq!(status(&mut fleet, elsewhere, evacuate("zone-a", !evacuated)), StatusCode::OK);
        fleet.pass(500);
        let first = fleet.ask_once(at, evacuate("zone-a", evacuated)).expect("an answer in time");
        let confirmed = redirected_call(&first).expect("the zone has changed a moment ago");
        for state in [evacuated, !evacuated] {
            assert_eq!(status(&mut fleet, elsewhere, evacuate("zone-a", state)), StatusCode::OK);
        }
        for delay_ms in [0, 150, 4_000] {
            fleet.pass(delay_ms);
            for delayed in [evacuate("zone-a", evacuated), confirmed.clone()] {
                let answer = fleet.ask_once(at, delayed).expect("an answer in time").status;
                assert_eq!(answer, StatusCode::TEMPORARY_REDIRECT, "seed {seed}, {delay_ms} ms");
            }
        }
        fleet.pass(RECOVERY_MS);
        assert_eq!(evacuated_zones(&mut fleet).is_empty(), evacuated, "seed {seed}: the copy was applied");
    }
}

/// A command whose base is not yet applied is delayed at one controller and answered by another one. Then the
/// base is applied, and the delayed copy after it. If the answer had been a refusal, a refused configuration
/// would be in force.
#[test]
fn configuration_that_a_delayed_copy_may_apply_is_not_refused() {
    let mut applied_copies = 0;
    for seed in 0..12 {
        let mut fleet = started(380 + seed, 5);
        assert_eq!(fleet.complete(replace(0, 1), ANSWER_MS).status, StatusCode::OK);
        let at = controller_outside_the_chain(&mut fleet);
        let head = fleet.chain(endpoint(1))[0];
        fleet.set_partitioned(at, true);
        let delayed = fleet.begin_at(at, replace(2, 3));
        fleet.abandon(delayed);
        let early = status(&mut fleet, head, replace(2, 3));
        assert_eq!(early, StatusCode::SERVICE_UNAVAILABLE, "seed {seed}: its base may still be applied");
        assert_eq!(status(&mut fleet, head, replace(1, 2)), StatusCode::OK);
        fleet.set_partitioned(at, false);
        fleet.pass(RECOVERY_MS);
        let newest = fleet.complete(Call::Fetch, ANSWER_MS).body;
        applied_copies += usize::from(newest == configuration(3));
        assert_eq!(status(&mut fleet, endpoint(1), replace(2, 3)), StatusCode::OK, "seed {seed}");
        assert_eq!(fleet.complete(Call::Fetch, ANSWER_MS).body, configuration(3));
    }
    assert!(applied_copies > 0, "no delayed copy was applied");
}

/// One controller refuses a configuration while a copy of it is delayed at another controller.
#[test]
fn duplicate_of_a_refused_configuration_is_not_applied() {
    for seed in 0..12 {
        let mut fleet = started(400 + seed, 5);
        assert_eq!(fleet.complete(replace(0, 1), ANSWER_MS).status, StatusCode::OK);
        let at = controller_outside_the_chain(&mut fleet);
        let head = fleet.chain(endpoint(1))[0];
        fleet.set_partitioned(at, true);
        let delayed = fleet.begin_at(at, replace(1, 4));
        fleet.abandon(delayed);
        assert_eq!(status(&mut fleet, head, replace(1, 3)), StatusCode::OK, "seed {seed}");
        assert_eq!(status(&mut fleet, head, replace(1, 4)), StatusCode::PRECONDITION_FAILED, "seed {seed}");
        fleet.set_partitioned(at, false);
        fleet.pass(RECOVERY_MS);
        for number in 1..=5 {
            let newest = fleet.ask(endpoint(number), Call::Fetch).expect("an answer").body;
            assert_eq!(newest, configuration(3), "seed {seed}");
        }
    }
}

/// A copy of an acknowledged command is delayed at a partitioned controller until the command is superseded.
#[test]
fn duplicate_of_a_superseded_configuration_is_not_applied() {
    for seed in 0..12 {
        let mut fleet = started(420 + seed, 3);
        let at = follower(&mut fleet);
        fleet.set_partitioned(at, true);
        let delayed = fleet.begin_at(at, replace(0, 1));
        fleet.abandon(delayed);
        for generation in 1..=3 {
            assert_eq!(
                fleet.complete(replace(generation - 1, generation), RECOVERY_MS).status,
                StatusCode::OK
            );
        }
        fleet.set_partitioned(at, false);
        fleet.pass(RECOVERY_MS);
        for number in 1..=3 {
            let newest = fleet.ask(endpoint(number), Call::Fetch).expect("an answer").body;
            assert_eq!(newest, configuration(3), "seed {seed}");
            assert_eq!(status(&mut fleet, endpoint(number), replace(0, 1)), StatusCode::OK, "it was applied");
        }
    }
}

/// Applies more changes than the history and the stored outcomes hold, with checkpoints in between, and then
/// restarts all controllers.
#[test]
fn applied_command_is_not_refused_after_hundreds_of_changes_and_a_restart() {
    let mut fleet = started(460, 3);
    for generation in 1..=530 {
        assert_eq!(fleet.complete(replace(generation - 1, generation), ANSWER_MS).status, StatusCode::OK);
    }
    (1..=3).for_each(|number| fleet.restart(endpoint(number)));
    fleet.pass(RECOVERY_MS);
    for number in 1..=3 {
        let at = endpoint(number);
        for generation in [19, 20, 300, 530] {
            assert_eq!(status(&mut fleet, at, replace(generation - 1, generation)), StatusCode::OK);
        }
        for generation in [1, 18] {
            let answer = status(&mut fleet, at, replace(generation - 1, generation));
            assert_eq!(answer, StatusCode::SERVICE_UNAVAILABLE, "generation {generation}");
        }
        assert_eq!(status(&mut fleet, at, replace(400, 531)), StatusCode::PRECONDITION_FAILED);
        assert_eq!(fleet.ask(at, Call::Fetch).expect("an answer").body, configuration(530));
    }
}
