//! Which instances are told to all balancers as failing.

use std::net::SocketAddr;

use whinspindle_controller::evidence::failing;
use whinspindle_registry::{Lease, SeenFailures};

/// A balancer that has seen these failures.
fn balancer(number: u8, failures: &[(&str, u32)]) -> Lease {
    let seen = |&(instance, failures): &(&str, u32)| SeenFailures { instance: instance.to_owned(), failures };
    Lease {
        node: format!("edge-{number}"),
        incarnation: 1,
        zone: "z".to_owned(),
        region: "r".to_owned(),
        front: SocketAddr::from(([10, 0, 0, number], 80)),
        ready: true,
        shutting_down: false,
        sends: Vec::new(),
        failing: failures.iter().map(seen).collect(),
    }
}

/// Ten instances of `model`, two of `desk`; the first letter of an id tells which.
fn service_of(id: &str) -> Option<(&'static str, usize)> {
    match id.chars().next()? {
        'm' => Some(("model", 10)),
        'd' => Some(("desk", 2)),
        _ => None,
    }
}

fn named(balancers: &[Lease]) -> Vec<String> {
    failing(balancers.iter(), service_of)
}

#[test]
fn one_balancers_word_is_not_enough() {
    assert!(named(&[balancer(1, &[("m1", 50)])]).is_empty());
}

#[test]
fn what_two_have_seen_fail_three_times_is_named() {
    assert_eq!(named(&[balancer(1, &[("m1", 1)]), balancer(2, &[("m1", 2)])]), ["m1"]);
    assert!(named(&[balancer(1, &[("m1", 1)]), balancer(2, &[("m1", 1)])]).is_empty(), "two failures");
}

#[test]
fn where_all_fail_now_and_then_none_is_named() {
    let all: Vec<(String, u32)> = (0..10).map(|number| (format!("m{number}"), 3)).collect();
    let all: Vec<(&str, u32)> = all.iter().map(|(id, count)| (id.as_str(), *count)).collect();
    assert!(named(&[balancer(1, &all), balancer(2, &all)]).is_empty());
    assert!(named(&[balancer(1, &[("d1", 5)]), balancer(2, &[("d1", 5)])]).is_empty(), "one of two");
}

#[test]
fn those_that_stand_out_are_named_beside_others() {
    let seen = [("m1", 9), ("m2", 9), ("m3", 1), ("m4", 1)];
    assert_eq!(named(&[balancer(1, &seen), balancer(2, &seen)]), ["m1", "m2"]);
}

#[test]
fn instances_that_are_not_known_are_not_named() {
    assert!(named(&[balancer(1, &[("x", 9)]), balancer(2, &[("x", 9)])]).is_empty());
}
