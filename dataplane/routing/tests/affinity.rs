//! Prefix affinity: choice of instances for requests with shared prompt parts.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use whinspindle_configuration::{Route, RouteKind};
use whinspindle_distribution::Instance;
use whinspindle_routing::{Outcome, RequestInfo, Router};

fn sticky_route() -> Route {
    Route { sticky: true, ..route("r", RouteKind::Streaming) }
}

#[test]
fn requests_that_share_a_prefix_go_to_one_instance() {
    let mut router = router(1, sticky_route(), instances_by_region([6, 0, 0]));
    let ids: BTreeSet<_> = (0..50)
        .map(|session| {
            served_by(&mut router, session, &with_prompt(&[(7, 6_000), (8, 300), (1_000 + session, 500)]))
        })
        .collect();
    assert_eq!(ids.len(), 1);
}

#[test]
fn all_balancers_agree_on_the_cache_owner() {
    let instances = instances_by_region([6, 0, 0]);
    let mut reversed = instances.clone();
    reversed.reverse();
    let (mut one, mut other) = (router(1, sticky_route(), instances), router(2, sticky_route(), reversed));
    for prefix_id in 0..40 {
        let request_info = with_prompt(&[(prefix_id, 6_000), (99, 500)]);
        assert_eq!(
            served_by(&mut one, prefix_id, &request_info),
            served_by(&mut other, prefix_id, &request_info)
        );
    }
}

#[test]
fn prefixes_are_spread_over_the_instances() {
    let mut router = router(1, sticky_route(), instances_by_region([6, 0, 0]));
    let ids: BTreeSet<_> = (0..60)
        .map(|prefix_id| served_by(&mut router, prefix_id, &with_prompt(&[(prefix_id, 6_000), (1, 9)])))
        .collect();
    assert_eq!(ids.len(), 6);
}

#[test]
fn removing_an_instance_keeps_the_other_cache_owners() {
    let instances = instances_by_region([6, 0, 0]);
    let mut remaining = instances.clone();
    remaining.retain(|instance| instance.id != "i3");
    let (mut before, mut after) =
        (router(1, sticky_route(), instances), router(1, sticky_route(), remaining));
    for prefix_id in 0..60 {
        let request_info = with_prompt(&[(prefix_id, 6_000), (1, 9)]);
        let owner = served_by(&mut before, prefix_id, &request_info);
        if owner.as_deref() != Some("i3") {
            assert_eq!(served_by(&mut after, prefix_id, &request_info), owner);
        }
    }
}

/// Starts `count` concurrent attempts with one prefix and returns the number of attempts at each instance.
/// With `is_waiting`, all attempts wait for their first event; otherwise, all have received it.
fn send_many(router: &mut Router, tokens: u32, count: u64, is_waiting: bool) -> Vec<u32> {
    let mut counts = std::collections::BTreeMap::new();
    for session in 0..count {
        let (attempt, key) =
            send(router, 0, &with_prompt(&[(7, tokens), (1_000 + session, 500)])).expect("an instance");
        if !is_waiting {
            router.record_first_event(0, attempt);
        }
        *counts.entry(key).or_insert(0) += 1;
    }
    counts.into_values().collect()
}

#[test]
fn few_concurrent_attempts_stay_at_the_cache_owner() {
    let mut router = router(1, sticky_route(), instances_by_region([6, 0, 0]));
    assert_eq!(send_many(&mut router, 6_000, 4, false), [4]);
}

#[test]
fn prompts_that_wait_for_prefill_leave_the_cache_owner() {
    let mut router = router(1, sticky_route(), instances_by_region([6, 0, 0]));
    let counts = send_many(&mut router, 6_000, 4, true);
    assert!(counts.len() == 2 && counts.iter().all(|&count| count <= 3), "{counts:?}");
}

#[test]
fn a_hot_prefix_spreads_over_more_instances() {
    for is_waiting in [false, true] {
        let mut router = router(1, sticky_route(), instances_by_region([6, 0, 0]));
        let counts = send_many(&mut router, 6_000, 120, is_waiting);
        assert!(counts.len() >= 5 && counts.iter().all(|&count| count <= 25), "{counts:?}");
    }
}

#[test]
fn a_short_prefix_spreads_with_fewer_attempts() {
    let mut router = router(1, sticky_route(), instances_by_region([6, 0, 0]));
    assert!(send_many(&mut router, 100, 4, false).len() >= 3);
}

#[test]
fn a_prompt_without_parts_has_no_affinity() {
    let mut router = router(1, sticky_route(), instances_by_region([6, 0, 0]));
    let ids: BTreeSet<_> = (0..60).map(|now| served_by(&mut router, now, &request_info())).collect();
    assert_eq!(ids.len(), 6);
}

#[test]
fn retries_go_to_the_next_instance_in_the_ranking() {
    let mut router = router(1, sticky_route(), instances_by_region([6, 0, 0]));
    let request_info = with_prompt(&[(7, 6_000), (8, 500)]);
    let (attempt, first) = send(&mut router, 0, &request_info).expect("an instance");
    router.finish_attempt(1, attempt, Outcome::ConnectFailed);
    let request_info = RequestInfo { unsent_attempts: 1, ..request_info };
    let retried = (0..5).map(|now| match router.choose(now, &request_info, &[first]) {
        whinspindle_routing::Choice::Forward { attempt, instance } => {
            router.finish_attempt(now, attempt, Outcome::Served);
            instance
        }
        whinspindle_routing::Choice::Reject(_) => panic!("no budget"),
    });
    let retried: BTreeSet<_> = retried.collect();
    assert!(retried.len() == 1 && !retried.contains(&first));
}

