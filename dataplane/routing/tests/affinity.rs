//! Prefix affinity: where requests with shared prompt parts go.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use whinspindle_configuration::{Route, RouteKind};
use whinspindle_distribution::Instance;
use whinspindle_routing::{Outcome, RequestInfo, Router};

fn sticky() -> Route {
    Route { sticky: true, ..route("r", RouteKind::Streaming) }
}

#[test]
fn requests_that_share_a_prefix_go_to_one_instance() {
    let mut router = router(1, sticky(), spread([6, 0, 0]));
    let ids: BTreeSet<_> = (0..50)
        .map(|own| served_by(&mut router, own, &prompt(&[(7, 6_000), (8, 300), (1_000 + own, 500)])))
        .collect();
    assert_eq!(ids.len(), 1);
}

#[test]
fn all_balancers_agree_on_the_cache_owner() {
    let instances = spread([6, 0, 0]);
    let mut reversed = instances.clone();
    reversed.reverse();
    let (mut one, mut other) = (router(1, sticky(), instances), router(2, sticky(), reversed));
    for shared in 0..40 {
        let facts = prompt(&[(shared, 6_000), (99, 500)]);
        assert_eq!(served_by(&mut one, shared, &facts), served_by(&mut other, shared, &facts));
    }
}

#[test]
fn prefixes_are_spread_over_the_instances() {
    let mut router = router(1, sticky(), spread([6, 0, 0]));
    let ids: BTreeSet<_> =
        (0..60).map(|shared| served_by(&mut router, shared, &prompt(&[(shared, 6_000), (1, 9)]))).collect();
    assert_eq!(ids.len(), 6);
}

#[test]
fn other_cache_owners_stay_when_one_instance_goes() {
    let instances = spread([6, 0, 0]);
    let mut left = instances.clone();
    left.retain(|instance| instance.id != "i3");
    let (mut before, mut after) = (router(1, sticky(), instances), router(1, sticky(), left));
    for shared in 0..60 {
        let facts = prompt(&[(shared, 6_000), (1, 9)]);
        let owner = served_by(&mut before, shared, &facts);
        if owner.as_deref() != Some("i3") {
            assert_eq!(served_by(&mut after, shared, &facts), owner);
        }
    }
}

/// The number of attempts that each instance gets of `count` concurrent ones with one prefix; all of them wait for their
/// first events, or all have them.
fn send_many(router: &mut Router, tokens: u32, count: u64, waiting: bool) -> Vec<u32> {
    let mut counts = std::collections::BTreeMap::new();
    for own in 0..count {
        let (attempt, key) =
            send(router, 0, &prompt(&[(7, tokens), (1_000 + own, 500)])).expect("an instance");
        if !waiting {
            router.record_first_event(0, attempt);
        }
        *counts.entry(key).or_insert(0) += 1;
    }
    counts.into_values().collect()
}

#[test]
fn a_few_at_once_stay_with_the_cache_owner() {
    let mut router = router(1, sticky(), spread([6, 0, 0]));
    assert_eq!(send_many(&mut router, 6_000, 4, false), [4]);
}

#[test]
fn few_prompts_wait_at_the_cache_owner_for_prefill() {
    let mut router = router(1, sticky(), spread([6, 0, 0]));
    let counts = send_many(&mut router, 6_000, 4, true);
    assert!(counts.len() == 2 && counts.iter().all(|&count| count <= 3), "{counts:?}");
}

#[test]
fn a_hot_prefix_spreads_over_more_instances() {
    for waiting in [false, true] {
        let mut router = router(1, sticky(), spread([6, 0, 0]));
        let counts = send_many(&mut router, 6_000, 120, waiting);
        assert!(counts.len() >= 5 && counts.iter().all(|&count| count <= 25), "{counts:?}");
    }
}

#[test]
fn a_short_prefix_spreads_sooner() {
    let mut router = router(1, sticky(), spread([6, 0, 0]));
    assert!(send_many(&mut router, 100, 4, false).len() >= 3);
}

#[test]
fn a_prompt_without_parts_is_drawn_as_any_other() {
    let mut router = router(1, sticky(), spread([6, 0, 0]));
    let ids: BTreeSet<_> = (0..60).map(|now| served_by(&mut router, now, &facts())).collect();
    assert_eq!(ids.len(), 6);
}

#[test]
fn a_retry_goes_to_the_next_in_rank() {
    let mut router = router(1, sticky(), spread([6, 0, 0]));
    let facts = prompt(&[(7, 6_000), (8, 500)]);
    let (attempt, first) = send(&mut router, 0, &facts).expect("an instance");
    router.finish_attempt(1, attempt, Outcome::ConnectFailed);
    let facts = RequestInfo { unsent_attempts: 1, ..facts };
    let again = (0..5).map(|now| match router.choose(now, &facts, &[first]) {
        whinspindle_routing::Choice::Forward { attempt, instance } => {
            router.finish_attempt(now, attempt, Outcome::Served);
            instance
        }
        whinspindle_routing::Choice::Reject(_) => panic!("no budget"),
    });
    let again: BTreeSet<_> = again.collect();
    assert!(again.len() == 1 && !again.contains(&first));
}

