//! Responses reach the caller that sent the command, and no other one.

mod common;

use common::{Single, evacuate, heartbeat, replace};
use whinspindle_configuration::InstanceState;
use whinspindle_controller::Event;

#[test]
fn each_caller_gets_the_answer_to_its_own_command() {
    let mut single = Single::in_quorum();
    single.disk_works = false;
    let first = single.call(replace(0, 1));
    let second = single.call(replace(0, 2));
    let evacuation = single.call(evacuate("zone-a", true));
    assert!(single.answers.is_empty(), "nothing is durable yet");
    for _ in 0..3 {
        single.finish_writes();
        single.pass(50);
    }
    single.disk_works = true;
    single.finish_writes();
    single.pass(1_000);
    let status = |id| single.answer(id).map(|answer| answer.status.as_u16());
    assert_eq!((status(first), status(second), status(evacuation)), (Some(200), Some(412), Some(200)));
}

#[test]
fn response_to_a_closed_connection_reaches_no_other_caller() {
    let mut single = Single::in_quorum();
    single.disk_works = false;
    let dropped = single.call(evacuate("zone-a", true));
    let connected = single.call(evacuate("zone-b", true));
    single.handle(Event::CallDropped { id: dropped });
    single.disk_works = true;
    single.finish_writes();
    single.pass(1_000);
    assert!(single.answer(dropped).is_none());
    assert_eq!(single.answer(connected).map(|answer| answer.status.as_u16()), Some(200));
}

/// Call ids and tickets are numbered from the beginning after each start, so a command of the previous process
/// must not be answered to a new caller.
#[test]
fn restarted_controller_answers_no_earlier_call() {
    let mut previous = Single::in_quorum();
    previous.disk_works = false;
    previous.call(replace(0, 1));
    let mut restarted = Single::in_quorum();
    let heartbeat_call = restarted.call(heartbeat("i-1", 1, InstanceState::Ready));
    restarted.pass(10_000);
    assert_eq!(restarted.answers.keys().copied().collect::<Vec<_>>(), [heartbeat_call]);
}
