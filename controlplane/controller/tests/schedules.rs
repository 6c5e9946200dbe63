//! Schedules of faults drawn at random over controllers with edge machines, upstreams and operators: no acknowledged
//! configuration, evacuation or departure is lost, balancers in touch have the newest and never go back, no controller
//! answers a read with less than was acknowledged before, and of two commands on one base one is confirmed.

mod common;

use common::rules::{
    AcceptsAnyFirstRecords, AnswersReadsLocally, ConfirmsHeartbeatWithoutQuorum,
    ConfirmsUncommittedDeparture, PartitionedControllerServesRecords, Rules, StandardRules,
};
use common::schedule::{Overlapping, Schedule, Starting, play};
use quickcheck::{Arbitrary, Gen};

/// Schedules of each kind in an ordinary run; more are drawn if the variable says so.
const ORDINARY: usize = 120;
const COUNT_VARIABLE: &str = "WHINSPINDLE_SCHEDULES";
/// The first seed of the draw; another one, for other schedules, if the variable says so.
const FIRST_SEED: u64 = 1;
const SEED_VARIABLE: &str = "WHINSPINDLE_SEED";
/// Schedules are played side by side.
const THREADS: usize = 2;
const SIZE: usize = 24;

fn from_environment<T: std::str::FromStr>(variable: &str) -> Option<T> {
    std::env::var(variable).ok().and_then(|text| text.parse().ok())
}

/// The smallest schedule made from this one by leaving out steps that still goes wrong, with what goes wrong.
fn smallest(schedule: Schedule, fault: String) -> (Schedule, String) {
    let found =
        schedule.shrink().find_map(|shorter| Some((shorter.clone(), play::<StandardRules>(&shorter).err()?)));
    match found {
        Some((shorter, fault)) => smallest(shorter, fault),
        None => (schedule, fault),
    }
}

fn ordinary(seed: u64) -> Schedule {
    Schedule::arbitrary(&mut Gen::from_size_and_seed(SIZE, seed))
}

fn overlapping(seed: u64) -> Schedule {
    Overlapping::arbitrary(&mut Gen::from_size_and_seed(SIZE, seed)).0
}

fn starting(seed: u64) -> Schedule {
    Starting::arbitrary(&mut Gen::from_size_and_seed(SIZE, seed)).0
}

/// Plays as many schedules as the environment says.
fn are_tolerated(draw: fn(u64) -> Schedule) {
    let count = from_environment(COUNT_VARIABLE).unwrap_or(ORDINARY);
    let first = from_environment(SEED_VARIABLE).unwrap_or(FIRST_SEED);
    let play_share = move |share: usize| {
        for number in (share..count).step_by(THREADS) {
            let seed = first + number as u64;
            let schedule = draw(seed);
            if let Err(fault) = play::<StandardRules>(&schedule) {
                let (schedule, fault) = smallest(schedule, fault);
                panic!("seed {seed}: {fault}\n{schedule:#?}");
            }
        }
    };
    std::thread::scope(|scope| {
        for share in 0..THREADS {
            scope.spawn(move || play_share(share));
        }
    });
}

#[test]
fn any_schedule_is_tolerated() {
    are_tolerated(ordinary);
}

/// Machines start without a configuration while controllers are partitioned.
#[test]
fn any_schedule_of_starting_machines_is_tolerated() {
    are_tolerated(starting);
}

/// The controllers are cut into two halves, or all from each other, and more of them are away than may be, though no
/// more disks are lost.
#[test]
fn any_schedule_of_split_halves_and_overlapping_losses_is_tolerated() {
    are_tolerated(overlapping);
}

/// What is planted shows first at `seed`, and as `problem`; the standard rules bear all schedules up to there.
fn is_detected<R: Rules>(draw: fn(u64) -> Schedule, seed: u64, problem: &str) {
    for earlier in FIRST_SEED..=seed {
        play::<StandardRules>(&draw(earlier)).unwrap();
    }
    let shown = (FIRST_SEED..=seed).find_map(|earlier| Some((earlier, play::<R>(&draw(earlier)).err()?)));
    let (first, shown) = shown.expect("no schedule shows the fault");
    assert_eq!(first, seed, "{shown}");
    assert!(shown.contains(problem), "{shown}");
}

/// A machine that starts beside such a controller handles requests by an old configuration.
#[test]
fn partitioned_controller_that_serves_records_is_detected() {
    is_detected::<PartitionedControllerServesRecords>(starting, 22, "edge 2, in reach, holds configuration");
}

#[test]
fn agent_that_accepts_first_records_of_a_partitioned_controller_is_detected() {
    is_detected::<AcceptsAnyFirstRecords>(starting, 22, "edge 2, in reach, holds configuration");
}

#[test]
fn departure_confirmed_before_its_commit_is_detected() {
    is_detected::<ConfirmsUncommittedDeparture>(ordinary, 19, "has forgotten that u-5 left");
}

#[test]
fn heartbeat_confirmed_by_a_partitioned_controller_is_detected() {
    is_detected::<ConfirmsHeartbeatWithoutQuorum>(overlapping, 12, "edge 1 doesn't know u-3, which serves");
}

#[test]
fn controller_that_answers_reads_locally_is_detected() {
    is_detected::<AnswersReadsLocally>(overlapping, 1, "and read ");
}
