//! The ordinary path: region weights, the draw of a region and a service, the pick and the pass-over.

mod common;

use std::collections::BTreeMap;

use common::*;
use whinspindle_configuration::{Backend, RouteKind};
use whinspindle_distribution::Instance;
use whinspindle_routing::{Choice, Outcome, RequestInfo, Router, RouterSettings};

/// Fractions of attempts by region; each is answered after the latency of its region.
fn play(
    router: &mut Router,
    begin: u64,
    count: u64,
    gap_ms: u64,
    latency_ms: impl Fn(&str) -> u64,
) -> BTreeMap<String, f64> {
    let mut parts = BTreeMap::new();
    let mut out = Vec::new();
    for number in 0..count {
        let now = begin + number * gap_ms;
        router.tick(now);
        out.retain(|&(due, attempt)| {
            if due <= now {
                router.finish_attempt(due, attempt, Outcome::Served);
            }
            due > now
        });
        let (attempt, key) = send(router, now, &facts()).expect("an instance");
        let region = region_of(router, key);
        out.push((now + latency_ms(&region), attempt));
        *parts.entry(region).or_insert(0.0) += 1.0 / count as f64;
    }
    for (due, attempt) in out {
        router.finish_attempt(due, attempt, Outcome::Served);
    }
    parts
}

/// A router whose own region has no instances, so that the weights alone decide.
fn without_own_instances(instances: Vec<whinspindle_distribution::Instance>) -> Router {
    let mut instances = instances;
    instances.retain(|instance| instance.zone != "za");
    router(7, route("r", RouteKind::Unsafe), instances)
}

#[test]
fn weights_start_by_ready_instances() {
    let mut router = without_own_instances(spread([0, 6, 2]));
    let parts = play(&mut router, 0, 400, 1, |_| 1);
    assert!((parts["b"] - 0.75).abs() < 0.08, "{parts:?}");
}

#[test]
fn weights_move_away_from_a_region_whose_latency_rises() {
    let mut router = without_own_instances(spread([0, 4, 4]));
    let slow = |region: &str| if region == "b" { 400 } else { 20 };
    play(&mut router, 0, 3_000, 20, slow);
    let parts = play(&mut router, 60_000, 500, 20, slow);
    assert!(parts["b"] < 0.25, "{parts:?}");
}

#[test]
fn each_region_with_ready_instances_keeps_a_floor_weight() {
    let mut router = without_own_instances(spread([0, 4, 4]));
    let slow = |region: &str| if region == "b" { 3_000 } else { 5 };
    play(&mut router, 0, 8_000, 25, slow);
    let parts = play(&mut router, 200_000, 2_000, 25, slow);
    let b = parts.get("b").copied().unwrap_or(0.0);
    assert!(b > 0.005 && b < 0.1, "{parts:?}");
}

#[test]
fn a_region_that_loses_instances_loses_weight_at_once() {
    let mut router = without_own_instances(spread([0, 4, 4]));
    let mut left = spread([0, 4, 4]);
    left.retain(|instance| instance.zone == "zc" || instance.id == "i1");
    router.set_instances(10, &list(left));
    let parts = play(&mut router, 20, 500, 1, |_| 1);
    assert!((parts["b"] - 0.2).abs() < 0.07, "{parts:?}");
}

#[test]
fn a_region_whose_balancers_bring_what_it_can_serve_keeps_its_requests() {
    let mut router = router(3, route("r", RouteKind::Unsafe), spread([4, 4, 4]));
    let even = ["a", "b", "c"].map(|region| load(region, 200.0)).to_vec();
    router.set_fleet(0, &fleet(6, even));
    let parts = play(&mut router, 0, 500, 10, |_| 5);
    assert!(parts["a"] > 0.99, "{parts:?}");
}

#[test]
fn a_region_with_few_instances_sends_the_rest_elsewhere() {
    let mut router = router(3, route("r", RouteKind::Unsafe), spread([1, 6, 6]));
    let loads = vec![load("a", 200.0), load("b", 200.0), load("c", 200.0)];
    router.set_fleet(0, &fleet(6, loads));
    let parts = play(&mut router, 0, 1_000, 10, |_| 5);
    assert!(parts["a"] < 0.5, "{parts:?}");
}

