//! Exhaustive searches over the shipped replica: three voters, two orders on one base, reads, and whatever may go
//! wrong between any two steps. `WHINSPINDLE_DEPTH` and `WHINSPINDLE_DEPARTURES` lead further than an ordinary run.

mod beginnings;
#[path = "../common/mod.rs"]
mod common;
mod observer;
mod search;
mod world;

use std::time::Instant;

use beginnings::Beginning;
use common::faulty::{
    AnswersForOldIncarnation, AppliesDuplicates, CompletesTooEarly, ForgetsPromises, HeadAnswersReads,
    KeepsIdentityWithoutDisk, TailAnswersReads, TakesIncompleteLeaders,
};
use search::{Searched, departures, interleavings, play};
use whinspindle_replica::{ProtocolRules, StandardRules};
use world::{Action, Budget};

/// Added to the depth of the searches over all interleavings.
const MORE_DEPTH: &str = "WHINSPINDLE_DEPTH";
/// The departures from the ordinary schedule, in the place of one.
const DEPARTURES: &str = "WHINSPINDLE_DEPARTURES";
/// A schedule with departures ends after so many steps of the clock: all that was down or cut is well again, and reads
/// are asked for at every replica.
const PASSES: u64 = 20;
/// So many steps later all has been answered.
const ANSWERED: u64 = 10;

fn number(variable: &str) -> Option<usize> {
    std::env::var(variable).ok().and_then(|text| text.parse().ok())
}

fn report(name: &str, begun: Instant, searched: &Searched) {
    let Searched { states, steps, depth, broken } = searched;
    println!("{name}: {states} states, {steps} steps to depth {depth} in {:?}", begun.elapsed());
    assert!(broken.is_none(), "{name}: {broken:?}");
}

fn all_interleavings(beginning: Beginning, budget: Budget, depth: usize) {
    let begun = Instant::now();
    let mut world = beginning.world::<StandardRules>();
    world.budget = budget;
    let searched = interleavings(world, depth + number(MORE_DEPTH).unwrap_or(0));
    report(&format!("{beginning:?}, {budget:?}"), begun, &searched);
}

fn all_departures(beginning: Beginning) {
    let begun = Instant::now();
    let searched = departures(&beginning.world::<StandardRules>(), number(DEPARTURES).unwrap_or(1), PASSES);
    report(&format!("{beginning:?}"), begun, &searched);
}

/// Nothing goes wrong, but messages of different links come in any order, disks are slow and time passes at any moment.
const ORDERLY: Budget =
    Budget { losses: 0, repeats: 0, crashes: 0, cuts: 0, lost_disks: 0, replacements: 0, passes: 3 };
const ONE_CRASH: Budget = Budget { crashes: 1, ..ORDERLY };
const ONE_CUT: Budget = Budget { cuts: 1, ..ORDERLY };
const ONE_LOST_DISK: Budget = Budget { lost_disks: 1, ..ORDERLY };
const ONE_REPLACEMENT: Budget = Budget { replacements: 1, ..ORDERLY };
const ONE_MESSAGE: Budget = Budget { losses: 1, repeats: 1, ..ORDERLY };
const ONE_OF_EACH: Budget =
    Budget { losses: 1, repeats: 1, crashes: 1, cuts: 1, lost_disks: 1, replacements: 1, passes: 3 };

fn one_of_each_between_any_two_steps(beginning: Beginning) {
    all_interleavings(beginning, ORDERLY, 5);
    for budget in [ONE_CRASH, ONE_CUT, ONE_LOST_DISK, ONE_REPLACEMENT, ONE_MESSAGE] {
        all_interleavings(beginning, budget, 4);
    }
    all_interleavings(beginning, ONE_OF_EACH, 3);
}

#[test]
fn all_interleavings_from_empty_disks() {
    one_of_each_between_any_two_steps(Beginning::Empty);
}

#[test]
fn all_interleavings_of_two_orders() {
    one_of_each_between_any_two_steps(Beginning::Steady);
}

#[test]
fn all_interleavings_while_one_is_down() {
    one_of_each_between_any_two_steps(Beginning::OneDown);
}

#[test]
fn all_interleavings_of_rounds_of_two_that_are_apart() {
    one_of_each_between_any_two_steps(Beginning::Apart);
}

#[test]
fn all_interleavings_of_the_votes_for_a_view_without_the_head() {
    one_of_each_between_any_two_steps(Beginning::HeadLost);
}

