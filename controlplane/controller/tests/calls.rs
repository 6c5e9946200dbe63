//! Which caller gets which answer.

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
    let zone = single.call(evacuate("zone-a", true));
    assert!(single.answers.is_empty(), "nothing is durable yet");
    for _ in 0..3 {
        single.finish_writes();
        single.pass(50);
    }
    single.disk_works = true;
    single.finish_writes();
    single.pass(1_000);
    let status = |id| single.answer(id).map(|answer| answer.status.as_u16());
    assert_eq!((status(first), status(second), status(zone)), (Some(200), Some(412), Some(200)));
}

#[test]
fn answer_to_a_closed_connection_reaches_no_other_caller() {
    let mut single = Single::in_quorum();
    single.disk_works = false;
    let gone = single.call(evacuate("zone-a", true));
    let stays = single.call(evacuate("zone-b", true));
    single.handle(Event::CallDropped { id: gone });
    single.disk_works = true;
    single.finish_writes();
    single.pass(1_000);
    assert!(single.answer(gone).is_none());
    assert_eq!(single.answer(stays).map(|answer| answer.status.as_u16()), Some(200));
}

/// The numbers of calls and tickets begin anew with each start; nothing that the process before had under way is left
/// to meet them.
#[test]
fn a_start_knows_no_call_of_the_process_before() {
    let mut before = Single::in_quorum();
    before.disk_works = false;
    before.call(replace(0, 1));
    let mut after = Single::in_quorum();
    let beat = after.call(heartbeat("i-1", 1, InstanceState::Ready));
    after.pass(10_000);
    assert_eq!(after.answers.keys().copied().collect::<Vec<_>>(), [beat]);
}
