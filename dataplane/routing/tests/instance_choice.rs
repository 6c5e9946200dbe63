//! Routing without exceptions: region weights, the draws of a region and a service, and the choice of an
//! instance.

mod common;

use std::collections::BTreeMap;

use common::*;
use whinspindle_configuration::{Backend, RouteKind};
use whinspindle_distribution::Instance;
use whinspindle_routing::{Choice, Outcome, RequestInfo, Router, RouterSettings};

/// Sends `count` requests, each answered after the latency of its region. Returns the fraction of attempts by
/// region.
fn send_requests(
    router: &mut Router,
    start: u64,
    count: u64,
    interval_ms: u64,
    latency_ms: impl Fn(&str) -> u64,
) -> BTreeMap<String, f64> {
    let mut fractions = BTreeMap::new();
    let mut open_attempts = Vec::new();
    for number in 0..count {
        let now = start + number * interval_ms;
        router.tick(now);
        open_attempts.retain(|&(due, attempt)| {
            if due <= now {
                router.finish_attempt(due, attempt, Outcome::Served);
            }
            due > now
        });
        let (attempt, key) = send(router, now, &request_info()).expect("an instance");
        let region = region_of(router, key);
        open_attempts.push((now + latency_ms(&region), attempt));
        *fractions.entry(region).or_insert(0.0) += 1.0 / count as f64;
    }
    for (due, attempt) in open_attempts {
        router.finish_attempt(due, attempt, Outcome::Served);
    }
    fractions
}

/// Creates a router whose own region has no instances, so that only the weights decide.
fn router_without_own_instances(instances: Vec<whinspindle_distribution::Instance>) -> Router {
    let mut instances = instances;
    instances.retain(|instance| instance.zone != "za");
    router(7, route("r", RouteKind::Unsafe), instances)
}

#[test]
fn initial_weights_follow_the_ready_instances() {
    let mut router = router_without_own_instances(instances_by_region([0, 6, 2]));
    let fractions = send_requests(&mut router, 0, 400, 1, |_| 1);
    assert!((fractions["b"] - 0.75).abs() < 0.08, "{fractions:?}");
}

#[test]
fn a_region_with_rising_latency_loses_weight() {
    let mut router = router_without_own_instances(instances_by_region([0, 4, 4]));
    let latency_ms = |region: &str| if region == "b" { 400 } else { 20 };
    send_requests(&mut router, 0, 3_000, 20, latency_ms);
    let fractions = send_requests(&mut router, 60_000, 500, 20, latency_ms);
    assert!(fractions["b"] < 0.25, "{fractions:?}");
}

#[test]
fn each_region_with_ready_instances_keeps_a_minimum_weight() {
    let mut router = router_without_own_instances(instances_by_region([0, 4, 4]));
    let latency_ms = |region: &str| if region == "b" { 3_000 } else { 5 };
    send_requests(&mut router, 0, 8_000, 25, latency_ms);
    let fractions = send_requests(&mut router, 200_000, 2_000, 25, latency_ms);
    let b = fractions.get("b").copied().unwrap_or(0.0);
    assert!(b > 0.005 && b < 0.1, "{fractions:?}");
}

#[test]
fn a_region_that_loses_instances_loses_weight_at_once() {
    let mut router = router_without_own_instances(instances_by_region([0, 4, 4]));
    let mut remaining = instances_by_region([0, 4, 4]);
    remaining.retain(|instance| instance.zone == "zc" || instance.id == "i1");
    router.set_instances(10, &endpoint_list(remaining));
    let fractions = send_requests(&mut router, 20, 500, 1, |_| 1);
    assert!((fractions["b"] - 0.2).abs() < 0.07, "{fractions:?}");
}

#[test]
fn a_region_with_enough_capacity_keeps_its_requests() {
    let mut router = router(3, route("r", RouteKind::Unsafe), instances_by_region([4, 4, 4]));
    let even_loads = ["a", "b", "c"].map(|region| region_load(region, 200.0)).to_vec();
    router.set_fleet(0, &fleet(6, even_loads));
    let fractions = send_requests(&mut router, 0, 500, 10, |_| 5);
    assert!(fractions["a"] > 0.99, "{fractions:?}");
}

#[test]
fn a_region_with_few_instances_sends_requests_to_other_regions() {
    let mut router = router(3, route("r", RouteKind::Unsafe), instances_by_region([1, 6, 6]));
    let loads = vec![region_load("a", 200.0), region_load("b", 200.0), region_load("c", 200.0)];
    router.set_fleet(0, &fleet(6, loads));
    let fractions = send_requests(&mut router, 0, 1_000, 10, |_| 5);
    assert!(fractions["a"] < 0.5, "{fractions:?}");
}

