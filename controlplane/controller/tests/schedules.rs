//! Schedules of faults drawn at random over controllers with edge machines, upstreams and operators: no acknowledged
//! configuration, evacuation or departure is lost, balancers in touch have the newest and never go back, and of two
//! orders on one base one is confirmed.

mod common;

use common::schedule::{Schedule, play};
use quickcheck::{Arbitrary, Gen};

/// Schedules in an ordinary run; more are drawn if the variable says so.
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
    let found = schedule.shrink().find_map(|shorter| Some((shorter.clone(), play(&shorter).err()?)));
    match found {
        Some((shorter, fault)) => smallest(shorter, fault),
        None => (schedule, fault),
    }
}

#[test]
fn any_schedule_is_borne() {
    let count = from_environment(COUNT_VARIABLE).unwrap_or(ORDINARY);
    let first = from_environment(SEED_VARIABLE).unwrap_or(FIRST_SEED);
    let play_share = move |share: usize| {
        for number in (share..count).step_by(THREADS) {
            let seed = first + number as u64;
            let schedule = Schedule::arbitrary(&mut Gen::from_size_and_seed(SIZE, seed));
            if let Err(fault) = play(&schedule) {
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
