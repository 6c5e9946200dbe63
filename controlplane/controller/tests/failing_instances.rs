//! The instances that are reported to all balancers as failing.

use std::net::SocketAddr;

use whinspindle_controller::failing_instances;
use whinspindle_registry::{Lease, ObservedFailures, ServiceSize};

/// A balancer that has seen these failures.
fn balancer(number: u8, failures: &[(&str, u32)]) -> Lease {
    let seen = |&(instance, failed_requests): &(&str, u32)| ObservedFailures {
        instance: instance.to_owned(),
        failed_requests,
    };
    Lease {
        node: format!("edge-{number}"),
        incarnation: 1,
        zone: "z".to_owned(),
        region: "r".to_owned(),
        front_address: SocketAddr::from(([10, 0, 0, number], 80)),
        ready: true,
        shutting_down: false,
        request_rates: Vec::new(),
        observed_failures: failures.iter().map(seen).collect(),
    }
}

/// Ten instances of `model`, two of `desk`; the first letter of an id tells which.
fn service_of(id: &str) -> Option<ServiceSize<'static>> {
    match id.chars().next()? {
        'm' => Some(ServiceSize { service: "model", instance_count: 10 }),
        'd' => Some(ServiceSize { service: "desk", instance_count: 2 }),
        _ => None,
    }
}

fn named(balancers: &[Lease]) -> Vec<String> {
    failing_instances::detect(balancers.iter(), service_of)
}

#[test]
fn failures_seen_by_one_balancer_are_not_enough() {
    assert!(named(&[balancer(1, &[("m1", 50)])]).is_empty());
}

#[test]
fn three_failures_seen_by_two_balancers_are_enough() {
    assert_eq!(named(&[balancer(1, &[("m1", 1)]), balancer(2, &[("m1", 2)])]), ["m1"]);
    assert!(named(&[balancer(1, &[("m1", 1)]), balancer(2, &[("m1", 1)])]).is_empty(), "two failures");
}

#[test]
fn no_instance_is_named_where_all_fail_occasionally() {
    let all: Vec<(String, u32)> = (0..10).map(|number| (format!("m{number}"), 3)).collect();
    let all: Vec<(&str, u32)> = all.iter().map(|(id, count)| (id.as_str(), *count)).collect();
    assert!(named(&[balancer(1, &all), balancer(2, &all)]).is_empty());
    assert!(named(&[balancer(1, &[("d1", 5)]), balancer(2, &[("d1", 5)])]).is_empty(), "one of two");
}

#[test]
fn outliers_are_named_among_occasional_failures() {
    let seen = [("m1", 9), ("m2", 9), ("m3", 1), ("m4", 1)];
    assert_eq!(named(&[balancer(1, &seen), balancer(2, &seen)]), ["m1", "m2"]);
}

#[test]
fn unknown_instances_are_not_named() {
    assert!(named(&[balancer(1, &[("x", 9)]), balancer(2, &[("x", 9)])]).is_empty());
}