#[test]
fn all_interleavings_after_a_replacement() {
    one_of_each_between_any_two_steps(Beginning::Replaced);
}

#[test]
fn all_interleavings_of_the_votes_for_joint_voters() {
    one_of_each_between_any_two_steps(Beginning::Joint);
}

#[test]
fn all_interleavings_while_one_is_cut_off() {
    one_of_each_between_any_two_steps(Beginning::CutOff);
}

#[test]
fn all_interleavings_while_one_alone_is_complete() {
    one_of_each_between_any_two_steps(Beginning::Alone);
}

#[test]
fn departures_while_one_alone_is_complete() {
    all_departures(Beginning::Alone);
}

/// At each step the only complete member loses its disk: callers of the others are answered in the end.
#[test]
fn commands_are_answered_whenever_the_only_complete_member_loses_its_disk() {
    let world = Beginning::Alone.world::<StandardRules>();
    let ordinary = play(world.clone(), &[], |world| world.passed >= PASSES).expect("nothing goes wrong");
    for step in world.steps..ordinary.steps {
        let path = [(step, Action::LoseDisk(1))];
        let end = play(world.clone(), &path, |world| world.passed >= PASSES + ANSWERED).expect("one loss");
        assert!(
            end.awaited().iter().all(|machine| *machine == 1),
            "lost at step {step}: {:?}",
            end.awaited()
        );
    }
}

#[test]
fn departures_from_the_ordinary_schedule() {
    all_departures(Beginning::Empty);
}

#[test]
fn departures_while_one_is_down() {
    all_departures(Beginning::OneDown);
}

#[test]
fn departures_while_two_are_apart() {
    all_departures(Beginning::Apart);
}

#[test]
fn departures_after_a_replacement() {
    all_departures(Beginning::Replaced);
}

#[test]
fn departures_while_voters_are_replaced() {
    all_departures(Beginning::Joint);
}

#[test]
fn departures_while_one_is_cut_off() {
    all_departures(Beginning::CutOff);
}

/// One departure is enough to show the fault, and the search over all of them finds it.
fn is_found<L: ProtocolRules>(beginning: Beginning) {
    let searched = departures(&beginning.world::<L>(), 1, PASSES);
    let Some((fault, path)) = searched.broken else { panic!("{searched:?}") };
    println!("{path:?}: {}", fault.lines().next().unwrap_or_default());
    is_shown::<L>(beginning, &path);
}

/// These departures show the fault, and the standard rules bear them.
fn is_shown<L: ProtocolRules>(beginning: Beginning, path: &[(u64, Action)]) {
    let designed = play(beginning.world::<StandardRules>(), path, |world| world.passed >= PASSES);
    assert!(designed.is_ok(), "{:?}", designed.err());
    let planted = play(beginning.world::<L>(), path, |world| world.passed >= PASSES);
    assert!(planted.is_err(), "the fault does not show");
}

#[test]
fn a_stale_tail_is_found() {
    is_found::<TailAnswersReads>(Beginning::OneDown);
}

#[test]
fn a_head_that_answers_reads_is_found() {
    is_found::<HeadAnswersReads>(Beginning::Apart);
}

#[test]
fn a_repeat_taken_for_a_new_order_is_found() {
    is_found::<AppliesDuplicates>(Beginning::Replaced);
}

#[test]
fn a_joiner_that_counts_too_early_is_found() {
    is_found::<CompletesTooEarly>(Beginning::Apart);
}

#[test]
fn a_promise_kept_only_in_memory_is_found() {
    is_found::<ForgetsPromises>(Beginning::Apart);
}

#[test]
fn a_leader_that_has_not_everything_is_found() {
    is_found::<TakesIncompleteLeaders>(Beginning::Alone);
}

/// Found by the search with two departures.
#[test]
fn a_disk_lost_and_an_identity_kept_is_shown() {
    let path = [(46, Action::LoseDisk(0)), (48, Action::Replace(1))];
    is_shown::<KeepsIdentityWithoutDisk>(Beginning::OneDown, &path);
}

/// Found by the search with two departures.
#[test]
fn an_answer_for_the_old_birth_is_shown() {
    let path = [(46, Action::LoseDisk(0)), (48, Action::Replace(1))];
    is_shown::<AnswersForOldIncarnation>(Beginning::OneDown, &path);
}
