//! Exhaustive searches over the shipped replica: three voters, two orders on one base, reads, and whatever may go
//! wrong between any two steps. `WHINSPINDLE_DEPTH` and `WHINSPINDLE_DEPARTURES` lead further than an ordinary run.

#[path = "../common/mod.rs"]
mod common;
mod initial_states;
mod model;
mod observer;
mod search;

use std::time::Instant;

use common::faulty::{
    AnswersForOldIncarnation, AppliesDuplicates, CompletesTooEarly, ForgetsPromises, HeadAnswersReads,
    KeepsIdentityWithoutDisk, TailAnswersReads, TakesIncompleteLeaders,
};
use initial_states::{AMPLE, InitialState};
use model::{Action, Budget};
use search::{Searched, departures, interleavings, play};
use whinspindle_replica::{ProtocolRules, StandardRules};

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

fn all_interleavings(initial_state: InitialState, budget: Budget, depth: usize) {
    let begun = Instant::now();
    let mut model = initial_state.model::<StandardRules>();
    model.budget = budget;
    let searched = interleavings(model, depth + number(MORE_DEPTH).unwrap_or(0));
    report(&format!("{initial_state:?}, {budget:?}"), begun, &searched);
}

fn all_departures(initial_state: InitialState) {
    let begun = Instant::now();
    let searched =
        departures(&initial_state.model::<StandardRules>(), number(DEPARTURES).unwrap_or(1), PASSES);
    report(&format!("{initial_state:?}"), begun, &searched);
}

/// Nothing goes wrong, but messages of different links come in any order, disks are slow and time passes at any moment.
const ORDERLY: Budget =
    Budget { losses: 0, duplicates: 0, crashes: 0, cuts: 0, lost_disks: 0, replacements: 0, passes: 3 };
const ONE_CRASH: Budget = Budget { crashes: 1, ..ORDERLY };
const ONE_CUT: Budget = Budget { cuts: 1, ..ORDERLY };
const ONE_LOST_DISK: Budget = Budget { lost_disks: 1, ..ORDERLY };
const ONE_REPLACEMENT: Budget = Budget { replacements: 1, ..ORDERLY };
const ONE_MESSAGE: Budget = Budget { losses: 1, duplicates: 1, ..ORDERLY };
const ONE_OF_EACH: Budget =
    Budget { losses: 1, duplicates: 1, crashes: 1, cuts: 1, lost_disks: 1, replacements: 1, passes: 3 };

fn one_of_each_between_any_two_steps(initial_state: InitialState) {
    all_interleavings(initial_state, ORDERLY, 5);
    for budget in [ONE_CRASH, ONE_CUT, ONE_LOST_DISK, ONE_REPLACEMENT, ONE_MESSAGE] {
        all_interleavings(initial_state, budget, 4);
    }
    all_interleavings(initial_state, ONE_OF_EACH, 3);
}

#[test]
fn all_interleavings_from_empty_disks() {
    one_of_each_between_any_two_steps(InitialState::Empty);
}

#[test]
fn all_interleavings_of_two_orders() {
    one_of_each_between_any_two_steps(InitialState::Steady);
}

#[test]
fn all_interleavings_while_one_is_down() {
    one_of_each_between_any_two_steps(InitialState::OneDown);
}

#[test]
fn all_interleavings_of_proposals_of_two_disconnected_members() {
    one_of_each_between_any_two_steps(InitialState::Apart);
}

#[test]
fn all_interleavings_of_the_votes_for_a_view_without_the_head() {
    one_of_each_between_any_two_steps(InitialState::HeadLost);
}

#[test]
fn all_interleavings_after_a_replacement() {
    one_of_each_between_any_two_steps(InitialState::Replaced);
}

#[test]
fn all_interleavings_of_the_votes_for_joint_voters() {
    one_of_each_between_any_two_steps(InitialState::Joint);
}

#[test]
fn all_interleavings_while_one_is_partitioned() {
    one_of_each_between_any_two_steps(InitialState::CutOff);
}

#[test]
fn all_interleavings_while_one_alone_is_complete() {
    one_of_each_between_any_two_steps(InitialState::Alone);
}

/// The same, where no more disks may be lost.
fn one_of_each_but_lost_disks(initial_state: InitialState) {
    all_interleavings(initial_state, ORDERLY, 5);
    for budget in [ONE_CRASH, ONE_CUT, ONE_MESSAGE] {
        all_interleavings(initial_state, budget, 4);
    }
    all_interleavings(initial_state, Budget { lost_disks: 0, replacements: 0, ..ONE_OF_EACH }, 3);
}

#[test]
fn all_interleavings_of_two_voters() {
    one_of_each_but_lost_disks(InitialState::Two);
}

#[test]
fn all_interleavings_while_half_of_two_voters_is_lost() {
    one_of_each_but_lost_disks(InitialState::HalfOfTwoLost);
}

#[test]
fn all_interleavings_while_half_of_two_voters_is_replaced() {
    one_of_each_but_lost_disks(InitialState::HalfOfTwoReplaced);
}

#[test]
fn all_interleavings_while_half_of_four_voters_is_lost() {
    one_of_each_but_lost_disks(InitialState::HalfOfFourLost);
}