#[test]
fn reported_loads_beyond_the_margin_lower_the_fraction_that_stays() {
    let mut router = router(3, route("r", RouteKind::Unsafe), spread([4, 4, 4]));
    for second in 0..20 {
        let loads = vec![load("a", 500.0), load("b", 50.0), load("c", 50.0)];
        router.set_fleet(second * 1_100, &fleet(6, loads));
    }
    let parts = play(&mut router, 22_000, 500, 10, |_| 5);
    assert!(parts["a"] < 0.6, "{parts:?}");
}

#[test]
fn the_pick_inside_a_region_is_even_among_idle_instances() {
    let mut router = router(5, route("r", RouteKind::Unsafe), spread([4, 0, 0]));
    let mut counts = BTreeMap::new();
    for now in 0..2_000 {
        let id = served_by(&mut router, now, &facts()).expect("an instance");
        *counts.entry(id).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 4);
    assert!(counts.values().all(|&count| (420..580).contains(&count)), "{counts:?}");
}

#[test]
fn an_instance_above_twice_the_mean_is_passed_over() {
    let mut router = router(5, route("r", RouteKind::Unsafe), spread([4, 0, 0]));
    let mut known = 0;
    for now in 0..300 {
        let (attempt, key) = send(&mut router, now, &facts()).expect("an instance");
        if router.target(key).expect("a known instance").id == "i1" {
            // Never answered: two in flight are above twice a mean of a quarter.
            known += 1;
        } else {
            router.finish_attempt(now, attempt, Outcome::Served);
        }
    }
    assert_eq!(known, 1);
}

#[test]
fn attempts_in_flight_stay_within_twice_the_mean() {
    let mut router = router(5, route("r", RouteKind::Unsafe), spread([4, 0, 0]));
    let mut in_flight: BTreeMap<_, f64> = BTreeMap::new();
    for now in 0..60 {
        let mean = in_flight.values().sum::<f64>() / 4.0;
        let (_, key) = send(&mut router, now, &facts()).expect("an instance");
        let own = in_flight.entry(key).or_insert(0.0);
        *own += 1.0;
        assert!(*own <= f64::max(2.0 * mean, 2.0), "{own} of a mean of {mean}");
    }
    assert_eq!(in_flight.len(), 4);
}

#[test]
fn where_all_are_above_it_the_fewest_in_flight_wins() {
    let mut router = router(5, route("r", RouteKind::Unsafe), spread([2, 0, 0]));
    let (first, _) = send(&mut router, 0, &facts()).expect("an instance");
    let (_, second) = send(&mut router, 0, &facts()).expect("the other instance");
    router.finish_attempt(1, first, Outcome::Served);
    let (_, third) = send(&mut router, 2, &facts()).expect("an instance");
    assert_ne!(second, third, "the idle one is taken");
}

#[test]
fn failed_rejected_and_timed_out_requests_stay_out_of_the_fit() {
    let outcomes = [Outcome::Failed, Outcome::Rejected, Outcome::Cancelled, Outcome::ConnectionBroken];
    let slow = |region: &str| if region == "b" { 400 } else { 20 };
    let mut with = without_own_instances(spread([0, 4, 4]));
    let mut without = without_own_instances(spread([0, 4, 4]));
    for outcome in outcomes {
        let (attempt, _) = send(&mut with, 0, &facts()).expect("an instance");
        with.finish_attempt(900, attempt, outcome);
        let (attempt, _) = send(&mut without, 0, &facts()).expect("an instance");
        without.finish_attempt(0, attempt, Outcome::Served);
    }
    // Slow failures are no samples: the region that is slow is still found.
    play(&mut with, 10_000, 3_000, 20, slow);
    let parts = play(&mut with, 70_000, 500, 20, slow);
    assert!(parts["b"] < 0.25, "{parts:?}");
}

#[test]
fn streams_are_fitted_by_their_first_event() {
    let mut instances = spread([0, 4, 4]);
    instances.retain(|instance| instance.zone != "za");
    let mut router = router(7, route("r", RouteKind::Streaming), instances);
    for number in 0..3_000 {
        let now = number * 20;
        router.tick(now);
        let (attempt, key) = send(&mut router, now, &facts()).expect("an instance");
        let first = if region_of(&router, key) == "b" { 400 } else { 20 };
        router.record_first_event(now + first, attempt);
        // Complete streams take the same time everywhere.
        router.finish_attempt(now + 1_000, attempt, Outcome::Served);
    }
    let count = 400;
    let b = (0..count).filter(|number| {
        let (attempt, key) = send(&mut router, 60_000 + number, &facts()).expect("an instance");
        router.finish_attempt(60_000 + number, attempt, Outcome::Cancelled);
        region_of(&router, key) == "b"
    });
    assert!(b.count() < 100);
}

