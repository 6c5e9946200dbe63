//! Schedules of faults drawn at random over whole clusters: whatever happens, what clients see is linearizable, and
//! once the faults have ended, a write is acknowledged soon and all replicas become alike.

mod common;

use common::node::Moment;
use common::schedule::{Fault, Schedule, Step, Trigger, play};
use quickcheck::{Gen, QuickCheck, TestResult};
use whinspindle_replica::AsDesigned;

/// Schedules in an ordinary run; more are drawn if this variable says so.
const ORDINARY: u64 = 300;
const COUNT_VARIABLE: &str = "WHINSPINDLE_SCHEDULES";
/// The schedules that are drawn; others are if this variable says so.
const ORDINARY_SEED: u64 = 48;
const SEED_VARIABLE: &str = "WHINSPINDLE_SEED";
/// Bounds the length of schedules.
const SIZE: usize = 24;

fn search(property: fn(Schedule) -> TestResult) {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let count = number(COUNT_VARIABLE).unwrap_or(ORDINARY);
    let seed = number(SEED_VARIABLE).unwrap_or(ORDINARY_SEED);
    let chance = Gen::from_size_and_seed(SIZE, seed);
    QuickCheck::new().tests(count).max_tests(2 * count).rng(chance).quickcheck(property);
}

fn holds(schedule: Schedule, count: usize, tolerated_losses: usize) -> TestResult {
    match play::<AsDesigned>(&schedule, count, tolerated_losses) {
        Ok(_) => TestResult::passed(),
        Err(fault) => TestResult::error(fault),
    }
}

#[test]
fn three_replicas_bear_any_schedule() {
    search(|schedule| holds(schedule, 3, 1));
}

#[test]
fn five_replicas_bear_any_schedule() {
    search(|schedule| holds(schedule, 5, 2));
}

#[test]
fn three_voters_with_two_learners_bear_any_schedule() {
    search(|schedule| holds(schedule, 5, 1));
}

/// Found by the drawn schedules: a voter that had promised and was replaced before the round came to its end took the
/// chain for sealed for ever, and forwarded no commands.
#[test]
fn one_that_votes_no_more_forwards_commands_in_spite_of_an_old_promise() {
    let step = |wait, fault| Step { wait, trigger: None, fault };
    let at = |wait, moment, strikes_there, fault| Step {
        wait,
        trigger: Some(Trigger { moment, strikes_there }),
        fault,
    };
    let schedule = Schedule {
        seed: 937_244_104_666,
        has_calm_losses: false,
        loss: 0,
        longest_delay: 2,
        is_busy: true,
        steps: vec![
            step(873, Fault::Stop(1)),
            step(1_183, Fault::Split(4)),
            at(207, Moment::Accept, false, Fault::Start(1)),
            step(15, Fault::Deafen(1)),
            at(168, Moment::Prepare, true, Fault::Deafen(3)),
        ],
    };
    play::<AsDesigned>(&schedule, 5, 1).unwrap();
}