#[test]
fn reported_loads_beyond_the_margin_send_requests_to_other_regions() {
    let mut router = router(3, route("r", RouteKind::Unsafe), instances_by_region([4, 4, 4]));
    for second in 0..20 {
        let loads = vec![region_load("a", 500.0), region_load("b", 50.0), region_load("c", 50.0)];
        router.set_fleet(second * 1_100, &fleet(6, loads));
    }
    let fractions = send_requests(&mut router, 22_000, 500, 10, |_| 5);
    assert!(fractions["a"] < 0.6, "{fractions:?}");
}

#[test]
fn idle_instances_of_a_region_are_picked_evenly() {
    let mut router = router(5, route("r", RouteKind::Unsafe), instances_by_region([4, 0, 0]));
    let mut counts = BTreeMap::new();
    for now in 0..2_000 {
        let id = served_by(&mut router, now, &request_info()).expect("an instance");
        *counts.entry(id).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 4);
    assert!(counts.values().all(|&count| (420..580).contains(&count)), "{counts:?}");
}

#[test]
fn an_instance_above_twice_the_mean_in_flight_is_skipped() {
    let mut router = router(5, route("r", RouteKind::Unsafe), instances_by_region([4, 0, 0]));
    let mut attempt_count = 0;
    for now in 0..300 {
        let (attempt, key) = send(&mut router, now, &request_info()).expect("an instance");
        if router.target(key).expect("a known instance").id == "i1" {
            // This attempt stays open: two in flight would exceed twice the mean of one quarter.
            attempt_count += 1;
        } else {
            router.finish_attempt(now, attempt, Outcome::Served);
        }
    }
    assert_eq!(attempt_count, 1);
}

#[test]
fn attempts_in_flight_stay_within_twice_the_mean() {
    let mut router = router(5, route("r", RouteKind::Unsafe), instances_by_region([4, 0, 0]));
    let mut in_flight: BTreeMap<_, f64> = BTreeMap::new();
    for now in 0..60 {
        let mean = in_flight.values().sum::<f64>() / 4.0;
        let (_, key) = send(&mut router, now, &request_info()).expect("an instance");
        let count = in_flight.entry(key).or_insert(0.0);
        *count += 1.0;
        assert!(*count <= f64::max(2.0 * mean, 2.0), "{count} in flight, mean {mean}");
    }
    assert_eq!(in_flight.len(), 4);
}

#[test]
fn the_instance_with_the_fewest_in_flight_is_picked_if_all_are_busy() {
    let mut router = router(5, route("r", RouteKind::Unsafe), instances_by_region([2, 0, 0]));
    let (first, _) = send(&mut router, 0, &request_info()).expect("an instance");
    let (_, second) = send(&mut router, 0, &request_info()).expect("the other instance");
    router.finish_attempt(1, first, Outcome::Served);
    let (_, third) = send(&mut router, 2, &request_info()).expect("an instance");
    assert_ne!(second, third, "the idle instance is not chosen");
}

#[test]
fn failed_rejected_and_cancelled_requests_are_not_fitted() {
    let outcomes = [Outcome::Failed, Outcome::Rejected, Outcome::Cancelled, Outcome::ConnectionBroken];
    let latency_ms = |region: &str| if region == "b" { 400 } else { 20 };
    let mut router_with_failures = router_without_own_instances(instances_by_region([0, 4, 4]));
    let mut router_without_failures = router_without_own_instances(instances_by_region([0, 4, 4]));
    for outcome in outcomes {
        let (attempt, _) = send(&mut router_with_failures, 0, &request_info()).expect("an instance");
        router_with_failures.finish_attempt(900, attempt, outcome);
        let (attempt, _) = send(&mut router_without_failures, 0, &request_info()).expect("an instance");
        router_without_failures.finish_attempt(0, attempt, Outcome::Served);
    }
    // Slow failures add no samples, so that the slow region still loses weight.
    send_requests(&mut router_with_failures, 10_000, 3_000, 20, latency_ms);
    let fractions = send_requests(&mut router_with_failures, 70_000, 500, 20, latency_ms);
    assert!(fractions["b"] < 0.25, "{fractions:?}");
}

#[test]
fn streams_are_fitted_by_the_time_to_the_first_event() {
    let mut instances = instances_by_region([0, 4, 4]);
    instances.retain(|instance| instance.zone != "za");
    let mut router = router(7, route("r", RouteKind::Streaming), instances);
    for number in 0..3_000 {
        let now = number * 20;
        router.tick(now);
        let (attempt, key) = send(&mut router, now, &request_info()).expect("an instance");
        let first_event_ms = if region_of(&router, key) == "b" { 400 } else { 20 };
        router.record_first_event(now + first_event_ms, attempt);
        // Complete streams take the same time in all regions.
        router.finish_attempt(now + 1_000, attempt, Outcome::Served);
    }
    let count = 400;
    let b = (0..count).filter(|number| {
        let (attempt, key) = send(&mut router, 60_000 + number, &request_info()).expect("an instance");
        router.finish_attempt(60_000 + number, attempt, Outcome::Cancelled);
        region_of(&router, key) == "b"
    });
    assert!(b.count() < 100);
}

