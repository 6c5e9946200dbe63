//! Link selection with and without faults.

mod common;

use common::{Controller, Harness, Mode, controller, endpoint};
use quickcheck::quickcheck;
use whinspindle_agent::Input;

/// Maximum time to a new link after a loss while another controller is healthy.
const RELINK_MS: u64 = 1_500;
/// Time after which the agent leaves a silent controller.
const SILENCE_MS: u64 = 1_000;

fn three_controllers() -> Vec<(u8, Controller)> {
    vec![(1, controller("a", "north")), (2, controller("b", "north")), (3, controller("c", "south"))]
}

fn linked_harness(controllers: &[(u8, Controller)]) -> Harness {
    let mut harness = Harness::new(controllers, &[1, 2, 3], 1);
    harness.run_until(8_000);
    assert_eq!(harness.connected_controllers(), [endpoint(1)]);
    harness
}

quickcheck! {
    fn the_controller_of_the_own_zone_becomes_the_link(incarnation: u64) -> bool {
        let mut harness = Harness::new(&three_controllers(), &[1, 2, 3], incarnation);
        harness.run_until(200);
        let is_linked_soon = harness.connected_controllers().len() == 1;
        harness.run_until(8_000);
        is_linked_soon && harness.connected_controllers() == [endpoint(1)] && !harness.has_lost_link()
    }

    fn the_only_healthy_controller_becomes_the_link(selector: u8, is_silent: bool, incarnation: u64) -> bool {
        let controllers: Vec<_> = (1..=5).map(|number| (number, controller("z", "south"))).collect();
        let mut harness = Harness::new(&controllers, &[1, 2, 3], incarnation);
        harness.run_until(4_000);
        let healthy = selector % 5 + 1;
        let before = harness.connected_controllers();
        for number in (1..=5).filter(|&number| number != healthy) {
            harness.set_mode(number, if is_silent { Mode::Silent } else { Mode::Down });
        }
        harness.run_until(4_000 + SILENCE_MS + RELINK_MS);
        before == [endpoint(healthy)] || harness.link_history().last() == Some(&endpoint(healthy))
    }

    fn first_attempts_of_agents_spread_over_the_seeds(base: u8) -> bool {
        let first_attempts: std::collections::HashSet<_> = (0..40)
            .map(|incarnation| {
                let mut harness =
                    Harness::new(&three_controllers(), &[1, 2, 3], u64::from(base) * 100 + incarnation);
                harness.run_until(10);
                harness.attempts[0].1
            })
            .collect();
        first_attempts.len() == 3
    }
}

#[test]
fn a_controller_that_starts_later_becomes_the_link() {
    let controllers = three_controllers();
    let mut harness = Harness::new(&controllers, &[1, 2, 3], 1);
    for number in 1..=3 {
        harness.set_mode(number, Mode::Down);
    }
    harness.run_until(3_000);
    assert!(harness.link_history().is_empty());
    harness.set_mode(3, Mode::Up);
    harness.run_until(4_200);
    assert_eq!(harness.connected_controllers(), [endpoint(3)]);
}

#[test]
fn a_listed_controller_outside_the_seeds_becomes_the_link() {
    let mut harness = Harness::new(&three_controllers(), &[3], 1);
    harness.run_until(8_000);
    assert_eq!(harness.link_history(), [endpoint(3), endpoint(1)]);
    assert!(!harness.has_lost_link());
}

#[test]
fn listed_controllers_stay_after_the_seeds_are_replaced() {
    let mut harness = linked_harness(&three_controllers());
    harness.handle_input(Input::SeedsReloaded(vec![endpoint(9)]));
    harness.set_mode(1, Mode::Down);
    harness.run_until(8_500);
    assert_eq!(harness.connected_controllers(), [endpoint(2)]);
}

#[test]
fn a_closed_link_is_replaced_at_once() {
    let mut harness = linked_harness(&three_controllers());
    harness.set_mode(1, Mode::Down);
    harness.run_until(8_100);
    assert_eq!(harness.connected_controllers(), [endpoint(2)]);
}

#[test]
fn a_silent_link_is_replaced_before_it_times_out() {
    let mut harness = linked_harness(&three_controllers());
    harness.set_mode(1, Mode::Silent);
    harness.run_until(8_000 + SILENCE_MS);
    assert_eq!(harness.link_history().last(), Some(&endpoint(2)));
    assert!(!harness.has_lost_link());
}

#[test]
fn the_link_moves_to_another_region_after_a_loss_of_the_region() {
    let mut harness = linked_harness(&three_controllers());
    harness.set_mode(1, Mode::Silent);
    harness.set_mode(2, Mode::Silent);
    harness.run_until(8_000 + SILENCE_MS + 500);
    assert_eq!(harness.link_history().last(), Some(&endpoint(3)));
}

#[test]
fn a_controller_that_shuts_down_is_replaced_before_it_exits() {
    let mut harness = linked_harness(&three_controllers());
    harness.controller(1).shutting_down = true;
    harness.run_until(8_400);
    assert_eq!(harness.connected_controllers(), [endpoint(2)]);
    assert!(!harness.has_lost_link());
}

