//! Selection of the link, without and with faults.

mod common;

use common::{Controller, Harness, Mode, controller, endpoint};
use quickcheck::quickcheck;
use whinspindle_agent::Input;

/// The longest time without a link after one was lost while another controller is healthy.
const RELINK_MS: u64 = 1_500;
/// The agent moves away from a silent controller after about a second.
const SILENCE_MS: u64 = 1_000;

fn three() -> Vec<(u8, Controller)> {
    vec![(1, controller("a", "north")), (2, controller("b", "north")), (3, controller("c", "south"))]
}

fn linked(controllers: &[(u8, Controller)]) -> Harness {
    let mut harness = Harness::new(controllers, &[1, 2, 3], 1);
    harness.run_until(8_000);
    assert_eq!(harness.linked_to(), [endpoint(1)]);
    harness
}

quickcheck! {
    fn the_controller_of_the_own_zone_becomes_the_link(incarnation: u64) -> bool {
        let mut harness = Harness::new(&three(), &[1, 2, 3], incarnation);
        harness.run_until(200);
        let soon = harness.linked_to().len() == 1;
        harness.run_until(8_000);
        soon && harness.linked_to() == [endpoint(1)] && !harness.lost_link()
    }

    fn with_any_controllers_down_another_becomes_the_link_soon(down: u8, silent: bool, incarnation: u64) -> bool {
        let controllers: Vec<_> = (1..=5).map(|number| (number, controller("z", "south"))).collect();
        let mut harness = Harness::new(&controllers, &[1, 2, 3], incarnation);
        harness.run_until(4_000);
        let well = down % 5 + 1;
        let before = harness.linked_to();
        for number in (1..=5).filter(|&number| number != well) {
            harness.set_mode(number, if silent { Mode::Silent } else { Mode::Down });
        }
        harness.run_until(4_000 + SILENCE_MS + RELINK_MS);
        before == [endpoint(well)] || harness.links().last() == Some(&endpoint(well))
    }

    fn agents_spread_over_the_controllers_of_the_settings(first: u8) -> bool {
        let firsts: std::collections::HashSet<_> = (0..40)
            .map(|incarnation| {
                let mut harness = Harness::new(&three(), &[1, 2, 3], u64::from(first) * 100 + incarnation);
                harness.run_until(10);
                harness.attempts[0].1
            })
            .collect();
        firsts.len() == 3
    }
}

#[test]
fn controllers_that_start_late_are_reached() {
    let controllers = three();
    let mut harness = Harness::new(&controllers, &[1, 2, 3], 1);
    for number in 1..=3 {
        harness.set_mode(number, Mode::Down);
    }
    harness.run_until(3_000);
    assert!(harness.links().is_empty());
    harness.set_mode(3, Mode::Up);
    harness.run_until(4_200);
    assert_eq!(harness.linked_to(), [endpoint(3)]);
}

#[test]
fn a_controller_that_is_not_among_the_seeds_is_learned() {
    let mut harness = Harness::new(&three(), &[3], 1);
    harness.run_until(8_000);
    assert_eq!(harness.links(), [endpoint(3), endpoint(1)]);
    assert!(!harness.lost_link());
}

#[test]
fn learned_controllers_stay_when_the_seeds_are_replaced() {
    let mut harness = linked(&three());
    harness.give(Input::SeedsReloaded(vec![endpoint(9)]));
    harness.set_mode(1, Mode::Down);
    harness.run_until(8_500);
    assert_eq!(harness.linked_to(), [endpoint(2)]);
}

#[test]
fn a_closed_link_is_replaced_at_once() {
    let mut harness = linked(&three());
    harness.set_mode(1, Mode::Down);
    harness.run_until(8_100);
    assert_eq!(harness.linked_to(), [endpoint(2)]);
}

#[test]
fn a_silent_link_is_replaced_before_it_is_given_up() {
    let mut harness = linked(&three());
    harness.set_mode(1, Mode::Silent);
    harness.run_until(8_000 + SILENCE_MS);
    assert_eq!(harness.links().last(), Some(&endpoint(2)));
    assert!(!harness.lost_link());
}

#[test]
fn a_loss_of_the_region_is_tolerated() {
    let mut harness = linked(&three());
    harness.set_mode(1, Mode::Silent);
    harness.set_mode(2, Mode::Silent);
    harness.run_until(8_000 + SILENCE_MS + 500);
    assert_eq!(harness.links().last(), Some(&endpoint(3)));
}

#[test]
fn a_controller_in_shutdown_is_replaced_before_it_ends() {
    let mut harness = linked(&three());
    harness.controller(1).shutting_down = true;
    harness.run_until(8_400);
    assert_eq!(harness.linked_to(), [endpoint(2)]);
    assert!(!harness.lost_link());
}

