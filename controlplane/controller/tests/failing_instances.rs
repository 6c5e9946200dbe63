//! Detection of failing instances from the failures that balancers report.

use std::net::SocketAddr;

use whinspindle_controller::failing_instances;
use whinspindle_registry::{Lease, ObservedFailures, ServiceSize};

/// The lease of a balancer that reported these failures.
fn balancer(number: u8, failures: &[(&str, u32)]) -> Lease {
    let observed = |&(instance, failed_requests): &(&str, u32)| ObservedFailures {
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
        observed_failures: failures.iter().map(observed).collect(),
    }
}

/// The service `model` has ten instances and `desk` has two; the first letter of an id selects the service.
fn service_of(id: &str) -> Option<ServiceSize<'static>> {
    match id.chars().next()? {
        'm' => Some(ServiceSize { service: "model", instance_count: 10 }),
        'd' => Some(ServiceSize { service: "desk", instance_count: 2 }),
        _ => None,
    }
}

fn detect(balancers: &[Lease]) -> Vec<String> {
    failing_instances::detect(balancers.iter(), service_of)
}

#[test]
fn failures_reported_by_one_balancer_are_not_enough() {
    assert!(detect(&[balancer(1, &[("m1", 50)])]).is_empty());
}

#[test]
fn three_failures_reported_by_two_balancers_are_enough() {
    assert_eq!(detect(&[balancer(1, &[("m1", 1)]), balancer(2, &[("m1", 2)])]), ["m1"]);
    assert!(detect(&[balancer(1, &[("m1", 1)]), balancer(2, &[("m1", 1)])]).is_empty(), "two failures");
}

#[test]
fn no_instance_is_detected_if_all_fail_occasionally() {
    let all: Vec<(String, u32)> = (0..10).map(|number| (format!("m{number}"), 3)).collect();
    let all: Vec<(&str, u32)> = all.iter().map(|(id, count)| (id.as_str(), *count)).collect();
    assert!(detect(&[balancer(1, &all), balancer(2, &all)]).is_empty());
    assert!(detect(&[balancer(1, &[("d1", 5)]), balancer(2, &[("d1", 5)])]).is_empty(), "one of two");
}

#[test]
fn outliers_are_detected_among_occasional_failures() {
    let failures = [("m1", 9), ("m2", 9), ("m3", 1), ("m4", 1)];
    assert_eq!(detect(&[balancer(1, &failures), balancer(2, &failures)]), ["m1", "m2"]);
}

#[test]
fn unknown_instances_are_ignored() {
    assert!(detect(&[balancer(1, &[("x", 9)]), balancer(2, &[("x", 9)])]).is_empty());
}