#[test]
fn a_controller_without_a_quorum_is_replaced_after_a_second() {
    let mut harness = linked_harness(&three_controllers());
    harness.controller(1).in_quorum = false;
    harness.run_until(8_900);
    assert_eq!(harness.connected_controllers(), [endpoint(1)]);
    harness.run_until(9_700);
    assert_eq!(harness.connected_controllers(), [endpoint(2)]);
    assert!(!harness.has_lost_link());
}

#[test]
fn a_short_loss_of_the_quorum_does_not_move_the_link() {
    let mut harness = linked_harness(&three_controllers());
    harness.controller(1).in_quorum = false;
    harness.run_until(8_500);
    harness.controller(1).in_quorum = true;
    harness.run_until(20_000);
    assert_eq!(harness.link_history().last(), Some(&endpoint(1)));
    assert_eq!(harness.attempts.iter().filter(|(at, _)| *at > 8_000).count(), 0);
}

#[test]
fn the_link_stays_while_no_controller_has_a_quorum() {
    let mut harness = linked_harness(&three_controllers());
    for number in 1..=3 {
        harness.controller(number).in_quorum = false;
    }
    harness.run_until(30_000);
    assert_eq!(harness.link_history().last(), Some(&endpoint(1)));
    assert!(!harness.has_lost_link());
    let attempts = harness.attempts.iter().filter(|(at, _)| *at > 8_000).count();
    assert!(attempts <= 24, "{attempts} attempts in 22 s");
}

#[test]
fn the_first_controller_that_gains_a_quorum_becomes_the_link() {
    let mut controllers = three_controllers();
    for (_, state) in &mut controllers {
        state.in_quorum = false;
    }
    let mut harness = Harness::new(&controllers, &[1, 2, 3], 1);
    harness.run_until(1_000);
    assert_eq!(harness.connected_controllers().len(), 1);
    let next = if harness.connected_controllers() == [endpoint(3)] { 2 } else { 3 };
    harness.controller(next).in_quorum = true;
    harness.run_until(3_500);
    assert_eq!(harness.connected_controllers(), [endpoint(next)]);
    assert!(!harness.has_lost_link());
}

#[test]
fn the_agent_returns_to_its_zone_without_losing_the_link() {
    let mut harness = linked_harness(&three_controllers());
    harness.set_mode(1, Mode::Down);
    harness.run_until(10_000);
    assert_eq!(harness.connected_controllers(), [endpoint(2)]);
    harness.set_mode(1, Mode::Up);
    harness.notices.clear();
    harness.run_until(16_000);
    assert_eq!(harness.connected_controllers(), [endpoint(1)]);
    assert!(!harness.has_lost_link());
}

#[test]
fn attempts_to_an_unavailable_nearer_controller_are_rare() {
    let mut harness = linked_harness(&three_controllers());
    harness.set_mode(1, Mode::Silent);
    harness.run_until(10_000);
    harness.attempts.clear();
    harness.run_until(40_000);
    assert!((5..=7).contains(&harness.attempts.len()), "{} attempts", harness.attempts.len());
    assert_eq!(harness.connected_controllers().last(), Some(&endpoint(2)));
}

#[test]
fn the_reachable_one_of_two_nearer_controllers_becomes_the_link() {
    let mut controllers = three_controllers();
    controllers.push((4, controller("a", "north")));
    let mut harness = Harness::new(&controllers, &[3], 1);
    harness.set_mode(1, Mode::Silent);
    harness.run_until(20_000);
    assert_eq!(harness.link_history().last(), Some(&endpoint(4)));
}

#[test]
fn the_settings_are_reloaded_while_no_controller_is_reachable() {
    let mut harness = Harness::new(&three_controllers(), &[9], 1);
    harness.run_until(9_000);
    assert_eq!(harness.settings_read_at, [2_000, 4_000, 6_000, 8_000]);
    harness.handle_input(Input::SeedsReloaded(vec![endpoint(1)]));
    harness.run_until(9_500);
    assert_eq!(harness.connected_controllers(), [endpoint(1)]);
}

#[test]
fn attempts_to_silent_controllers_do_not_delay_other_attempts() {
    let mut controllers = three_controllers();
    for number in 4..=8 {
        controllers.push((number, controller("d", "north")));
    }
    let mut harness = Harness::new(&controllers, &[3], 1);
    harness.run_until(200);
    for number in (1..=8).filter(|&number| number != 2) {
        harness.set_mode(number, Mode::Silent);
    }
    harness.run_until(200 + SILENCE_MS + RELINK_MS);
    assert_eq!(harness.link_history().last(), Some(&endpoint(2)));
    assert!(harness.linked_at() <= 200 + SILENCE_MS + RELINK_MS);
}

#[test]
fn controllers_that_start_shortly_after_the_agent_are_linked_soon() {
    for started_at in [50, 300, 700, 1_500] {
        let mut harness = Harness::new(&three_controllers(), &[1, 2, 3], 1);
        (1..=3).for_each(|number| harness.set_mode(number, Mode::Down));
        harness.run_until(started_at);
        assert!(harness.connected_controllers().is_empty());
        (1..=3).for_each(|number| harness.set_mode(number, Mode::Up));
        harness.run_until(started_at + 200);
        assert_eq!(harness.connected_controllers().len(), 1, "started after {started_at} ms");
    }
}
