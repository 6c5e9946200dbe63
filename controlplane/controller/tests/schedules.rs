//! Random schedules of faults over controllers with edge machines, upstreams and operators. No acknowledged
//! configuration, evacuation or departure is lost; connected balancers have the newest records and never go
//! back to older ones; no read returns an older configuration than was acknowledged before; and one of two
//! commands on the same base is confirmed.

mod common;

use common::rules::{
    AcceptsAnyFirstRecords, AnswersReadsLocally, ConfirmsHeartbeatWithoutQuorum,
    ConfirmsUncommittedDeparture, PartitionedControllerServesRecords, Rules, StandardRules,
};
use common::schedule::{OverlappingFaults, Schedule, StartingEdges, run_schedule};
use quickcheck::{Arbitrary, Gen};

/// Number of schedules of each kind, unless the environment variable sets another number.
const DEFAULT_COUNT: usize = 120;
const COUNT_VARIABLE: &str = "WHINSPINDLE_SCHEDULES";
/// The first seed, unless the environment variable sets another one.
const FIRST_SEED: u64 = 1;
const SEED_VARIABLE: &str = "WHINSPINDLE_SEED";
/// Number of threads that run schedules in parallel.
const THREADS: usize = 2;
const SIZE: usize = 24;

fn from_environment<T: std::str::FromStr>(variable: &str) -> Option<T> {
    std::env::var(variable).ok().and_then(|text| text.parse().ok())
}

/// Shrinks a failing schedule by removing steps, and returns the smallest failing one with its problem.
fn shrink_to_smallest(schedule: Schedule, fault: String) -> (Schedule, String) {
    let found = schedule
        .shrink()
        .find_map(|shorter| Some((shorter.clone(), run_schedule::<StandardRules>(&shorter).err()?)));
    match found {
        Some((shorter, fault)) => shrink_to_smallest(shorter, fault),
        None => (schedule, fault),
    }
}

fn ordinary(seed: u64) -> Schedule {
    Schedule::arbitrary(&mut Gen::from_size_and_seed(SIZE, seed))
}

fn overlapping(seed: u64) -> Schedule {
    OverlappingFaults::arbitrary(&mut Gen::from_size_and_seed(SIZE, seed)).0
}

fn starting(seed: u64) -> Schedule {
    StartingEdges::arbitrary(&mut Gen::from_size_and_seed(SIZE, seed)).0
}

/// Runs the configured number of schedules and panics with the smallest failing one.
fn assert_tolerated(draw: fn(u64) -> Schedule) {
    let count = from_environment(COUNT_VARIABLE).unwrap_or(DEFAULT_COUNT);
    let first = from_environment(SEED_VARIABLE).unwrap_or(FIRST_SEED);
    let run_share = move |share: usize| {
        for number in (share..count).step_by(THREADS) {
            let seed = first + number as u64;
            let schedule = draw(seed);
            if let Err(fault) = run_schedule::<StandardRules>(&schedule) {
                let (schedule, fault) = shrink_to_smallest(schedule, fault);
                panic!("seed {seed}: {fault}\n{schedule:#?}");
            }
        }
    };
    std::thread::scope(|scope| {
        for share in 0..THREADS {
            scope.spawn(move || run_share(share));
        }
    });
}

#[test]
fn any_schedule_is_tolerated() {
    assert_tolerated(ordinary);
}

/// Edge machines start without a configuration while controllers are partitioned.
#[test]
fn any_schedule_of_starting_machines_is_tolerated() {
    assert_tolerated(starting);
}

/// Controllers are split into two halves or all isolated from each other. More of them are unavailable than
/// the tolerance allows, though no more disks are lost than that.
#[test]
fn any_schedule_of_split_halves_and_overlapping_losses_is_tolerated() {
    assert_tolerated(overlapping);
}

/// Checks that a deliberate fault in the rules is first detected at `seed` as `problem`, while the standard
/// rules pass all schedules up to that seed.
fn assert_detected<R: Rules>(draw: fn(u64) -> Schedule, seed: u64, problem: &str) {
    for earlier in FIRST_SEED..=seed {
        run_schedule::<StandardRules>(&draw(earlier)).unwrap();
    }
    let detection =
        (FIRST_SEED..=seed).find_map(|earlier| Some((earlier, run_schedule::<R>(&draw(earlier)).err()?)));
    let (first, detected) = detection.expect("no schedule detects the fault");
    assert_eq!(first, seed, "{detected}");
    assert!(detected.contains(problem), "{detected}");
}

/// An edge machine that starts while only such a controller is reachable uses an old configuration.
#[test]
fn partitioned_controller_that_serves_records_is_detected() {
    assert_detected::<PartitionedControllerServesRecords>(
        starting,
        22,
        "edge 2, in reach, holds configuration",
    );
}

#[test]
fn agent_that_accepts_first_records_of_a_partitioned_controller_is_detected() {
    assert_detected::<AcceptsAnyFirstRecords>(starting, 22, "edge 2, in reach, holds configuration");
}

#[test]
fn departure_confirmed_before_its_commit_is_detected() {
    assert_detected::<ConfirmsUncommittedDeparture>(ordinary, 19, "has forgotten that u-5 left");
}

#[test]
fn heartbeat_confirmed_by_a_partitioned_controller_is_detected() {
    assert_detected::<ConfirmsHeartbeatWithoutQuorum>(
        overlapping,
        12,
        "edge 1 doesn't know u-3, which serves",
    );
}

#[test]
fn controller_that_answers_reads_locally_is_detected() {
    assert_detected::<AnswersReadsLocally>(overlapping, 1, "and read ");
}
