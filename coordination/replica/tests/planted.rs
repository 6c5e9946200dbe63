//! Faults planted in the place of the laws: schedules that the laws bear must show each of them, else they prove
//! nothing.

mod common;

use common::schedule::{Fault, Schedule, Step, play};
use whinspindle_replica::{AsDesigned, AsPublished, Laws, ReplicaSettings};

/// The schedule is played with so many seeds.
const SEEDS: u64 = 100;

/// Whether the laws as designed bear the schedule, and one of the plays under others shows a history that is not
/// linearizable.
fn shows<L: Laws + 'static>(faults: &[(u64, Fault)]) {
    let step = |(wait, fault): &(u64, Fault)| Step { wait: *wait, trigger: None, fault: fault.clone() };
    let steps: Vec<Step> = faults.iter().map(step).collect();
    let schedule = |seed| Schedule {
        seed,
        has_calm_losses: false,
        loss: 0,
        longest_delay: 10,
        is_busy: false,
        steps: steps.clone(),
    };
    for seed in 0..SEEDS {
        play::<AsDesigned>(&schedule(seed), 3, 1).unwrap();
    }
    let is_shown = |seed| {
        play::<L>(&schedule(seed), 3, 1).is_err_and(|fault: String| fault.contains("not linearizable"))
    };
    assert!((0..SEEDS).any(is_shown));
}

/// All lose power while their disks are slow.
#[test]
fn members_that_acknowledge_before_the_disk_has_it_are_found() {
    #[derive(Clone, Debug)]
    struct Hasty;
    impl Laws for Hasty {
        type Agreement = AsPublished;

        fn settled(_durable: u64, last: u64) -> u64 {
            last
        }
    }
    shows::<Hasty>(&[
        (500, Fault::Slow(0, 200)),
        (0, Fault::Slow(1, 200)),
        (0, Fault::Slow(2, 200)),
        (1_500, Fault::StopAll),
        (100, Fault::StartAll),
        (2_000, Fault::Heal),
    ]);
}

/// The head is cut off, and those that go on without it write.
#[test]
fn a_head_that_answers_reads_itself_is_found() {
    #[derive(Clone, Debug)]
    struct Lonely;
    impl Laws for Lonely {
        type Agreement = AsPublished;

        fn head_answers_reads() -> bool {
            true
        }
    }
    shows::<Lonely>(&[(500, Fault::Isolate(0)), (3_000, Fault::Heal)]);
}

/// Two go on without the third. One of them loses its disk, and comes back together with the third only: as
/// another voter it makes no majority with it.
#[test]
fn a_member_that_votes_as_if_it_remembered_is_found() {
    #[derive(Clone, Debug)]
    struct Forgetful;
    impl Laws for Forgetful {
        type Agreement = AsPublished;

        fn birth(settings: &ReplicaSettings) -> u64 {
            if settings.seeds.contains(&settings.endpoint) { 0 } else { settings.birth }
        }
    }
    shows::<Forgetful>(&[
        (500, Fault::Stop(2)),
        (3_000, Fault::StopAllAndWipe(1)),
        (500, Fault::Start(1)),
        (0, Fault::Start(2)),
        (3_500, Fault::Heal),
    ]);
}