#[test]
fn attempt_rates_are_reported_by_service_and_region() {
    let mut router = router_without_own_instances(instances_by_region([0, 1, 0]));
    for number in 0..100 {
        served_by(&mut router, number * 40, &request_info());
    }
    let rates = router.attempt_rates(4_000);
    assert_eq!(rates.len(), 1);
    assert_eq!((rates[0].target.service.as_str(), rates[0].target.region.as_str()), (SERVICE, "b"));
    assert!((rates[0].requests_per_s - 25.0).abs() < 4.0, "{rates:?}");
    assert!(router.attempt_rates(10_000).is_empty(), "rates drop to zero without attempts");
}

#[test]
fn a_split_route_follows_its_weights() {
    let mut split_route = route("r", RouteKind::Unsafe);
    split_route.backends = vec![Backend { service: 0, weight: 90.0 }, Backend { service: 1, weight: 10.0 }];
    let mut router = Router::new(settings("a", 1), 0);
    router.set_configuration(
        0,
        &configuration(1, vec![split_route], vec![service("one", 0.0), service("two", 0.0)]),
    );
    let instance_of = |number, name: &str| whinspindle_distribution::Instance {
        service: name.into(),
        ..instance(number, "za")
    };
    router.set_instances(0, &endpoint_list(vec![instance_of(1, "one"), instance_of(2, "two")]));
    let second_count = (0..2_000).filter(|_| router.draw_service(0) == 1).count();
    assert!((140..260).contains(&second_count), "{second_count}");
    router.set_instances(1, &endpoint_list(vec![instance_of(1, "one")]));
    assert!((0..200).all(|_| router.draw_service(0) == 0), "a service without instances is chosen");
}

/// Creates a router with one route split between two services with one instance each. The instance of the
/// second service may be in slow start.
fn split_router(seed: u64, weights: [f64; 2], second_slow_start_ms: u64) -> Router {
    let mut split_route = route("r", RouteKind::Unsafe);
    split_route.backends =
        vec![Backend { service: 0, weight: weights[0] }, Backend { service: 1, weight: weights[1] }];
    let services = vec![service("one", 0.0), service("two", 5.0)];
    let mut router = Router::new(settings("a", seed), 0);
    router.set_configuration(0, &configuration(GENERATION, vec![split_route], services));
    let first_instance = Instance { service: "one".into(), ..instance(1, "za") };
    let second_instance =
        Instance { service: "two".into(), slow_start_ms: second_slow_start_ms, ..instance(2, "za") };
    router.set_instances(0, &endpoint_list(vec![first_instance, second_instance]));
    router.set_fleet(0, &fleet(30, vec![]));
    router
}