/// One router in each of the regions.
fn routers_everywhere(route: &Route, instances: &[Instance]) -> Vec<Router> {
    let in_region = |region: &str| {
        let mut router = Router::new(settings(region, 7), 0);
        router.set_configuration(
            0,
            &configuration(GENERATION, vec![route.clone()], vec![service(SERVICE, 0.0)]),
        );
        router.set_instances(0, &list(instances.to_vec()));
        router.set_fleet(0, &fleet(6, vec![]));
        router
    };
    ["a", "b", "c"].map(in_region).into()
}

#[test]
fn balancers_of_all_regions_send_a_large_prefix_to_one_instance() {
    let mut routers = routers_everywhere(&sticky(), &spread([4, 3, 2]));
    for shared in 0..60 {
        let facts = prompt(&[(7, 2_000), (shared, 4_000), (99, 500)]);
        let ids: BTreeSet<_> = routers
            .iter_mut()
            .map(|router| served_by(router, shared, &facts).expect("an instance"))
            .collect();
        assert_eq!(ids.len(), 1, "{ids:?}");
    }
}

#[test]
fn large_prefixes_are_spread_over_the_regions_by_their_instances() {
    let mut router = router(1, sticky(), spread([6, 3, 3]));
    let mut counts = BTreeMap::new();
    for shared in 0..1_200 {
        let (attempt, key) = send(&mut router, 0, &prompt(&[(shared, 6_000), (9, 9)])).expect("an instance");
        *counts.entry(region_of(&router, key)).or_insert(0) += 1;
        router.finish_attempt(0, attempt, Outcome::Served);
    }
    assert!((counts["a"] - 600i32).abs() < 80, "{counts:?}");
    assert!((counts["b"] - 300i32).abs() < 80, "{counts:?}");
}

#[test]
fn a_small_prefix_stays_in_its_balancers_region() {
    let mut router = router(1, sticky(), spread([4, 4, 4]));
    let even = ["a", "b", "c"].map(|region| load(region, 200.0)).to_vec();
    router.set_fleet(0, &fleet(6, even));
    for shared in 0..100 {
        let facts = prompt(&[(shared, 200), (99, 500)]);
        let (attempt, key) = send(&mut router, shared * 10, &facts).expect("an instance");
        assert_eq!(region_of(&router, key), "a");
        router.finish_attempt(shared * 10, attempt, Outcome::Served);
    }
}

#[test]
fn home_regions_bind_a_large_prefix() {
    let route = Route { home_regions: vec!["b".to_owned()], ..sticky() };
    for mut router in routers_everywhere(&route, &spread([6, 2, 6])) {
        for shared in 0..60 {
            let facts = prompt(&[(shared, 6_000), (99, 500)]);
            let (attempt, key) = send(&mut router, shared, &facts).expect("an instance");
            assert_eq!(region_of(&router, key), "b");
            router.finish_attempt(shared, attempt, Outcome::Served);
        }
    }
}

#[test]
fn a_large_prefix_leaves_an_evacuated_cache_owner_and_comes_back() {
    let mut router = router(1, sticky(), spread([3, 3, 3]));
    let facts = prompt(&[(7, 6_000), (99, 500)]);
    let owner = served_by(&mut router, 0, &facts);
    let zone = spread([3, 3, 3])
        .into_iter()
        .find(|instance| Some(&instance.id) == owner.as_ref())
        .map(|instance| instance.zone)
        .expect("a zone");
    router.set_evacuated_zones(1, std::slice::from_ref(&zone));
    let (attempt, key) = send(&mut router, 2, &facts).expect("an instance");
    assert_ne!(router.target(key).expect("known").zone, zone);
    router.finish_attempt(2, attempt, Outcome::Served);
    router.set_evacuated_zones(3, &[]);
    assert_eq!(served_by(&mut router, 4, &facts), owner);
}

#[test]
fn other_attempts_in_the_own_region_dont_drive_a_prefix_from_its_cache_owner() {
    let mut router = router(1, sticky(), spread([3, 3, 3]));
    let large = |own: u64| (0..).map(move |shared| prompt(&[(shared, 6_000), (own, 500)]));
    let in_own_region = large(1)
        .find(|facts| {
            let (attempt, key) = send(&mut router, 0, facts).expect("an instance");
            router.finish_attempt(0, attempt, Outcome::Served);
            region_of(&router, key) == "a"
        })
        .expect("a prefix with its cache owner in region a");
    let owner = served_by(&mut router, 0, &in_own_region);
    for number in 0..30 {
        if let Some((attempt, _)) = send(&mut router, 1, &prompt(&[(1_000 + number, 100), (9, 50)])) {
            router.record_first_event(2, attempt);
        }
    }
    assert_eq!(served_by(&mut router, 3, &in_own_region), owner);
}
