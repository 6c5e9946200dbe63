//! A single controller that is its own quorum: acknowledgement of commands, and publication to balancers and
//! clients.

mod common;

use bytes::Bytes;
use common::*;
use http::StatusCode;
use whinspindle_configuration::InstanceState::{Draining, Ready};
use whinspindle_controller::Event;
use whinspindle_controller::api::Call;
use whinspindle_distribution::{Report, SubscriberId, Update, Versions};

/// The ids in the list of instances that was sent last, and whether they are draining or have ended.
fn instances_sent(single: &Single) -> Vec<(String, bool)> {
    let sent = single.updates.iter().rev().find_map(|(_, update)| update.instances.as_ref());
    let list = sent.map(|instances| instances.list.as_slice()).unwrap_or_default();
    list.iter().map(|instance| (instance.id.clone(), instance.draining)).collect()
}

fn addresses(single: &mut Single, region: &str, zone: &str) -> Vec<String> {
    let id = single.call(resolve(region, zone));
    let answer = single.answer(id).expect("a question is answered at once");
    if answer.status != StatusCode::OK {
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        return Vec::new();
    }
    let text = std::str::from_utf8(&answer.body).unwrap();
    let list =
        text.strip_prefix("{\"addrs\":[").and_then(|rest| rest.strip_suffix("],\"ttl_s\":2}")).unwrap();
    list.split(',').map(|address| address.trim_matches('"').to_owned()).collect()
}

/// A controller in a quorum that has received a report from each of these balancers.
fn started_with_balancers(balancers: &[(u8, &str)]) -> Single {
    let mut single = Single::in_quorum();
    for (number, zone) in balancers {
        single.report(u64::from(*number), report(*number, zone));
    }
    single
}

#[test]
fn command_is_acknowledged_only_once_it_is_durable() {
    let commands =
        [replace(0, 3), evacuate("zone-a", true), heartbeat("i-1", 1, Draining), deregister("i-2")];
    for command in commands {
        let mut single = Single::in_quorum();
        single.disk_works = false;
        let id = single.call(command.clone());
        single.pass(2 * TICK_MS);
        assert_eq!(single.answer(id), None, "{command:?}");
        single.finish_writes();
        single.disk_works = true;
        single.pass(TICK_MS);
        assert_eq!(single.answer(id).map(|answer| answer.status), Some(StatusCode::OK), "{command:?}");
    }
}

#[test]
fn command_without_an_outcome_is_answered_before_the_client_time_out() {
    let mut single = Single::in_quorum();
    single.disk_works = false;
    let id = single.call(replace(0, 3));
    single.pass(850);
    assert_eq!(single.answer(id), None);
    single.pass(100);
    assert_eq!(single.answer(id).map(|answer| answer.status), Some(StatusCode::SERVICE_UNAVAILABLE));
    single.finish_writes();
    single.disk_works = true;
    single.pass(2_000);
    assert_eq!(single.status(replace(0, 3)), StatusCode::OK, "a retry of the command");
}

#[test]
fn a_configuration_is_replaced_once_and_acknowledged_again() {
    let mut single = Single::in_quorum();
    assert_eq!(single.status(replace(0, 3)), StatusCode::OK);
    assert_eq!(single.status(replace(0, 3)), StatusCode::OK, "a retry");
    assert_eq!(single.status(replace(0, 4)), StatusCode::PRECONDITION_FAILED, "another base is current");
    assert_eq!(single.status(replace(3, 2)), StatusCode::CONFLICT, "not above the current one");
    assert_eq!(single.status(replace(3, 9)), StatusCode::OK);
    assert_eq!(single.status(replace(0, 3)), StatusCode::OK, "a retry of an older one");
    let id = single.call(Call::Fetch);
    let answer = single.answer(id).expect("a read is answered");
    assert_eq!((answer.status, &answer.body), (StatusCode::OK, &configuration(9)));
}

#[test]
fn fetch_without_a_configuration_is_not_found() {
    let mut single = Single::in_quorum();
    assert_eq!(single.status(Call::Fetch), StatusCode::NOT_FOUND);
}

