//! Exhaustive searches over the production replica with two to four voters, two conflicting swaps, reads, and
//! faults between any two steps. `WHINSPINDLE_DEPTH` and `WHINSPINDLE_DEPARTURES` extend the searches.

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
use initial_states::{FULL_BUDGET, InitialState};
use model::{Action, Budget};
use search::{SearchResult, departures, interleavings, play};
use whinspindle_replica::{ProtocolRules, StandardRules};

/// The environment variable that adds to the depth of the searches over all interleavings.
const DEPTH_VARIABLE: &str = "WHINSPINDLE_DEPTH";
/// The environment variable for the number of departures from the ordinary schedule; the default is one.
const DEPARTURES_VARIABLE: &str = "WHINSPINDLE_DEPARTURES";
/// A schedule with departures ends after this many clock steps. By then all faults have ended, and reads have
/// been submitted to every replica.
const PASSES: u64 = 20;
/// All requests are answered this many clock steps after the end of the schedule.
const ANSWER_STEPS: u64 = 10;

fn env_number(variable: &str) -> Option<usize> {
    std::env::var(variable).ok().and_then(|text| text.parse().ok())
}

fn report(name: &str, started_at: Instant, result: &SearchResult) {
    let SearchResult { states, steps, depth, violation } = result;
    println!("{name}: {states} states, {steps} steps to depth {depth} in {:?}", started_at.elapsed());
    assert!(violation.is_none(), "{name}: {violation:?}");
}

fn search_interleavings(initial_state: InitialState, budget: Budget, depth: usize) {
    let started_at = Instant::now();
    let mut model = initial_state.model::<StandardRules>();
    model.budget = budget;
    let result = interleavings(model, depth + env_number(DEPTH_VARIABLE).unwrap_or(0));
    report(&format!("{initial_state:?}, {budget:?}"), started_at, &result);
}

fn search_departures(initial_state: InitialState) {
    let started_at = Instant::now();
    let result = departures(
        &initial_state.model::<StandardRules>(),
        env_number(DEPARTURES_VARIABLE).unwrap_or(1),
        PASSES,
    );
    report(&format!("{initial_state:?}"), started_at, &result);
}

/// No faults, but messages of different links arrive in any order, disks are slow and the clock advances at
/// any time.
const NO_FAULTS: Budget =
    Budget { losses: 0, duplicates: 0, crashes: 0, cuts: 0, lost_disks: 0, replacements: 0, passes: 3 };
const ONE_CRASH: Budget = Budget { crashes: 1, ..NO_FAULTS };
const ONE_CUT: Budget = Budget { cuts: 1, ..NO_FAULTS };
const ONE_LOST_DISK: Budget = Budget { lost_disks: 1, ..NO_FAULTS };
const ONE_REPLACEMENT: Budget = Budget { replacements: 1, ..NO_FAULTS };
const ONE_MESSAGE: Budget = Budget { losses: 1, duplicates: 1, ..NO_FAULTS };
const ONE_OF_EACH: Budget =
    Budget { losses: 1, duplicates: 1, crashes: 1, cuts: 1, lost_disks: 1, replacements: 1, passes: 3 };

fn search_with_one_fault_of_each_kind(initial_state: InitialState) {
    search_interleavings(initial_state, NO_FAULTS, 5);
    for budget in [ONE_CRASH, ONE_CUT, ONE_LOST_DISK, ONE_REPLACEMENT, ONE_MESSAGE] {
        search_interleavings(initial_state, budget, 4);
    }
    search_interleavings(initial_state, ONE_OF_EACH, 3);
}

#[test]
fn all_interleavings_from_empty_disks() {
    search_with_one_fault_of_each_kind(InitialState::Empty);
}

#[test]
fn all_interleavings_of_two_orders() {
    search_with_one_fault_of_each_kind(InitialState::Steady);
}

#[test]
fn all_interleavings_while_one_is_down() {
    search_with_one_fault_of_each_kind(InitialState::OneDown);
}

#[test]
fn all_interleavings_of_proposals_of_two_disconnected_members() {
    search_with_one_fault_of_each_kind(InitialState::Disconnected);
}

#[test]
fn all_interleavings_of_the_votes_for_a_view_without_the_head() {
    search_with_one_fault_of_each_kind(InitialState::HeadLost);
}

#[test]
fn all_interleavings_after_a_replacement() {
    search_with_one_fault_of_each_kind(InitialState::Replaced);
}

#[test]
fn all_interleavings_of_the_votes_for_joint_voters() {
    search_with_one_fault_of_each_kind(InitialState::JointVoters);
}

#[test]
fn all_interleavings_while_one_is_partitioned() {
    search_with_one_fault_of_each_kind(InitialState::Partitioned);
}

#[test]
fn all_interleavings_while_one_alone_is_complete() {
    search_with_one_fault_of_each_kind(InitialState::OneComplete);
}

/// Like [`search_with_one_fault_of_each_kind`], for states in which no more disks may be lost.
fn search_without_lost_disks(initial_state: InitialState) {
    search_interleavings(initial_state, NO_FAULTS, 5);
    for budget in [ONE_CRASH, ONE_CUT, ONE_MESSAGE] {
        search_interleavings(initial_state, budget, 4);
    }
    search_interleavings(initial_state, Budget { lost_disks: 0, replacements: 0, ..ONE_OF_EACH }, 3);
}

#[test]
fn all_interleavings_of_two_voters() {
    search_without_lost_disks(InitialState::Two);
}

#[test]
fn all_interleavings_while_half_of_two_voters_is_lost() {
    search_without_lost_disks(InitialState::HalfOfTwoLost);
}

#[test]
fn all_interleavings_while_half_of_two_voters_is_replaced() {
    search_without_lost_disks(InitialState::HalfOfTwoReplaced);
}

