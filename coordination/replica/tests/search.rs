//! Schedules of faults drawn at random over whole clusters: whatever happens, what clients see is linearizable, and
//! once the faults have ended, a write is acknowledged soon and all replicas become alike.

mod common;

use common::node::ProtocolEvent;
use common::schedule::{Fault, Schedule, Step, Trigger, play};
use quickcheck::{Gen, QuickCheck, TestResult};
use whinspindle_replica::StandardRules;

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
    let random = Gen::from_size_and_seed(SIZE, seed);
    QuickCheck::new().tests(count).max_tests(2 * count).rng(random).quickcheck(property);
}

fn holds(schedule: Schedule, count: usize, tolerated_losses: usize) -> TestResult {
    match play::<StandardRules>(&schedule, count, tolerated_losses) {
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

#[test]
fn two_replicas_bear_any_schedule() {
    search(|schedule| holds(schedule, 2, 1));
}

#[test]
fn four_replicas_bear_any_schedule() {
    search(|schedule| holds(schedule, 4, 2));
}

/// Found by the drawn schedules: a voter that had promised and was replaced before the round came to its end took the
/// chain for sealed for ever, and forwarded no commands.
#[test]
fn a_former_voter_forwards_commands_despite_an_old_promise() {
    let schedule = Schedule {
        seed: 937_244_104_666,
        has_calm_losses: false,
        loss: 0,
        longest_delay: 2,
        is_busy: true,
        steps: vec![
            step(873, Fault::Stop(1)),
            step(1_183, Fault::Split(4)),
            at(207, ProtocolEvent::Accept, false, Fault::Start(1)),
            step(15, Fault::Deafen(1)),
            at(168, ProtocolEvent::Prepare, true, Fault::Deafen(3)),
        ],
    };
    play::<StandardRules>(&schedule, 5, 1).unwrap();
}

/// A step without a trigger.
fn step(wait: u64, fault: Fault) -> Step {
    Step { wait, trigger: None, fault }
}

/// A step that waits for this moment, and strikes there or where the fault says.
fn at(wait: u64, event: ProtocolEvent, hits_that_replica: bool, fault: Fault) -> Step {
    Step { wait, trigger: Some(Trigger { event, hits_that_replica }), fault }
}

/// A schedule that loses no more disks than are tolerated, but at any time.
fn overlapping(seed: u64, longest_delay: u64, steps: Vec<Step>) -> Schedule {
    Schedule { seed, has_calm_losses: false, loss: 0, longest_delay, is_busy: false, steps }
}

/// Found by the drawn schedules: one of two that go on is lost right when the view without the third is decided, so that
/// the chain has no complete member.
#[test]
fn three_replicas_take_commands_again_after_losses_that_overlap() {
    let steps = vec![
        at(103, ProtocolEvent::Accepted, false, Fault::Stall(3, 3_018)),
        step(72, Fault::Leave(1)),
        step(335, Fault::Split(3)),
        step(9, Fault::Wipe(2)),
    ];
    play::<StandardRules>(&overlapping(574_005_985_990, 10, steps), 3, 1).unwrap();
}

/// Found by the drawn schedules, like the one before.
#[test]
fn three_voters_with_two_learners_take_commands_again_after_losses_that_overlap() {
    let steps = vec![
        at(615, ProtocolEvent::Append, true, Fault::CutBoth(5, 2)),
        at(992, ProtocolEvent::Decided, false, Fault::Checkpoint(1)),
        at(105, ProtocolEvent::Accepted, false, Fault::Start(2)),
        step(0, Fault::Stop(0)),
        at(198, ProtocolEvent::Accepted, true, Fault::StopAllAndWipe(0)),
    ];
    play::<StandardRules>(&overlapping(476_458_378_024, 40, steps), 5, 1).unwrap();
}

/// Found by the drawn schedules, like the one before.
#[test]
fn five_replicas_take_commands_again_after_losses_that_overlap() {
    let steps = vec![
        at(615, ProtocolEvent::Synchronize, true, Fault::StartAll),
        step(0, Fault::Stop(5)),
        step(127, Fault::CutBoth(2, 5)),
        at(1, ProtocolEvent::Acknowledge, false, Fault::StartAll),
        step(9, Fault::CutBoth(1, 5)),
        at(841, ProtocolEvent::Accept, false, Fault::Stop(3)),
        at(9, ProtocolEvent::Accept, false, Fault::Replace(4)),
    ];
    play::<StandardRules>(&overlapping(617_889_459_766, 40, steps), 5, 2).unwrap();
}

/// Found by the drawn schedules: a view was voted for with the only complete member and a learner in the place of a voter
/// that was complete before; then that only member lost its disk. The voter was not asked any more.
#[test]
fn an_old_voter_leads_where_no_new_one_has_everything() {
    let steps = vec![
        at(6, ProtocolEvent::Synchronize, false, Fault::Cut(3, 0)),
        at(57, ProtocolEvent::Append, false, Fault::Refuse(1, 2_031)),
        step(188, Fault::Checkpoint(5)),
        step(28, Fault::Stop(5)),
        at(158, ProtocolEvent::Prepare, false, Fault::Stop(3)),
        at(7, ProtocolEvent::Accept, false, Fault::Deafen(2)),
        step(3, Fault::StopAllAndWipe(2)),
    ];
    play::<StandardRules>(&overlapping(0, 40, steps), 5, 1).unwrap();
}

/// Found by the drawn schedules: a member joined with a disk that stood still, and was left out of each plan for the
/// acknowledgement that it had not sent in time, although there was no chain without it.
#[test]
fn two_replicas_go_on_once_a_stalled_disk_works_again() {
    let steps = vec![
        step(136, Fault::StopAllAndWipe(3)),
        at(158, ProtocolEvent::Prepare, false, Fault::StartAll),
        at(127, ProtocolEvent::Prepare, true, Fault::Start(5)),
        at(15, ProtocolEvent::Decided, true, Fault::Stop(2)),
        at(779, ProtocolEvent::Accepted, false, Fault::Stall(5, 3_869)),
    ];
    let schedule = Schedule { loss: 2, ..overlapping(625_445_763_280, 40, steps) };
    play::<StandardRules>(&schedule, 2, 1).unwrap();
}

/// Found by the drawn schedules: proposals failed while one of two was not heard, and the next one waited for 4 s.
#[test]
fn two_replicas_go_on_soon_after_proposals_that_failed_for_want_of_contact() {
    let steps = vec![
        step(51, Fault::StopAllAndWipe(4)),
        step(728, Fault::Split(1)),
        step(97, Fault::StartAll),
        step(2_843, Fault::Heal),
        step(8, Fault::Mute(0)),
        at(8, ProtocolEvent::Accept, false, Fault::Split(4)),
        step(410, Fault::Checkpoint(3)),
        step(75, Fault::Slow(2, 116)),
        at(26, ProtocolEvent::Accepted, false, Fault::Deafen(4)),
        at(876, ProtocolEvent::Synchronize, true, Fault::Mute(5)),
        at(1_178, ProtocolEvent::Acknowledge, false, Fault::Isolate(2)),
    ];
    let schedule = Schedule { has_calm_losses: true, loss: 2, ..overlapping(685_335_325_910, 2, steps) };
    play::<StandardRules>(&schedule, 2, 1).unwrap();
}
