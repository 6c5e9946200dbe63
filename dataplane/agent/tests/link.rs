//! Which controller the agent is linked to, in calm and in trouble.

mod common;

use common::{Controller, Mode, World, controller, endpoint};
use quickcheck::quickcheck;
use whinspindle_agent::Input;

/// The longest time without a link after one was lost while another controller is well.
const RELINK_MS: u64 = 1_500;
/// The agent moves away from a silent controller after about a second.
const SILENCE_MS: u64 = 1_000;

fn three() -> Vec<(u8, Controller)> {
    vec![(1, controller("a", "north")), (2, controller("b", "north")), (3, controller("c", "south"))]
}

fn linked(controllers: &[(u8, Controller)]) -> World {
    let mut world = World::new(controllers, &[1, 2, 3], 1);
    world.run_until(8_000);
    assert_eq!(world.linked_to(), [endpoint(1)]);
    world
}

quickcheck! {
    fn the_link_comes_to_stand_with_the_controller_of_the_own_zone(incarnation: u64) -> bool {
        let mut world = World::new(&three(), &[1, 2, 3], incarnation);
        world.run_until(200);
        let soon = world.linked_to().len() == 1;
        world.run_until(8_000);
        soon && world.linked_to() == [endpoint(1)] && !world.lost_link()
    }

    fn whichever_controllers_are_down_the_link_stands_soon_with_another(down: u8, silent: bool, incarnation: u64) -> bool {
        let controllers: Vec<_> = (1..=5).map(|number| (number, controller("z", "south"))).collect();
        let mut world = World::new(&controllers, &[1, 2, 3], incarnation);
        world.run_until(4_000);
        let well = down % 5 + 1;
        let before = world.linked_to();
        for number in (1..=5).filter(|&number| number != well) {
            world.set_mode(number, if silent { Mode::Silent } else { Mode::Down });
        }
        world.run_until(4_000 + SILENCE_MS + RELINK_MS);
        before == [endpoint(well)] || world.links().last() == Some(&endpoint(well))
    }

    fn agents_spread_over_the_controllers_of_the_settings(first: u8) -> bool {
        let firsts: std::collections::HashSet<_> = (0..40)
            .map(|incarnation| {
                let mut world = World::new(&three(), &[1, 2, 3], u64::from(first) * 100 + incarnation);
                world.run_until(10);
                world.attempts[0].1
            })
            .collect();
        firsts.len() == 3
    }
}

#[test]
fn controllers_that_start_late_are_reached() {
    let controllers = three();
    let mut world = World::new(&controllers, &[1, 2, 3], 1);
    for number in 1..=3 {
        world.set_mode(number, Mode::Down);
    }
    world.run_until(3_000);
    assert!(world.links().is_empty());
    world.set_mode(3, Mode::Up);
    world.run_until(4_200);
    assert_eq!(world.linked_to(), [endpoint(3)]);
}

#[test]
fn a_controller_that_is_not_among_the_seeds_is_learned() {
    let mut world = World::new(&three(), &[3], 1);
    world.run_until(8_000);
    assert_eq!(world.links(), [endpoint(3), endpoint(1)]);
    assert!(!world.lost_link());
}

#[test]
fn the_learned_controllers_stay_when_the_seeds_are_exchanged() {
    let mut world = linked(&three());
    world.give(Input::Seeds(vec![endpoint(9)]));
    world.set_mode(1, Mode::Down);
    world.run_until(8_500);
    assert_eq!(world.linked_to(), [endpoint(2)]);
}

#[test]
fn a_closed_link_is_replaced_at_once() {
    let mut world = linked(&three());
    world.set_mode(1, Mode::Down);
    world.run_until(8_100);
    assert_eq!(world.linked_to(), [endpoint(2)]);
}

#[test]
fn a_silent_link_is_replaced_before_it_is_given_up() {
    let mut world = linked(&three());
    world.set_mode(1, Mode::Silent);
    world.run_until(8_000 + SILENCE_MS);
    assert_eq!(world.links().last(), Some(&endpoint(2)));
    assert!(!world.lost_link());
}

#[test]
fn a_loss_of_the_region_is_borne() {
    let mut world = linked(&three());
    world.set_mode(1, Mode::Silent);
    world.set_mode(2, Mode::Silent);
    world.run_until(8_000 + SILENCE_MS + 500);
    assert_eq!(world.links().last(), Some(&endpoint(3)));
}

#[test]
fn a_controller_that_leaves_is_left_before_it_ends() {
    let mut world = linked(&three());
    world.controller(1).shutting_down = true;
    world.run_until(8_400);
    assert_eq!(world.linked_to(), [endpoint(2)]);
    assert!(!world.lost_link());
}