#[test]
fn all_interleavings_while_half_of_four_voters_is_lost() {
    search_without_lost_disks(InitialState::HalfOfFourLost);
}

#[test]
fn departures_of_two_voters() {
    search_departures(InitialState::Two);
}

#[test]
fn departures_while_half_of_two_voters_is_lost() {
    search_departures(InitialState::HalfOfTwoLost);
}

#[test]
fn departures_while_half_of_four_voters_is_lost() {
    search_departures(InitialState::HalfOfFourLost);
}

/// One of two voters loses its disk at any step and restarts five clock steps later, also while it is still
/// learning after an earlier loss. All clients except its own are answered in the end.
#[test]
fn commands_are_answered_whenever_one_of_two_voters_loses_its_disk() {
    for lost in 0..2 {
        for state in [InitialState::Two, InitialState::HalfOfTwoLost] {
            let mut model = state.model::<StandardRules>();
            model.budget = FULL_BUDGET;
            let lost = if state == InitialState::HalfOfTwoLost { 1 } else { lost };
            let ordinary =
                play(model.clone(), &[], |model| model.passed >= PASSES).expect("nothing goes wrong");
            for step in model.steps..ordinary.steps {
                let path = [(step, Action::LoseDisk(lost))];
                let end = play(model.clone(), &path, |model| model.passed >= PASSES + ANSWER_STEPS);
                let end = end.unwrap_or_else(|fault| panic!("{state:?}, {lost} lost at {step}: {fault}"));
                assert!(
                    end.machines_with_unanswered_requests().iter().all(|machine| *machine == lost),
                    "{state:?}, {lost} lost at step {step}: {:?}",
                    end.machines_with_unanswered_requests()
                );
            }
        }
    }
}

#[test]
fn departures_while_one_alone_is_complete() {
    search_departures(InitialState::OneComplete);
}

/// The only complete member loses its disk at any step. The clients of the other members are answered in the
/// end.
#[test]
fn commands_are_answered_whenever_the_only_complete_member_loses_its_disk() {
    let model = InitialState::OneComplete.model::<StandardRules>();
    let ordinary = play(model.clone(), &[], |model| model.passed >= PASSES).expect("nothing goes wrong");
    for step in model.steps..ordinary.steps {
        let path = [(step, Action::LoseDisk(1))];
        let end =
            play(model.clone(), &path, |model| model.passed >= PASSES + ANSWER_STEPS).expect("one loss");
        assert!(
            end.machines_with_unanswered_requests().iter().all(|machine| *machine == 1),
            "lost at step {step}: {:?}",
            end.machines_with_unanswered_requests()
        );
    }
}

#[test]
fn departures_from_the_ordinary_schedule() {
    search_departures(InitialState::Empty);
}

#[test]
fn departures_while_one_is_down() {
    search_departures(InitialState::OneDown);
}

#[test]
fn departures_while_two_are_disconnected() {
    search_departures(InitialState::Disconnected);
}

#[test]
fn departures_after_a_replacement() {
    search_departures(InitialState::Replaced);
}

#[test]
fn departures_while_voters_are_replaced() {
    search_departures(InitialState::JointVoters);
}

#[test]
fn departures_while_one_is_partitioned() {
    search_departures(InitialState::Partitioned);
}

/// Checks that the search over all schedules with one departure detects a faulty rule.
fn assert_search_detects<L: ProtocolRules>(initial_state: InitialState) {
    let result = departures(&initial_state.model::<L>(), 1, PASSES);
    let Some((fault, path)) = result.violation else { panic!("{result:?}") };
    println!("{path:?}: {}", fault.lines().next().unwrap_or_default());
    assert_path_detects::<L>(initial_state, &path);
}

/// Checks that the given departures reveal a faulty rule and that the standard rules tolerate them.
fn assert_path_detects<L: ProtocolRules>(initial_state: InitialState, path: &[(u64, Action)]) {
    let standard = play(initial_state.model::<StandardRules>(), path, |model| model.passed >= PASSES);
    assert!(standard.is_ok(), "{:?}", standard.err());
    let faulty = play(initial_state.model::<L>(), path, |model| model.passed >= PASSES);
    assert!(faulty.is_err(), "the fault was not detected");
}

#[test]
fn a_stale_tail_is_detected() {
    assert_search_detects::<TailAnswersReads>(InitialState::OneDown);
}

#[test]
fn a_head_that_answers_reads_is_detected() {
    assert_search_detects::<HeadAnswersReads>(InitialState::Disconnected);
}

#[test]
fn a_duplicate_taken_for_a_new_command_is_detected() {
    assert_search_detects::<AppliesDuplicates>(InitialState::Replaced);
}

#[test]
fn a_joiner_that_counts_too_early_is_detected() {
    assert_search_detects::<CompletesTooEarly>(InitialState::Disconnected);
}

#[test]
fn a_promise_kept_only_in_memory_is_detected() {
    assert_search_detects::<ForgetsPromises>(InitialState::Disconnected);
}

#[test]
fn an_incomplete_leader_is_detected() {
    assert_search_detects::<TakesIncompleteLeaders>(InitialState::OneComplete);
}

/// Found by the search with two departures.
#[test]
fn a_disk_lost_and_an_identity_kept_is_shown() {
    let path = [(46, Action::LoseDisk(0)), (48, Action::Replace(1))];
    assert_path_detects::<KeepsIdentityWithoutDisk>(InitialState::OneDown, &path);
}

/// Found by the search with two departures.
#[test]
fn an_answer_for_the_old_incarnation_is_shown() {
    let path = [(46, Action::LoseDisk(0)), (48, Action::Replace(1))];
    assert_path_detects::<AnswersForOldIncarnation>(InitialState::OneDown, &path);
}