#[test]
fn attempt_rates_are_reported_by_service_and_region() {
    let mut router = without_own_instances(spread([0, 1, 0]));
    for number in 0..100 {
        served_by(&mut router, number * 40, &facts());
    }
    let rates = router.attempt_rates(4_000);
    assert_eq!(rates.len(), 1);
    assert_eq!((rates[0].target.service.as_str(), rates[0].target.region.as_str()), (SERVICE, "b"));
    assert!((rates[0].requests_per_s - 25.0).abs() < 4.0, "{rates:?}");
    assert!(router.attempt_rates(10_000).is_empty(), "rates fade when nothing is sent");
}

#[test]
fn a_route_that_is_split_sends_by_its_weights() {
    let mut split = route("r", RouteKind::Unsafe);
    split.backends = vec![Backend { service: 0, weight: 90.0 }, Backend { service: 1, weight: 10.0 }];
    let mut router = Router::new(settings("a", 1), 0);
    router
        .set_configuration(0, &configuration(1, vec![split], vec![service("one", 0.0), service("two", 0.0)]));
    let of = |number, name: &str| whinspindle_distribution::Instance {
        service: name.into(),
        ..instance(number, "za")
    };
    router.set_instances(0, &list(vec![of(1, "one"), of(2, "two")]));
    let second = (0..2_000).filter(|_| router.draw_service(0) == 1).count();
    assert!((140..260).contains(&second), "{second}");
    router.set_instances(1, &list(vec![of(1, "one")]));
    assert!((0..200).all(|_| router.draw_service(0) == 0), "a service without instances is left out");
}

/// A router with one route split between two services with one instance each; the second one may be in slow start.
fn split_router(seed: u64, weights: [f64; 2], second_cold_ms: u64) -> Router {
    let mut split = route("r", RouteKind::Unsafe);
    split.backends =
        vec![Backend { service: 0, weight: weights[0] }, Backend { service: 1, weight: weights[1] }];
    let services = vec![service("one", 0.0), service("two", 5.0)];
    let mut router = Router::new(settings("a", seed), 0);
    router.set_configuration(0, &configuration(GENERATION, vec![split], services));
    let one = Instance { service: "one".into(), ..instance(1, "za") };
    let two = Instance { service: "two".into(), slow_start_ms: second_cold_ms, ..instance(2, "za") };
    router.set_instances(0, &list(vec![one, two]));
    router.set_fleet(0, &fleet(30, vec![]));
    router
}