/// Returns seeds that are as independent of each other as the seeds of separate processes.
fn seed_of(number: u64) -> u64 {
    (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

#[test]
fn many_balancers_follow_the_split_weights_over_a_few_hundred_requests() {
    const BALANCERS: u64 = 30;
    const REQUESTS_EACH: usize = 10;
    const MAX_DEVIATION: f64 = 0.045;
    for weights in [[50.0, 50.0], [70.0, 30.0], [90.0, 10.0]] {
        let expected = weights[1] / (weights[0] + weights[1]);
        for trial in 0..200 {
            let second_count: usize = (0..BALANCERS)
                .map(|balancer| {
                    let mut router = split_router(seed_of(trial * BALANCERS + balancer), weights, 0);
                    (0..REQUESTS_EACH).filter(|_| router.draw_service(0) == 1).count()
                })
                .sum();
            let actual = second_count as f64 / (BALANCERS as usize * REQUESTS_EACH) as f64;
            assert!((actual - expected).abs() < MAX_DEVIATION, "{weights:?}, trial {trial}: {actual}");
        }
    }
}

#[test]
fn one_balancer_follows_the_split_weights_over_few_requests() {
    for seed in 0..50 {
        let mut router = split_router(seed, [75.0, 25.0], 0);
        let second_count = (0..200).filter(|_| router.draw_service(0) == 1).count();
        assert!((48..=52).contains(&second_count), "seed {seed}: {second_count}");
    }
}

#[test]
fn an_unhealthy_backend_of_a_split_keeps_its_weight() {
    for (outcome, slow_start_ms) in [
        (Outcome::Served, 60_000),
        (Outcome::Rejected, 0),
        (Outcome::ConnectionBroken, 0),
        (Outcome::ConnectFailed, 0),
    ] {
        let mut router = split_router(1, [50.0, 50.0], slow_start_ms);
        let mut second_count = 0;
        for request in 0..200 {
            let now = request * 20;
            let drawn = router.draw_service(0);
            second_count += drawn;
            let request_info = RequestInfo { service: drawn, ..request_info() };
            if let Some((attempt, _)) = send(&mut router, now, &request_info) {
                router.finish_attempt(now, attempt, if drawn == 1 { outcome } else { Outcome::Served });
            }
        }
        assert!((96..=104).contains(&second_count), "{outcome:?}: {second_count}");
    }
}

#[test]
fn a_request_keeps_its_service_after_a_new_configuration() {
    let old_configuration = configuration(1, vec![route("r", RouteKind::Unsafe)], vec![service("old", 0.0)]);
    let new_configuration =
        configuration(2, vec![route("r", RouteKind::Unsafe)], vec![service("new", 0.0), service("old", 0.0)]);
    let mut router = Router::new(settings("a", 1), 0);
    router.set_configuration(0, &old_configuration);
    let instance_of = |number, name: &str| whinspindle_distribution::Instance {
        service: name.into(),
        ..instance(number, "za")
    };
    router.set_instances(0, &endpoint_list(vec![instance_of(1, "old"), instance_of(2, "new")]));
    router.set_configuration(1, &new_configuration);
    assert_eq!(
        served_by(&mut router, 2, &RequestInfo { generation: 1, ..request_info() }).as_deref(),
        Some("i1")
    );
    assert_eq!(
        served_by(&mut router, 2, &RequestInfo { generation: 2, ..request_info() }).as_deref(),
        Some("i2")
    );
}

#[test]
fn a_request_of_an_unknown_configuration_or_route_is_rejected() {
    let mut router = router(1, route("r", RouteKind::Unsafe), instances_by_region([1, 0, 0]));
    for request_info in [
        RequestInfo { generation: 9, ..request_info() },
        RequestInfo { route: 5, ..request_info() },
        RequestInfo { service: 5, ..request_info() },
    ] {
        assert!(matches!(router.choose(0, &request_info, &[]), Choice::Reject(_)));
    }
}

/// Creates a router in zone z1 of region a. Region a has zones z1 and z2, region b has z3 and z4.
fn router_in_region_with_two_zones(seed: u64, instances: Vec<whinspindle_distribution::Instance>) -> Router {
    let zones = [("z1", "a"), ("z2", "a"), ("z3", "b"), ("z4", "b")];
    let zone_regions = zones.into_iter().map(|(zone, region)| (zone.to_owned(), region.to_owned())).collect();
    let settings = RouterSettings { zone: "z1".to_owned(), zone_regions, ..settings("a", seed) };
    let mut router = Router::new(settings, 0);
    let routes = vec![route("r", RouteKind::Safe)];
    router.set_configuration(0, &configuration(GENERATION, routes, vec![service(SERVICE, 0.0)]));
    router.set_instances(0, &endpoint_list(instances));
    router.set_fleet(0, &fleet(8, vec![]));
    router
}

/// Returns the fraction of 400 requests that the zone serves.
fn fraction_of_zone(router: &mut Router, zone: &str) -> f64 {
    let served = (0..400).filter(|&number| {
        let (attempt, key) = send(router, number * 20, &request_info()).expect("an instance");
        let is_in_zone = router.target(key).expect("a known instance").zone == zone;
        router.finish_attempt(number * 20, attempt, Outcome::Served);
        is_in_zone
    });
    served.count() as f64 / 400.0
}

#[test]
fn a_zone_with_enough_capacity_keeps_its_requests() {
    let instances = (1..=16).map(|number| instance(number, ["z1", "z2", "z3", "z4"][number as usize % 4]));
    let mut router = router_in_region_with_two_zones(1, instances.collect());
    assert!(fraction_of_zone(&mut router, "z1") > 0.95);
}

#[test]
fn a_zone_with_few_instances_sends_requests_to_its_region() {
    let zone = |number: u8| if number == 1 { "z1" } else { ["z2", "z3", "z4"][usize::from(number) % 3] };
    let mut router =
        router_in_region_with_two_zones(1, (1..=16).map(|number| instance(number, zone(number))).collect());
    let fraction = fraction_of_zone(&mut router, "z1");
    assert!(
        fraction > 0.1 && fraction < 0.5,
        "one of 16 instances for a quarter of the requests: {fraction}"
    );
    assert!(fraction_of_zone(&mut router, "z2") > 0.2, "the remaining requests leave the region");
}

#[test]
fn the_region_serves_a_zone_without_instances() {
    let instances = (1..=8).map(|number| instance(number, ["z2", "z3"][number as usize % 2]));
    let mut router = router_in_region_with_two_zones(1, instances.collect());
    assert!(fraction_of_zone(&mut router, "z2") > 0.9);
}
