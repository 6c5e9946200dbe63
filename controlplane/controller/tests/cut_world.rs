//! Cuts of twenty seconds with changes meanwhile, seen from edge machines, upstreams and operators.

mod common;

use common::fleet::endpoint;
use common::world::{Direction, Reach, World};

const CUT_MS: u64 = 20_000;
const CALM_MS: u64 = 8_000;
const LAST_ORDER_MS: u64 = 10_000;

/// Before, during and right at the end of the cut orders are given and an upstream leaves.
fn play(seed: u64, controllers: u8, reach: Reach, direction: Direction) -> Vec<String> {
    let mut world = World::start(seed, controllers, 4, 6);
    world.pass(CALM_MS);
    world.cut_controller(endpoint(1 + (seed % 3) as u8), reach, direction);
    world.pass(1_500);
    world.leave(0, false);
    world.pass(CUT_MS / 2 - 1_500);
    world.leave(1, true);
    world.pass(CUT_MS / 2);
    world.heal_all();
    world.leave(2, true);
    world.leave(3, false);
    world.pass(CALM_MS);
    world.finish_orders(LAST_ORDER_MS);
    world.pass(CALM_MS);
    world.check_convergence();
    world.problems
}

fn holds(reach: Reach) {
    for controllers in [3, 5] {
        for direction in [Direction::Both, Direction::Outward, Direction::Inward] {
            for seed in 0..3 {
                let problems = play(seed, controllers, reach, direction);
                assert!(problems.is_empty(), "{controllers} {direction:?} seed {seed}: {problems:#?}");
            }
        }
    }
}

#[test]
fn a_controller_cut_off_from_its_peers_alone() {
    holds(Reach::Peers);
}

#[test]
fn a_controller_cut_off_from_balancers_and_upstreams_alone() {
    holds(Reach::Clients);
}

#[test]
fn a_controller_cut_off_from_all() {
    holds(Reach::All);
}

#[test]
fn a_controller_cut_off_with_those_near_it() {
    holds(Reach::Near);
}