/// Seeds as independent of each other as those of processes.
fn seed_of(number: u64) -> u64 {
    (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

#[test]
fn each_backend_of_a_split_gets_its_weight_of_a_few_hundred_requests_of_many_balancers() {
    const BALANCERS: u64 = 30;
    const REQUESTS_EACH: usize = 10;
    const MOST_OFF: f64 = 0.045;
    for weights in [[50.0, 50.0], [70.0, 30.0], [90.0, 10.0]] {
        let share = weights[1] / (weights[0] + weights[1]);
        for trial in 0..200 {
            let second: usize = (0..BALANCERS)
                .map(|balancer| {
                    let mut router = split_router(seed_of(trial * BALANCERS + balancer), weights, 0);
                    (0..REQUESTS_EACH).filter(|_| router.draw_service(0) == 1).count()
                })
                .sum();
            let got = second as f64 / (BALANCERS as usize * REQUESTS_EACH) as f64;
            assert!((got - share).abs() < MOST_OFF, "{weights:?}, trial {trial}: {got}");
        }
    }
}

#[test]
fn each_backend_of_a_split_gets_its_weight_of_few_requests_of_one_balancer() {
    for seed in 0..50 {
        let mut router = split_router(seed, [75.0, 25.0], 0);
        let second = (0..200).filter(|_| router.draw_service(0) == 1).count();
        assert!((48..=52).contains(&second), "seed {seed}: {second}");
    }
}

#[test]
fn a_backend_of_a_split_that_rejects_is_warming_up_or_is_ejected_keeps_its_weight() {
    for (outcome, slow_start_ms) in [
        (Outcome::Served, 60_000),
        (Outcome::Rejected, 0),
        (Outcome::ConnectionBroken, 0),
        (Outcome::ConnectFailed, 0),
    ] {
        let mut router = split_router(1, [50.0, 50.0], slow_start_ms);
        let mut second = 0;
        for request in 0..200 {
            let now = request * 20;
            let drawn = router.draw_service(0);
            second += drawn;
            let facts = RequestInfo { service: drawn, ..facts() };
            if let Some((attempt, _)) = send(&mut router, now, &facts) {
                router.finish_attempt(now, attempt, if drawn == 1 { outcome } else { Outcome::Served });
            }
        }
        assert!((96..=104).contains(&second), "{outcome:?}: {second}");
    }
}

#[test]
fn a_request_keeps_its_service_when_a_new_configuration_comes() {
    let old = configuration(1, vec![route("r", RouteKind::Unsafe)], vec![service("old", 0.0)]);
    let new =
        configuration(2, vec![route("r", RouteKind::Unsafe)], vec![service("new", 0.0), service("old", 0.0)]);
    let mut router = Router::new(settings("a", 1), 0);
    router.set_configuration(0, &old);
    let of = |number, name: &str| whinspindle_distribution::Instance {
        service: name.into(),
        ..instance(number, "za")
    };
    router.set_instances(0, &list(vec![of(1, "old"), of(2, "new")]));
    router.set_configuration(1, &new);
    assert_eq!(served_by(&mut router, 2, &RequestInfo { generation: 1, ..facts() }).as_deref(), Some("i1"));
    assert_eq!(served_by(&mut router, 2, &RequestInfo { generation: 2, ..facts() }).as_deref(), Some("i2"));
}

#[test]
fn a_request_of_an_unknown_configuration_or_route_is_rejected() {
    let mut router = router(1, route("r", RouteKind::Unsafe), spread([1, 0, 0]));
    for facts in [
        RequestInfo { generation: 9, ..facts() },
        RequestInfo { route: 5, ..facts() },
        RequestInfo { service: 5, ..facts() },
    ] {
        assert!(matches!(router.choose(0, &facts, &[]), Choice::Reject(_)));
    }
}

/// A router in zone z1 of region a, which has zones z1 and z2; region b has the others.
fn in_a_region_of_two_zones(seed: u64, instances: Vec<whinspindle_distribution::Instance>) -> Router {
    let zones = [("z1", "a"), ("z2", "a"), ("z3", "b"), ("z4", "b")];
    let zone_regions = zones.into_iter().map(|(zone, region)| (zone.to_owned(), region.to_owned())).collect();
    let settings = RouterSettings { zone: "z1".to_owned(), zone_regions, ..settings("a", seed) };
    let mut router = Router::new(settings, 0);
    let routes = vec![route("r", RouteKind::Safe)];
    router.set_configuration(0, &configuration(GENERATION, routes, vec![service(SERVICE, 0.0)]));
    router.set_instances(0, &list(instances));
    router.set_fleet(0, &fleet(8, vec![]));
    router
}

/// The fraction of 400 requests that the zone serves.
fn fraction_of_zone(router: &mut Router, zone: &str) -> f64 {
    let rates = (0..400).filter(|&number| {
        let (attempt, key) = send(router, number * 20, &facts()).expect("there are instances");
        let is_there = router.target(key).expect("a known instance").zone == zone;
        router.finish_attempt(number * 20, attempt, Outcome::Served);
        is_there
    });
    rates.count() as f64 / 400.0
}

#[test]
fn a_zone_keeps_what_it_can_serve() {
    let instances = (1..=16).map(|number| instance(number, ["z1", "z2", "z3", "z4"][number as usize % 4]));
    let mut router = in_a_region_of_two_zones(1, instances.collect());
    assert!(fraction_of_zone(&mut router, "z1") > 0.95);
}

#[test]
fn a_zone_with_few_instances_sends_the_rest_to_its_region() {
    let zone = |number: u8| if number == 1 { "z1" } else { ["z2", "z3", "z4"][usize::from(number) % 3] };
    let mut router =
        in_a_region_of_two_zones(1, (1..=16).map(|number| instance(number, zone(number))).collect());
    let part = fraction_of_zone(&mut router, "z1");
    assert!(part > 0.1 && part < 0.5, "one of 16 instances, and a quarter of the requests: {part}");
    assert!(fraction_of_zone(&mut router, "z2") > 0.2, "the rest stays in the region where it can");
}

#[test]
fn without_an_instance_in_the_zone_the_region_serves() {
    let instances = (1..=8).map(|number| instance(number, ["z2", "z3"][number as usize % 2]));
    let mut router = in_a_region_of_two_zones(1, instances.collect());
    assert!(fraction_of_zone(&mut router, "z2") > 0.9);
}
