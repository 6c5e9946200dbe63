//! Heartbeats and departures that arrive late, out of order, or without an earlier announcement.

mod common;

use common::*;
use http::StatusCode;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use whinspindle_configuration::InstanceState::{Draining, Ready};
use whinspindle_controller::api::Call;
use whinspindle_distribution::Instance;

/// An instance reads at most this much of a response.
const MAX_RESPONSE_BYTES: usize = 4096;

fn newest_list_sent(single: &Single) -> &[Instance] {
    let sent = single.updates.iter().rev().find_map(|(_, update)| update.instances.as_ref());
    sent.map(|instances| instances.list.as_slice()).unwrap_or_default()
}

/// The ids of the instances in the list that balancers were sent last, and whether they are draining.
fn instances_sent(single: &Single) -> Vec<(String, bool)> {
    let listed = newest_list_sent(single).iter().filter(|instance| !instance.is_ended());
    listed.map(|instance| (instance.id.clone(), instance.draining)).collect()
}

/// The ended instances in the list that balancers were sent last.
fn ended_instances_sent(single: &Single) -> Vec<String> {
    let listed = newest_list_sent(single).iter().filter(|instance| instance.is_ended());
    listed.map(|instance| instance.id.clone()).collect()
}

fn started_with_a_balancer() -> Single {
    let mut single = Single::in_quorum();
    single.report(1, report(1, "zone-a"));
    single
}

#[test]
fn response_to_a_heartbeat_has_a_bounded_length() {
    let mut single = started_with_a_balancer();
    for number in 1..=200 {
        single.status(heartbeat(&format!("i-{number}"), 1, Ready));
    }
    for call in [heartbeat("i-1", 2, Ready), heartbeat("i-1", 3, Draining), deregister("i-1")] {
        let id = single.call(call);
        let answer = single.answer(id).expect("it is answered at once");
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.body.len() <= MAX_RESPONSE_BYTES);
    }
}

#[test]
fn deregistration_without_draining_is_permanent() {
    let mut single = started_with_a_balancer();
    single.status(heartbeat("i-1", 1, Ready));
    single.status(heartbeat("i-2", 1, Ready));
    assert_eq!(single.status(deregister("i-1")), StatusCode::OK);
    assert_eq!(instances_sent(&single), [("i-2".to_owned(), false)]);
    assert_eq!(ended_instances_sent(&single), ["i-1"]);
    for (sequence, state) in [(2, Ready), (9, Ready), (10, Draining)] {
        assert_eq!(single.status(heartbeat("i-1", sequence, state)), StatusCode::OK);
        single.pass(500);
        assert_eq!(instances_sent(&single), [("i-2".to_owned(), false)]);
        assert_eq!(ended_instances_sent(&single), ["i-1"]);
    }
    assert_eq!(single.status(deregister("i-1")), StatusCode::OK, "a retry");
}

/// A heartbeat or a deregistration of one of two instances.
#[derive(Clone, Debug)]
struct Announcement {
    instance: &'static str,
    sequence: u64,
    kind: Kind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Ready,
    Draining,
    Deregister,
}

impl Arbitrary for Announcement {
    fn arbitrary(generator: &mut Gen) -> Self {
        let instance = *generator.choose(&["i-1", "i-2"]).expect("one of two");
        let kind =
            *generator.choose(&[Kind::Ready, Kind::Ready, Kind::Draining, Kind::Deregister]).expect("a kind");
        Announcement { instance, sequence: u64::arbitrary(generator) % 20, kind }
    }
}

impl Announcement {
    fn call(&self) -> Call {
        match self.kind {
            Kind::Ready => heartbeat(self.instance, self.sequence, Ready),
            Kind::Draining => heartbeat(self.instance, self.sequence, Draining),
            Kind::Deregister => deregister(self.instance),
        }
    }
}

#[test]
fn acknowledged_departure_is_permanent_in_any_order_of_heartbeats() {
    fn property(announcements: Vec<Announcement>) -> bool {
        let mut single = started_with_a_balancer();
        let mut departed: Vec<(&str, Kind)> = Vec::new();
        announcements.iter().all(|announcement| {
            let acknowledged = single.status(announcement.call()) == StatusCode::OK;
            if announcement.kind != Kind::Ready {
                departed.push((announcement.instance, announcement.kind));
            }
            single.pass(TICK_MS);
            let sent = instances_sent(&single);
            let is_sent_as_departed = |&(instance, kind): &(&str, Kind)| {
                sent.iter().all(|(id, draining)| id != instance || (*draining && kind == Kind::Draining))
            };
            acknowledged && departed.iter().all(is_sent_as_departed)
        })
    }
    QuickCheck::new().tests(60).quickcheck(property as fn(Vec<Announcement>) -> bool);
}