#[test]
fn departures_of_two_voters() {
    all_departures(InitialState::Two);
}

#[test]
fn departures_while_half_of_two_voters_is_lost() {
    all_departures(InitialState::HalfOfTwoLost);
}

#[test]
fn departures_while_half_of_four_voters_is_lost() {
    all_departures(InitialState::HalfOfFourLost);
}

/// At each step one of two voters loses its disk and starts again five steps of the clock later: all callers but its own
/// are answered in the end, and so are they whenever it loses the next disk while it learns.
#[test]
fn commands_are_answered_whenever_one_of_two_voters_loses_its_disk() {
    for lost in 0..2 {
        for state in [InitialState::Two, InitialState::HalfOfTwoLost] {
            let mut model = state.model::<StandardRules>();
            model.budget = AMPLE;
            let lost = if state == InitialState::HalfOfTwoLost { 1 } else { lost };
            let ordinary =
                play(model.clone(), &[], |model| model.passed >= PASSES).expect("nothing goes wrong");
            for step in model.steps..ordinary.steps {
                let path = [(step, Action::LoseDisk(lost))];
                let end = play(model.clone(), &path, |model| model.passed >= PASSES + ANSWERED);
                let end = end.unwrap_or_else(|fault| panic!("{state:?}, {lost} lost at {step}: {fault}"));
                assert!(
                    end.awaited().iter().all(|machine| *machine == lost),
                    "{state:?}, {lost} lost at step {step}: {:?}",
                    end.awaited()
                );
            }
        }
    }
}

#[test]
fn departures_while_one_alone_is_complete() {
    all_departures(InitialState::Alone);
}

/// At each step the only complete member loses its disk: callers of the others are answered in the end.
#[test]
fn commands_are_answered_whenever_the_only_complete_member_loses_its_disk() {
    let model = InitialState::Alone.model::<StandardRules>();
    let ordinary = play(model.clone(), &[], |model| model.passed >= PASSES).expect("nothing goes wrong");
    for step in model.steps..ordinary.steps {
        let path = [(step, Action::LoseDisk(1))];
        let end = play(model.clone(), &path, |model| model.passed >= PASSES + ANSWERED).expect("one loss");
        assert!(
            end.awaited().iter().all(|machine| *machine == 1),
            "lost at step {step}: {:?}",
            end.awaited()
        );
    }
}

#[test]
fn departures_from_the_ordinary_schedule() {
    all_departures(InitialState::Empty);
}

#[test]
fn departures_while_one_is_down() {
    all_departures(InitialState::OneDown);
}

#[test]
fn departures_while_two_are_disconnected() {
    all_departures(InitialState::Apart);
}

#[test]
fn departures_after_a_replacement() {
    all_departures(InitialState::Replaced);
}

#[test]
fn departures_while_voters_are_replaced() {
    all_departures(InitialState::Joint);
}

#[test]
fn departures_while_one_is_partitioned() {
    all_departures(InitialState::CutOff);
}

/// One departure is enough to show the fault, and the search over all of them finds it.
fn is_found<L: ProtocolRules>(initial_state: InitialState) {
    let searched = departures(&initial_state.model::<L>(), 1, PASSES);
    let Some((fault, path)) = searched.broken else { panic!("{searched:?}") };
    println!("{path:?}: {}", fault.lines().next().unwrap_or_default());
    is_shown::<L>(initial_state, &path);
}

/// These departures show the fault, and the standard rules bear them.
fn is_shown<L: ProtocolRules>(initial_state: InitialState, path: &[(u64, Action)]) {
    let designed = play(initial_state.model::<StandardRules>(), path, |model| model.passed >= PASSES);
    assert!(designed.is_ok(), "{:?}", designed.err());
    let planted = play(initial_state.model::<L>(), path, |model| model.passed >= PASSES);
    assert!(planted.is_err(), "the fault does not show");
}

#[test]
fn a_stale_tail_is_detected() {
    is_found::<TailAnswersReads>(InitialState::OneDown);
}

#[test]
fn a_head_that_answers_reads_is_detected() {
    is_found::<HeadAnswersReads>(InitialState::Apart);
}

#[test]
fn a_duplicate_taken_for_a_new_command_is_detected() {
    is_found::<AppliesDuplicates>(InitialState::Replaced);
}

#[test]
fn a_joiner_that_counts_too_early_is_detected() {
    is_found::<CompletesTooEarly>(InitialState::Apart);
}

#[test]
fn a_promise_kept_only_in_memory_is_detected() {
    is_found::<ForgetsPromises>(InitialState::Apart);
}

#[test]
fn an_incomplete_leader_is_detected() {
    is_found::<TakesIncompleteLeaders>(InitialState::Alone);
}

/// Found by the search with two departures.
#[test]
fn a_disk_lost_and_an_identity_kept_is_shown() {
    let path = [(46, Action::LoseDisk(0)), (48, Action::Replace(1))];
    is_shown::<KeepsIdentityWithoutDisk>(InitialState::OneDown, &path);
}

/// Found by the search with two departures.
#[test]
fn an_answer_for_the_old_incarnation_is_shown() {
    let path = [(46, Action::LoseDisk(0)), (48, Action::Replace(1))];
    is_shown::<AnswersForOldIncarnation>(InitialState::OneDown, &path);
}