#[test]
fn a_controller_without_a_quorum_is_left_after_a_second() {
    let mut world = linked(&three());
    world.controller(1).in_quorum = false;
    world.run_until(8_900);
    assert_eq!(world.linked_to(), [endpoint(1)]);
    world.run_until(9_700);
    assert_eq!(world.linked_to(), [endpoint(2)]);
    assert!(!world.lost_link());
}

#[test]
fn a_short_loss_of_the_quorum_moves_nothing() {
    let mut world = linked(&three());
    world.controller(1).in_quorum = false;
    world.run_until(8_500);
    world.controller(1).in_quorum = true;
    world.run_until(20_000);
    assert_eq!(world.links().last(), Some(&endpoint(1)));
    assert_eq!(world.attempts.iter().filter(|(at, _)| *at > 8_000).count(), 0);
}

#[test]
fn with_no_quorum_anywhere_the_link_stays_and_attempts_are_few() {
    let mut world = linked(&three());
    for number in 1..=3 {
        world.controller(number).in_quorum = false;
    }
    world.run_until(30_000);
    assert_eq!(world.links().last(), Some(&endpoint(1)));
    assert!(!world.lost_link());
    let attempts = world.attempts.iter().filter(|(at, _)| *at > 8_000).count();
    assert!(attempts <= 24, "{attempts} attempts in 22 s");
}

#[test]
fn with_no_quorum_anywhere_at_the_start_the_first_that_gets_one_is_taken() {
    let mut controllers = three();
    for (_, state) in &mut controllers {
        state.in_quorum = false;
    }
    let mut world = World::new(&controllers, &[1, 2, 3], 1);
    world.run_until(1_000);
    assert_eq!(world.linked_to().len(), 1);
    let other = if world.linked_to() == [endpoint(3)] { 2 } else { 3 };
    world.controller(other).in_quorum = true;
    world.run_until(3_500);
    assert_eq!(world.linked_to(), [endpoint(other)]);
    assert!(!world.lost_link());
}

#[test]
fn the_agent_moves_back_to_its_zone_without_a_gap() {
    let mut world = linked(&three());
    world.set_mode(1, Mode::Down);
    world.run_until(10_000);
    assert_eq!(world.linked_to(), [endpoint(2)]);
    world.set_mode(1, Mode::Up);
    world.notices.clear();
    world.run_until(16_000);
    assert_eq!(world.linked_to(), [endpoint(1)]);
    assert!(!world.lost_link());
}

#[test]
fn a_nearer_controller_that_stays_down_is_tried_rarely() {
    let mut world = linked(&three());
    world.set_mode(1, Mode::Silent);
    world.run_until(10_000);
    world.attempts.clear();
    world.run_until(40_000);
    assert!((5..=7).contains(&world.attempts.len()), "{} attempts", world.attempts.len());
    assert_eq!(world.linked_to().last(), Some(&endpoint(2)));
}

#[test]
fn of_two_nearer_controllers_the_one_that_works_is_found() {
    let mut controllers = three();
    controllers.push((4, controller("a", "north")));
    let mut world = World::new(&controllers, &[3], 1);
    world.set_mode(1, Mode::Silent);
    world.run_until(20_000);
    assert_eq!(world.links().last(), Some(&endpoint(4)));
}

#[test]
fn while_no_controller_is_reached_the_settings_are_read_again() {
    let mut world = World::new(&three(), &[9], 1);
    world.run_until(9_000);
    assert_eq!(world.settings_read, [2_000, 4_000, 6_000, 8_000]);
    world.give(Input::Seeds(vec![endpoint(1)]));
    world.run_until(9_500);
    assert_eq!(world.linked_to(), [endpoint(1)]);
}

#[test]
fn attempts_at_silent_addresses_do_not_hold_up_the_others() {
    let mut controllers = three();
    for number in 4..=8 {
        controllers.push((number, controller("d", "north")));
    }
    let mut world = World::new(&controllers, &[3], 1);
    world.run_until(200);
    for number in (1..=8).filter(|&number| number != 2) {
        world.set_mode(number, Mode::Silent);
    }
    world.run_until(200 + SILENCE_MS + RELINK_MS);
    assert_eq!(world.links().last(), Some(&endpoint(2)));
    assert!(world.linked_at() <= 200 + SILENCE_MS + RELINK_MS);
}

#[test]
fn controllers_that_come_up_together_with_the_agent_are_reached_soon() {
    for started_at in [50, 300, 700, 1_500] {
        let mut world = World::new(&three(), &[1, 2, 3], 1);
        (1..=3).for_each(|number| world.set_mode(number, Mode::Down));
        world.run_until(started_at);
        assert!(world.linked_to().is_empty());
        (1..=3).for_each(|number| world.set_mode(number, Mode::Up));
        world.run_until(started_at + 200);
        assert_eq!(world.linked_to().len(), 1, "started after {started_at} ms");
    }
}
