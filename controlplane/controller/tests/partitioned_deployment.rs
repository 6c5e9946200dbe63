//! Cuts of twenty seconds with changes meanwhile, seen from edge machines, upstreams and operators.

mod common;

use common::deployment::{Deployment, Direction, Reach};
use common::fleet::endpoint;

const PARTITION_MS: u64 = 20_000;
const CALM_MS: u64 = 8_000;
const FINAL_COMMANDS_MS: u64 = 10_000;

/// Before, during and right at the end of the cut commands are given and an upstream leaves.
fn play(seed: u64, controllers: u8, reach: Reach, direction: Direction) -> Vec<String> {
    let mut deployment = Deployment::start(seed, controllers, 4, 6);
    deployment.pass(CALM_MS);
    deployment.partition_controller(endpoint(1 + (seed % 3) as u8), reach, direction);
    deployment.pass(1_500);
    deployment.leave(0, false);
    deployment.pass(PARTITION_MS / 2 - 1_500);
    deployment.leave(1, true);
    deployment.pass(PARTITION_MS / 2);
    deployment.heal_all();
    deployment.leave(2, true);
    deployment.leave(3, false);
    deployment.pass(CALM_MS);
    deployment.finish_commands(FINAL_COMMANDS_MS);
    deployment.pass(CALM_MS);
    deployment.check_convergence();
    deployment.problems
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
fn controller_partitioned_from_its_peers_only() {
    holds(Reach::Peers);
}

#[test]
fn controller_partitioned_from_balancers_and_upstreams_only() {
    holds(Reach::Clients);
}

#[test]
fn controller_partitioned_from_all() {
    holds(Reach::All);
}

#[test]
fn controller_partitioned_together_with_nearby_clients() {
    holds(Reach::Near);
}