#[test]
fn only_known_zones_are_evacuated() {
    let mut single = Single::in_quorum();
    assert_eq!(single.status(evacuate("zone-x", true)), StatusCode::NOT_FOUND);
    for _ in 0..2 {
        assert_eq!(single.evacuation_status("zone-a", true), StatusCode::OK);
    }
    for _ in 0..2 {
        assert_eq!(single.evacuation_status("zone-a", false), StatusCode::OK);
    }
    assert_eq!(single.evacuation_status("zone-a", true), StatusCode::OK);
}

#[test]
fn status_counts_command_outcomes() {
    let mut single = Single::in_quorum();
    assert_eq!(single.status(replace(0, 3)), StatusCode::OK);
    assert_eq!(single.status(replace(0, 4)), StatusCode::PRECONDITION_FAILED);
    assert_eq!(single.status(replace(3, 3)), StatusCode::OK, "the same bytes as before");
    single.call(replace(8, 9));
    single.pass(1_000);
    let id = single.call(Call::Status);
    let status = single.answer(id).expect("the status is told at once").body.clone();
    let expected = "\"orders_confirmed\":2,\"orders_refused\":1,\"orders_unclear\":1";
    assert!(String::from_utf8_lossy(&status).contains(expected), "{status:?}");
}

/// A delayed request arrives after a newer command. Its caller follows no redirect, whether or not the end of
/// its connection arrives.
#[test]
fn evacuation_command_whose_caller_has_moved_on_is_not_submitted() {
    let mut single = started_with_balancers(&[(1, "zone-a")]);
    assert_eq!(single.evacuation_status("zone-a", false), StatusCode::OK, "the newer command");
    single.updates.clear();
    let id = single.call(evacuate("zone-a", true));
    single.pass(2_000);
    let redirect = single.answer(id).and_then(redirected_call);
    assert!(redirect.is_some(), "the caller is redirected: {:?}", single.answer(id));
    let mut published = single.updates.iter().filter_map(|(_, update)| update.evacuations.as_ref());
    assert!(published.all(|evacuations| evacuations.zones.is_empty()), "the delayed command was submitted");
}

#[test]
fn configuration_ahead_of_its_base_is_applied_after_it() {
    let mut single = Single::in_quorum();
    let early = single.call(replace(3, 5));
    assert_eq!(single.answer(early), None, "the base may still be applied");
    single.pass(300);
    assert_eq!(single.status(replace(0, 3)), StatusCode::OK);
    single.pass(300);
    assert_eq!(single.answer(early).map(|answer| answer.status), Some(StatusCode::OK));

    let early = single.call(replace(9, 11));
    single.pass(1_000);
    let answer = single.answer(early).expect("a response before the caller times out");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(
        answer
            .body
            .starts_with(b"{\"error\":\"the configuration that this one builds on is not in place yet")
    );
    single.pass(1_000);
    assert_eq!(single.status(replace(5, 9)), StatusCode::OK);
    let id = single.call(Call::Fetch);
    assert_eq!(single.answer(id).map(|answer| &answer.body), Some(&configuration(9)), "it was given up");
}