#[test]
fn a_controller_without_a_quorum_is_replaced_after_a_second() {
    let mut harness = linked(&three());
    harness.controller(1).in_quorum = false;
    harness.run_until(8_900);
    assert_eq!(harness.linked_to(), [endpoint(1)]);
    harness.run_until(9_700);
    assert_eq!(harness.linked_to(), [endpoint(2)]);
    assert!(!harness.lost_link());
}

#[test]
fn a_short_loss_of_the_quorum_does_not_move_the_link() {
    let mut harness = linked(&three());
    harness.controller(1).in_quorum = false;
    harness.run_until(8_500);
    harness.controller(1).in_quorum = true;
    harness.run_until(20_000);
    assert_eq!(harness.links().last(), Some(&endpoint(1)));
    assert_eq!(harness.attempts.iter().filter(|(at, _)| *at > 8_000).count(), 0);
}

#[test]
fn with_no_quorum_anywhere_the_link_stays_and_attempts_are_few() {
    let mut harness = linked(&three());
    for number in 1..=3 {
        harness.controller(number).in_quorum = false;
    }
    harness.run_until(30_000);
    assert_eq!(harness.links().last(), Some(&endpoint(1)));
    assert!(!harness.lost_link());
    let attempts = harness.attempts.iter().filter(|(at, _)| *at > 8_000).count();
    assert!(attempts <= 24, "{attempts} attempts in 22 s");
}

#[test]
fn with_no_quorum_anywhere_at_the_start_the_first_that_gets_one_becomes_the_link() {
    let mut controllers = three();
    for (_, state) in &mut controllers {
        state.in_quorum = false;
    }
    let mut harness = Harness::new(&controllers, &[1, 2, 3], 1);
    harness.run_until(1_000);
    assert_eq!(harness.linked_to().len(), 1);
    let other = if harness.linked_to() == [endpoint(3)] { 2 } else { 3 };
    harness.controller(other).in_quorum = true;
    harness.run_until(3_500);
    assert_eq!(harness.linked_to(), [endpoint(other)]);
    assert!(!harness.lost_link());
}

#[test]
fn the_agent_moves_back_to_its_zone_without_a_gap() {
    let mut harness = linked(&three());
    harness.set_mode(1, Mode::Down);
    harness.run_until(10_000);
    assert_eq!(harness.linked_to(), [endpoint(2)]);
    harness.set_mode(1, Mode::Up);
    harness.notices.clear();
    harness.run_until(16_000);
    assert_eq!(harness.linked_to(), [endpoint(1)]);
    assert!(!harness.lost_link());
}

#[test]
fn a_nearer_controller_that_stays_down_is_tried_rarely() {
    let mut harness = linked(&three());
    harness.set_mode(1, Mode::Silent);
    harness.run_until(10_000);
    harness.attempts.clear();
    harness.run_until(40_000);
    assert!((5..=7).contains(&harness.attempts.len()), "{} attempts", harness.attempts.len());
    assert_eq!(harness.linked_to().last(), Some(&endpoint(2)));
}

#[test]
fn of_two_nearer_controllers_the_reachable_one_becomes_the_link() {
    let mut controllers = three();
    controllers.push((4, controller("a", "north")));
    let mut harness = Harness::new(&controllers, &[3], 1);
    harness.set_mode(1, Mode::Silent);
    harness.run_until(20_000);
    assert_eq!(harness.links().last(), Some(&endpoint(4)));
}

#[test]
fn while_no_controller_is_reached_the_settings_are_read_again() {
    let mut harness = Harness::new(&three(), &[9], 1);
    harness.run_until(9_000);
    assert_eq!(harness.settings_read, [2_000, 4_000, 6_000, 8_000]);
    harness.give(Input::SeedsReloaded(vec![endpoint(1)]));
    harness.run_until(9_500);
    assert_eq!(harness.linked_to(), [endpoint(1)]);
}

#[test]
fn attempts_at_silent_addresses_do_not_delay_the_others() {
    let mut controllers = three();
    for number in 4..=8 {
        controllers.push((number, controller("d", "north")));
    }
    let mut harness = Harness::new(&controllers, &[3], 1);
    harness.run_until(200);
    for number in (1..=8).filter(|&number| number != 2) {
        harness.set_mode(number, Mode::Silent);
    }
    harness.run_until(200 + SILENCE_MS + RELINK_MS);
    assert_eq!(harness.links().last(), Some(&endpoint(2)));
    assert!(harness.linked_at() <= 200 + SILENCE_MS + RELINK_MS);
}

#[test]
fn controllers_that_come_up_together_with_the_agent_are_reached_soon() {
    for started_at in [50, 300, 700, 1_500] {
        let mut harness = Harness::new(&three(), &[1, 2, 3], 1);
        (1..=3).for_each(|number| harness.set_mode(number, Mode::Down));
        harness.run_until(started_at);
        assert!(harness.linked_to().is_empty());
        (1..=3).for_each(|number| harness.set_mode(number, Mode::Up));
        harness.run_until(started_at + 200);
        assert_eq!(harness.linked_to().len(), 1, "started after {started_at} ms");
    }
}
