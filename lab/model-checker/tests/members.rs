//! Whole members, with departures from the plain schedule at every delivery, and the faults that these find.

use whinspindle_fleet_policy::{LeaseState, MemberRules, StandardConsensusRules};
use whinspindle_lab_model_checker::members::{Fault, PLAIN, Plan, World, hunt, search};
use whinspindle_lab_model_checker::plants::*;

#[test]
fn undisturbed_both_changes_take_hold_everywhere() {
    for (plan, number) in [
        (Plan::default(), 2),
        (Plan { objects: Some(2), ..Plan::default() }, 1),
        // Founded, and nothing more: there is a right to number 0. It was granted and not counted once.
        (Plan { proposed: [99, 99], ..Plan::default() }, 0),
        (OUTS, 0),
        (MOVES, 2),
    ] {
        let end = World::<StandardConsensusRules>::new(plan, false).play(&[]).expect("nothing is broken");
        assert_eq!(end.in_force(), vec![Some(number); 5], "{plan:?}");
        assert_eq!(end.released(), if plan.outs.is_some() { 2 } else { 0 }, "{plan:?}");
        assert_eq!(end.rights(), vec![Some(LeaseState::Policy(number)); 5], "{plan:?}");
    }
}

#[test]
fn a_halt_that_was_ended_stays_ended() {
    // The halt was done again and again: voters kept the request for it, and the one for its end.
    for halts in [[3, 4], [3, 5], [3, 3], [4, 8]] {
        let plan = Plan { proposed: [99, 99], halts: Some(halts), ..Plan::default() };
        let end = World::<StandardConsensusRules>::new(plan, false).play(&[]).expect("nothing is broken");
        // Founded, halted, resumed; where the end came first there was nothing to end.
        assert!(
            end.halted().iter().all(|(halted, steps)| *steps <= 3 && *halted == (*steps < 3)),
            "{halts:?}"
        );
    }
}

#[test]
fn a_release_goes_in_waves_and_back() {
    for (plan, end) in [(RELEASE, "Done 2"), (TURNED, "TakenBack 0")] {
        let world = World::<StandardConsensusRules>::new(plan, false).play(&[]).expect("nothing is broken");
        assert_eq!(world.releases(), vec![end; 5], "{plan:?}");
    }
}

#[test]
fn a_voter_makes_way_and_the_new_board_goes_on() {
    let end = World::<StandardConsensusRules>::new(MOVES, false).play(&[]).expect("nothing is broken");
    assert_eq!(end.voters(), vec![vec![0, 1, 4]; 5]);
}

#[test]
fn a_step_whose_time_is_over_is_not_done() {
    // The leader stood still between the beginning of its round and the promises; meanwhile a balancer went
    // down.
    let plan = Plan { outs: Some([6, 6]), ..Plan::default() };
    let departures = [(251, Fault::Late(4)), (244, Fault::Crash(9)), (279, Fault::Stop(7))];
    assert_eq!(World::<StandardConsensusRules>::new(plan, false).play(&departures).err(), None);
}

#[test]
fn after_one_fault_of_any_kind_everything_goes_on() {
    // The first of the voters lost its disk: nobody was the leader any more, since it was heard and did not
    // count.
    let plan = Plan { steps: 60, ..Plan::default() };
    let deliveries =
        World::<StandardConsensusRules>::new(plan, false).play(&[]).expect("nothing is broken").deliveries();
    for at in 1..deliveries.min(400) {
        for fault in [Fault::LostDisk(2), Fault::Crash(9), Fault::Deaf(9), Fault::Cut(9), Fault::Stop(7)] {
            let end = World::<StandardConsensusRules>::new(plan, false)
                .play(&[(at, fault)])
                .expect("nothing is broken");
            // A proposer that dies before its request is heard takes it with it.
            let rights = end.rights();
            let same = rights
                .iter()
                .all(|right| *right == rights[0] && matches!(right, Some(LeaseState::Policy(_))));
            assert!(same, "{fault:?} at {at}: {rights:?}");
            let voters = end.voters();
            assert!(voters.iter().all(|voters| *voters == [0, 1, 2]), "{fault:?} at {at}: {voters:?}");
            assert!(end.births_agree(), "{fault:?} at {at}");
        }
    }
}

#[test]
fn as_published_no_departure_breaks_anything() {
    let searched = search::<StandardConsensusRules>(Plan::default(), false, 1, 100_000);
    println!("one departure: {} states, {} schedules", searched.states, searched.schedules);
    assert_eq!(searched.broken, None);
    for plan in [Plan::default(), HASTY, OUTS, MOVES, RELEASE, TURNED] {
        assert_eq!(hunt::<StandardConsensusRules>(plan, false, 0..300, 6).broken, None, "{plan:?}");
    }
}

/// Who is unheard for a step is taken to be away, so that changes follow one another fast.
const HASTY: Plan = Plan { proposed: [3, 4], absent: 1, ..PLAIN };

/// A voter makes way for a follower between the two changes.
const MOVES: Plan = Plan { proposed: [3, 13], absent: 2, moves: Some(9), ..PLAIN };

/// Two supervisors request their balancers out at the same time, where one may be.
const OUTS: Plan = Plan { outs: Some([6, 6]), ..PLAIN };

/// A release of both followers in two waves, their supervisors waiting from the beginning; and one that turns
/// back.
const RELEASE: Plan = Plan { outs: Some([4, 4]), release: Some([4, 99]), steps: 45, ..PLAIN };
const TURNED: Plan = Plan { release: Some([4, 18]), steps: 60, ..RELEASE };

fn found<L: MemberRules>(plan: Plan, forgets: bool) {
    let searched = search::<L>(plan, forgets, 1, 50_000);
    let broken = searched.broken.or_else(|| hunt::<L>(plan, forgets, 0..20_000, 6).broken);
    let (broken, departures) =
        broken.unwrap_or_else(|| panic!("{} is not found", std::any::type_name::<L>()));
    println!("{}: {broken}\n  {departures:?}", std::any::type_name::<L>());
    assert!(departures.len() <= 6);
}

#[test]
fn each_planted_fault_is_found() {
    let plan = Plan::default();
    found::<HalfIsEnough>(plan, false);
    found::<RightFromItsComing>(plan, false);
    found::<RightHeldTooLong>(plan, false);
    found::<AnyRightWillDo>(plan, false);
    found::<NoWindow>(HASTY, false);
    found::<WishesForgotten>(OUTS, false);
    found::<AnyUnitMayGo>(RELEASE, false);
    found::<WaveUnwatched>(RELEASE, false);
    found::<AwayNotCounted>(Plan { outs: Some([14, 14]), ..OUTS }, false);
}