/// The history no longer holds the first of 600 changes, so a retry of it gets 503 instead of a refusal.
#[test]
fn configuration_applied_long_ago_is_never_refused() {
    let mut single = Single::in_quorum();
    for generation in 1..=600 {
        assert_eq!(single.status(replace(generation - 1, generation)), StatusCode::OK);
    }
    for generation in 1..=600 {
        let expected = if generation > 88 { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        assert_eq!(single.status(replace(generation - 1, generation)), expected, "generation {generation}");
    }
    assert_eq!(single.status(replace(88, 600)), StatusCode::OK, "the same bytes");
    assert_eq!(single.status(replace(599, 601)), StatusCode::PRECONDITION_FAILED);
}

#[test]
fn heartbeats_are_acknowledged_without_the_disk() {
    let mut single = Single::in_quorum();
    single.disk_works = false;
    assert_eq!(single.status(heartbeat("i-1", 5, Ready)), StatusCode::OK);
    assert_eq!(single.status(heartbeat("i-1", 4, Ready)), StatusCode::OK, "a delayed one");
}

#[test]
fn draining_instance_is_published_before_it_is_acknowledged() {
    let mut single = started_with_balancers(&[(1, "zone-a")]);
    single.call(heartbeat("i-1", 1, Ready));
    assert_eq!(instances_sent(&single), [("i-1".to_owned(), false)]);
    single.disk_works = false;
    let id = single.call(heartbeat("i-1", 2, Draining));
    assert_eq!(single.answer(id), None);
    assert_eq!(instances_sent(&single), [("i-1".to_owned(), true)]);
}

#[test]
fn a_repeated_draining_heartbeat_is_acknowledged_without_another_write() {
    let mut single = Single::in_quorum();
    assert_eq!(single.status(heartbeat("i-1", 1, Draining)), StatusCode::OK);
    single.disk_works = false;
    assert_eq!(single.status(heartbeat("i-1", 2, Draining)), StatusCode::OK);
    assert_eq!(single.status(heartbeat("i-1", 3, Ready)), StatusCode::OK, "it stays drained");
}

#[test]
fn instances_that_arrive_together_are_published_together() {
    let mut single = started_with_balancers(&[(1, "zone-a")]);
    single.updates.clear();
    for number in 1..=19 {
        single.status(heartbeat(&format!("i-{number}"), 1, Ready));
    }
    single.pass(400);
    let lists = single.updates.iter().filter(|(_, update)| update.instances.is_some()).count();
    assert!(lists <= 2, "{lists} lists");
    assert_eq!(instances_sent(&single).len(), 19);
}

#[test]
fn draining_instance_is_published_without_batching() {
    let mut single = started_with_balancers(&[(1, "zone-a")]);
    single.status(heartbeat("i-1", 1, Ready));
    single.pass(400);
    single.status(heartbeat("i-2", 1, Ready));
    single.status(heartbeat("i-1", 2, Draining));
    assert!(instances_sent(&single).contains(&("i-1".to_owned(), true)));
}

#[test]
fn ended_instance_is_published_to_balancers() {
    let mut single = started_with_balancers(&[(1, "zone-a")]);
    single.call(heartbeat("i-1", 1, Ready));
    single.call(heartbeat("i-2", 1, Ready));
    assert_eq!(single.status(deregister("i-1")), StatusCode::OK);
    // The ended instance stays in the list for a while: a balancer that was partitioned may still have it as
    // ready.
    let expected = [("i-2".to_owned(), false), ("i-1".to_owned(), true)];
    assert_eq!(instances_sent(&single), expected);
    assert_eq!(single.status(heartbeat("i-1", 2, Ready)), StatusCode::OK, "a delayed heartbeat");
    assert_eq!(instances_sent(&single), expected);
    for sequence in 2..33 {
        single.pass(1_000);
        single.call(heartbeat("i-2", sequence, Ready));
    }
    single.call(heartbeat("i-3", 1, Ready));
    assert_eq!(instances_sent(&single), [("i-2".to_owned(), false), ("i-3".to_owned(), false)]);
}

#[test]
fn a_committed_change_goes_to_every_balancer_at_once() {
    let mut single = started_with_balancers(&[(1, "zone-a"), (2, "zone-c")]);
    single.updates.clear();
    single.call(replace(0, 3));
    single.evacuation_status("zone-b", true);
    for subscriber in [SubscriberId(1), SubscriberId(2)] {
        let updates: Vec<&Update> =
            single.updates.iter().filter(|(to, _)| *to == subscriber).map(|(_, update)| update).collect();
        let body = updates.iter().find_map(|update| Some(update.configured.as_ref()?.body.clone()));
        assert_eq!(body, Some(configuration(3)));
        let zones = updates.iter().find_map(|update| Some(update.evacuations.as_ref()?.zones.clone()));
        assert_eq!(zones, Some(vec!["zone-b".to_owned()]));
    }
}

#[test]
fn new_balancer_gets_only_missing_sections() {
    let mut single = Single::in_quorum();
    single.call(replace(0, 3));
    single.call(heartbeat("i-1", 1, Ready));
    single.report(7, report(7, "zone-a"));
    let (to, update) = single.updates.last().expect("an update");
    assert_eq!(*to, SubscriberId(7));
    let sequence = update.configured.as_ref().expect("the configuration").sequence;
    assert_eq!(instances_sent(&single), [("i-1".to_owned(), false)]);
    let link = single.links.iter().find(|(to, _)| *to == SubscriberId(7));
    assert!(link.is_some_and(|(_, link)| link.in_quorum && link.controllers.len() == 1));

    single.updates.clear();
    let applied = Versions { configured: sequence, ..Versions::default() };
    single.report(8, Report { applied, ..report(8, "zone-a") });
    let update = &single.updates.iter().find(|(to, _)| *to == SubscriberId(8)).expect("an update").1;
    assert_eq!(update.configured, None, "it has the configuration already");
}

#[test]
fn controller_publishes_neither_instances_nor_addresses_right_after_its_start() {
    let mut single = Single::start();
    single.pass(500);
    single.report(1, report(1, "zone-a"));
    single.call(heartbeat("i-1", 1, Ready));
    assert!(addresses(&mut single, "north", "zone-a").is_empty());
    assert!(single.updates.iter().all(|(_, update)| update.instances.is_none() && update.fleet.is_none()));
    single.pass(2_400);
    single.report(1, report(1, "zone-a"));
    single.call(heartbeat("i-1", 2, Ready));
    single.pass(200);
    assert_eq!(addresses(&mut single, "north", "zone-a"), ["10.1.0.1:8161"]);
    assert_eq!(instances_sent(&single), [("i-1".to_owned(), false)]);
}

#[test]
fn controller_with_restored_state_publishes_instances_and_addresses_once_in_a_quorum() {
    let mut single = started_with_balancers(&[(1, "zone-a")]);
    single.call(heartbeat("i-1", 1, Ready));
    single.pass(1_100);
    let state = single.saved_states.pop().expect("the state was saved");
    let mut single = Single::start();
    single.handle(Event::StateRestored { state: state.into() });
    single.report(1, report(1, "zone-a"));
    single.pass(200);
    assert!(single.controller.is_in_quorum(single.now));
    assert_eq!(instances_sent(&single), [("i-1".to_owned(), false)]);
    assert_eq!(addresses(&mut single, "north", "zone-a"), ["10.1.0.1:8161"]);
}

#[test]
fn unreadable_saved_state_is_ignored() {
    let mut single = Single::start();
    single.handle(Event::StateRestored { state: Bytes::from_static(b"no state") });
    single.pass(500);
    assert!(addresses(&mut single, "north", "zone-a").is_empty());
}

#[test]
fn state_is_saved_on_changes_only_and_at_a_bounded_rate() {
    let mut single = started_with_balancers(&[(1, "zone-a")]);
    single.call(heartbeat("i-1", 1, Ready));
    single.pass(1_100);
    let written = single.saved_states.len();
    for sequence in 2..6 {
        single.report(1, report(1, "zone-a"));
        single.call(heartbeat("i-1", sequence, Ready));
        single.pass(400);
    }
    assert_eq!(single.saved_states.len(), written, "nothing has changed");
    for number in 2..5 {
        single.report(number, report(number as u8, "zone-a"));
        single.pass(100);
    }
    assert_eq!(single.saved_states.len(), written + 1);
    single.pass(900);
    assert_eq!(single.saved_states.len(), written + 2, "later changes are saved together");
}

#[test]
fn state_is_not_saved_again_while_a_write_is_stalled() {
    let mut single = started_with_balancers(&[(1, "zone-a")]);
    single.pass(1_100);
    single.disk_works = false;
    let written = single.saved_states.len();
    for number in 2..5 {
        single.report(u64::from(number), report(number, "zone-a"));
        single.pass(1_100);
    }
    assert_eq!(single.saved_states.len(), written + 1);
}

#[test]
fn state_is_saved_again_after_the_end_of_a_slow_start() {
    let mut single = started_with_balancers(&[(1, "zone-a")]);
    let Call::Heartbeat { instance, heartbeat } = heartbeat("i-1", 1, Ready) else { unreachable!() };
    let heartbeat = whinspindle_configuration::Heartbeat { slow_start_ms: 1_500, ..heartbeat };
    single.call(Call::Heartbeat { instance, heartbeat });
    single.pass(1_200);
    let written = single.saved_states.len();
    single.report(1, report(1, "zone-a"));
    single.pass(500);
    assert_eq!(single.saved_states.len(), written + 1);
}

#[test]
fn clients_are_directed_to_nearby_balancers() {
    let fleet = [(1, "zone-a"), (2, "zone-a"), (3, "zone-b"), (4, "zone-c")];
    let mut single = started_with_balancers(&fleet);
    assert_eq!(
        addresses(&mut single, "north", "zone-a"),
        ["10.1.0.1:8161", "10.1.0.2:8161"],
        "balancers of the zone"
    );
    let region = ["10.1.0.1:8161", "10.1.0.2:8161", "10.1.0.3:8161"];
    assert_eq!(
        addresses(&mut single, "north", "zone-b"),
        region,
        "balancers of the region, as the zone has too few"
    );
    assert_eq!(
        addresses(&mut single, "south", "zone-c"),
        ["10.1.0.4:8161"],
        "the home regions of the host are unknown"
    );
}

#[test]
fn unready_departing_and_silent_balancers_get_no_clients() {
    let mut single = started_with_balancers(&[(1, "zone-a"), (2, "zone-a"), (3, "zone-a"), (4, "zone-a")]);
    single.report(2, Report { ready: false, ..report(2, "zone-a") });
    single.report(3, Report { shutting_down: true, ..report(3, "zone-a") });
    assert_eq!(addresses(&mut single, "north", "zone-a"), ["10.1.0.1:8161", "10.1.0.4:8161"]);
    for _ in 0..10 {
        single.pass(300);
        single.report(1, report(1, "zone-a"));
    }
    assert_eq!(addresses(&mut single, "north", "zone-a"), ["10.1.0.1:8161"]);
    single.pass(10_000);
    assert!(addresses(&mut single, "north", "zone-a").is_empty(), "no balancer is known to be alive");
}

#[test]
fn balancers_receive_heartbeats_and_the_shutdown_notice() {
    let mut single = started_with_balancers(&[(1, "zone-a")]);
    single.links.clear();
    single.pass(1_000);
    assert!(single.links.len() >= 3, "several a second");
    assert!(single.links.iter().all(|(_, link)| !link.shutting_down));
    single.links.clear();
    single.handle(Event::Shutdown);
    assert!(single.links.iter().any(|(_, link)| link.shutting_down), "at once");
}

#[test]
fn closed_connection_gets_no_response() {
    let mut single = Single::in_quorum();
    single.disk_works = false;
    let id = single.call(replace(0, 3));
    single.handle(Event::CallDropped { id });
    assert!(!single.controller.has_pending_commands());
    single.finish_writes();
    single.pass(2_000);
    assert_eq!(single.answer(id), None);
}

#[test]
fn status_is_a_json_object() {
    let mut single = started_with_balancers(&[(1, "zone-a")]);
    single.call(replace(0, 3));
    let id = single.call(Call::Status);
    let body: &Bytes = &single.answer(id).expect("it is answered at once").body;
    let text = std::str::from_utf8(body).unwrap();
    assert!(text.starts_with("{\"node\":\"core-1\"") && text.ends_with('}'), "{text}");
    for field in [
        "\"fatal_losses\":[]",
        "\"in_quorum\":1",
        "\"generation\":3",
        "\"subscribers\":1",
        "\"chain\":[\"10.0.0.1:7700\"]",
    ] {
        assert!(text.contains(field), "{field} in {text}");
    }
}
