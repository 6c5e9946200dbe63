//! Partitions of twenty seconds during which commands and departures continue; the invariants of edge
//! machines, upstreams and operators hold.

mod common;

use common::deployment::{Deployment, Direction, Reach};
use common::fleet::endpoint;

const PARTITION_MS: u64 = 20_000;
const RECOVERY_MS: u64 = 8_000;
const FINAL_COMMANDS_MS: u64 = 10_000;

/// Partitions a controller while operators send commands. Upstreams leave during the partition and right
/// after it.
fn run_partition(seed: u64, controllers: u8, reach: Reach, direction: Direction) -> Vec<String> {
    let mut deployment = Deployment::start(seed, controllers, 4, 6);
    deployment.pass(RECOVERY_MS);
    deployment.partition_controller(endpoint(1 + (seed % 3) as u8), reach, direction);
    deployment.pass(1_500);
    deployment.leave(0, false);
    deployment.pass(PARTITION_MS / 2 - 1_500);
    deployment.leave(1, true);
    deployment.pass(PARTITION_MS / 2);
    deployment.heal_all();
    deployment.leave(2, true);
    deployment.leave(3, false);
    deployment.pass(RECOVERY_MS);
    deployment.finish_commands(FINAL_COMMANDS_MS);
    deployment.pass(RECOVERY_MS);
    deployment.check_convergence();
    deployment.problems
}

fn assert_invariants(reach: Reach) {
    for controllers in [3, 5] {
        for direction in [Direction::Both, Direction::Outward, Direction::Inward] {
            for seed in 0..3 {
                let problems = run_partition(seed, controllers, reach, direction);
                assert!(problems.is_empty(), "{controllers} {direction:?} seed {seed}: {problems:#?}");
            }
        }
    }
}

#[test]
fn controller_partitioned_from_its_peers_only() {
    assert_invariants(Reach::Peers);
}

#[test]
fn controller_partitioned_from_balancers_and_upstreams_only() {
    assert_invariants(Reach::Clients);
}

#[test]
fn controller_partitioned_from_all() {
    assert_invariants(Reach::All);
}

#[test]
fn controller_partitioned_together_with_nearby_clients() {
    assert_invariants(Reach::Near);
}