/// Creates a router in each region.
fn router_in_each_region(route: &Route, instances: &[Instance]) -> Vec<Router> {
    let in_region = |region: &str| {
        let mut router = Router::new(settings(region, 7), 0);
        router.set_configuration(
            0,
            &configuration(GENERATION, vec![route.clone()], vec![service(SERVICE, 0.0)]),
        );
        router.set_instances(0, &endpoint_list(instances.to_vec()));
        router.set_fleet(0, &fleet(6, vec![]));
        router
    };
    ["a", "b", "c"].map(in_region).into()
}

#[test]
fn balancers_of_all_regions_send_a_large_prefix_to_one_instance() {
    let mut routers = router_in_each_region(&sticky_route(), &instances_by_region([4, 3, 2]));
    for prefix_id in 0..60 {
        let request_info = with_prompt(&[(7, 2_000), (prefix_id, 4_000), (99, 500)]);
        let ids: BTreeSet<_> = routers
            .iter_mut()
            .map(|router| served_by(router, prefix_id, &request_info).expect("an instance"))
            .collect();
        assert_eq!(ids.len(), 1, "{ids:?}");
    }
}

#[test]
fn large_prefixes_are_spread_over_the_regions_by_their_instances() {
    let mut router = router(1, sticky_route(), instances_by_region([6, 3, 3]));
    let mut counts = BTreeMap::new();
    for prefix_id in 0..1_200 {
        let (attempt, key) =
            send(&mut router, 0, &with_prompt(&[(prefix_id, 6_000), (9, 9)])).expect("an instance");
        *counts.entry(region_of(&router, key)).or_insert(0) += 1;
        router.finish_attempt(0, attempt, Outcome::Served);
    }
    assert!((counts["a"] - 600i32).abs() < 80, "{counts:?}");
    assert!((counts["b"] - 300i32).abs() < 80, "{counts:?}");
}

#[test]
fn a_small_prefix_stays_in_the_region_of_the_balancer() {
    let mut router = router(1, sticky_route(), instances_by_region([4, 4, 4]));
    let even_loads = ["a", "b", "c"].map(|region| region_load(region, 200.0)).to_vec();
    router.set_fleet(0, &fleet(6, even_loads));
    for prefix_id in 0..100 {
        let request_info = with_prompt(&[(prefix_id, 200), (99, 500)]);
        let (attempt, key) = send(&mut router, prefix_id * 10, &request_info).expect("an instance");
        assert_eq!(region_of(&router, key), "a");
        router.finish_attempt(prefix_id * 10, attempt, Outcome::Served);
    }
}

#[test]
fn a_large_prefix_stays_in_the_home_regions() {
    let route = Route { home_regions: vec!["b".to_owned()], ..sticky_route() };
    for mut router in router_in_each_region(&route, &instances_by_region([6, 2, 6])) {
        for prefix_id in 0..60 {
            let request_info = with_prompt(&[(prefix_id, 6_000), (99, 500)]);
            let (attempt, key) = send(&mut router, prefix_id, &request_info).expect("an instance");
            assert_eq!(region_of(&router, key), "b");
            router.finish_attempt(prefix_id, attempt, Outcome::Served);
        }
    }
}

#[test]
fn a_large_prefix_returns_to_its_cache_owner_after_an_evacuation() {
    let mut router = router(1, sticky_route(), instances_by_region([3, 3, 3]));
    let request_info = with_prompt(&[(7, 6_000), (99, 500)]);
    let owner = served_by(&mut router, 0, &request_info);
    let zone = instances_by_region([3, 3, 3])
        .into_iter()
        .find(|instance| Some(&instance.id) == owner.as_ref())
        .map(|instance| instance.zone)
        .expect("a zone");
    router.set_evacuated_zones(1, std::slice::from_ref(&zone));
    let (attempt, key) = send(&mut router, 2, &request_info).expect("an instance");
    assert_ne!(router.target(key).expect("known").zone, zone);
    router.finish_attempt(2, attempt, Outcome::Served);
    router.set_evacuated_zones(3, &[]);
    assert_eq!(served_by(&mut router, 4, &request_info), owner);
}

#[test]
fn unrelated_attempts_keep_a_prefix_at_its_cache_owner() {
    let mut router = router(1, sticky_route(), instances_by_region([3, 3, 3]));
    let large = |session: u64| (0..).map(move |prefix_id| with_prompt(&[(prefix_id, 6_000), (session, 500)]));
    let in_own_region = large(1)
        .find(|request_info| {
            let (attempt, key) = send(&mut router, 0, request_info).expect("an instance");
            router.finish_attempt(0, attempt, Outcome::Served);
            region_of(&router, key) == "a"
        })
        .expect("a prefix with its cache owner in region a");
    let owner = served_by(&mut router, 0, &in_own_region);
    for number in 0..30 {
        if let Some((attempt, _)) = send(&mut router, 1, &with_prompt(&[(1_000 + number, 100), (9, 50)])) {
            router.record_first_event(2, attempt);
        }
    }
    assert_eq!(served_by(&mut router, 3, &in_own_region), owner);
}
