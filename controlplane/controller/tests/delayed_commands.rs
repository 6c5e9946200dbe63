//! Delayed commands, which arrive after later commands were acknowledged.

mod common;

use std::net::SocketAddr;

use common::fleet::{Fleet, endpoint};
use common::*;
use http::StatusCode;
use whinspindle_controller::api::Call;
use whinspindle_distribution::SubscriberId;

/// A caller's command is answered within this time wherever it goes.
const ANSWER_MS: u64 = 1_000;
/// The core is calm again within this time after a cut.
const CALM_MS: u64 = 8_000;
/// All that was under way has come through, or was given up.
const STARTUP_MS: u64 = 6_000;

/// Links that are cut let everything through once they are healed.
fn started(seed: u64, controllers: u8) -> Fleet {
    let mut fleet = Fleet::start(seed, controllers);
    fleet.cluster.network().timing.held_by_cut = 1.0;
    fleet
}

/// A controller of the chain that isn't its head.
fn follower(fleet: &mut Fleet) -> SocketAddr {
    fleet.chain(endpoint(1))[1]
}

/// A controller outside of the chain, which goes on without it.
fn outsider(fleet: &mut Fleet) -> SocketAddr {
    let chain = fleet.chain(endpoint(1));
    (1..=5).map(endpoint).find(|at| !chain.contains(at)).expect("three of five are in the chain")
}

fn status(fleet: &mut Fleet, at: SocketAddr, call: Call) -> StatusCode {
    fleet.ask(at, call).expect("an answer in time").status
}

/// The evacuated zones that the balancers of all controllers have in the end.
fn evacuated_zones(fleet: &mut Fleet) -> Vec<String> {
    let mut told = Vec::new();
    for number in 1..=3 {
        let subscriber = 50 + u64::from(number);
        fleet.report(endpoint(number), subscriber, report(number, "zone-a"));
        fleet.pass(100);
        let mut sent = fleet.updates.iter().rev().filter(|(to, _)| *to == SubscriberId(subscriber));
        let zones = sent.find_map(|(_, update)| Some(update.evacuations.as_ref()?.zones.clone()));
        told.push(zones.unwrap_or_default());
    }
    assert!(told.iter().all(|zones| *zones == told[0]), "controllers disagree: {told:?}");
    told.remove(0)
}

/// A command gets no clear answer at a partitioned controller; elsewhere its opposite is acknowledged, which is what
/// is in place already; then the links are healed.
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
        fleet.pass(CALM_MS);
        let (_, answer) = fleet.attempts[opposite].answered.clone().expect("an answer");
        assert_eq!(answer.status, StatusCode::OK, "seed {seed}");
        assert_eq!(evacuated_zones(&mut fleet).is_empty(), evacuated, "seed {seed}: the copy was taken");
    }
}

/// A command reaches the head late, though before its deadline; its caller has been acknowledged elsewhere, and so has
/// the opposite command since.
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
        fleet.pass(STARTUP_MS);
        assert_eq!(evacuated_zones(&mut fleet), Vec::<String>::new(), "seed {seed}: the command was renewed");
    }
}

/// A command on a base that is not in place yet is delayed at one controller and answered at another; its base comes, and
/// then the copy. Had the answer been a refusal, a refused configuration would be in force.
#[test]
fn configuration_that_a_duplicate_may_still_apply_is_not_refused() {
    let mut brought = 0;
    for seed in 0..12 {
        let mut fleet = started(380 + seed, 5);
        assert_eq!(fleet.complete(replace(0, 1), ANSWER_MS).status, StatusCode::OK);
        let at = outsider(&mut fleet);
        let head = fleet.chain(endpoint(1))[0];
        fleet.set_partitioned(at, true);
        let held_up = fleet.begin_at(at, replace(2, 3));
        fleet.abandon(held_up);
        let early = status(&mut fleet, head, replace(2, 3));
        assert_eq!(early, StatusCode::SERVICE_UNAVAILABLE, "seed {seed}: its base may come");
        assert_eq!(status(&mut fleet, head, replace(1, 2)), StatusCode::OK);
        fleet.set_partitioned(at, false);
        fleet.pass(CALM_MS);
        let newest = fleet.complete(Call::Fetch, ANSWER_MS).body;
        brought += usize::from(newest == configuration(3));
        assert_eq!(status(&mut fleet, endpoint(1), replace(2, 3)), StatusCode::OK, "seed {seed}");
        assert_eq!(fleet.complete(Call::Fetch, ANSWER_MS).body, configuration(3));
    }
    assert!(brought > 0, "no copy came through");
}

/// A configuration was clearly refused at one controller while a copy of it was delayed at another.
#[test]
fn duplicate_of_a_refused_configuration_is_not_applied() {
    for seed in 0..12 {
        let mut fleet = started(400 + seed, 5);
        assert_eq!(fleet.complete(replace(0, 1), ANSWER_MS).status, StatusCode::OK);
        let at = outsider(&mut fleet);
        let head = fleet.chain(endpoint(1))[0];
        fleet.set_partitioned(at, true);
        let held_up = fleet.begin_at(at, replace(1, 4));
        fleet.abandon(held_up);
        assert_eq!(status(&mut fleet, head, replace(1, 3)), StatusCode::OK, "seed {seed}");
        assert_eq!(status(&mut fleet, head, replace(1, 4)), StatusCode::PRECONDITION_FAILED, "seed {seed}");
        fleet.set_partitioned(at, false);
        fleet.pass(CALM_MS);
        for number in 1..=5 {
            let newest = fleet.ask(endpoint(number), Call::Fetch).expect("an answer").body;
            assert_eq!(newest, configuration(3), "seed {seed}");
        }
    }
}

/// A command that was acknowledged and superseded is delayed once more at a controller that was partitioned.
#[test]
fn duplicate_of_a_superseded_configuration_is_not_applied() {
    for seed in 0..12 {
        let mut fleet = started(420 + seed, 3);
        let at = follower(&mut fleet);
        fleet.set_partitioned(at, true);
        let held_up = fleet.begin_at(at, replace(0, 1));
        fleet.abandon(held_up);
        for generation in 1..=3 {
            assert_eq!(fleet.complete(replace(generation - 1, generation), CALM_MS).status, StatusCode::OK);
        }
        fleet.set_partitioned(at, false);
        fleet.pass(CALM_MS);
        for number in 1..=3 {
            let newest = fleet.ask(endpoint(number), Call::Fetch).expect("an answer").body;
            assert_eq!(newest, configuration(3), "seed {seed}");
            assert_eq!(status(&mut fleet, endpoint(number), replace(0, 1)), StatusCode::OK, "it was taken");
        }
    }
}

/// More changes than the history and the kept outcomes hold, with checkpoints in between and a restart of all after
/// them.
#[test]
fn applied_command_is_not_refused_after_hundreds_of_changes_and_a_restart() {
    let mut fleet = started(460, 3);
    for generation in 1..=530 {
        assert_eq!(fleet.complete(replace(generation - 1, generation), ANSWER_MS).status, StatusCode::OK);
    }
    (1..=3).for_each(|number| fleet.restart(endpoint(number)));
    fleet.pass(CALM_MS);
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
