//! Zones and regions that can't be reached: requests go elsewhere or are refused, and few try whether they are back.

mod common;

use common::*;
use whinspindle_configuration::{Mechanism, Mechanisms, Route, RouteKind};
use whinspindle_routing::{Choice, InstanceKey, Outcome, RefusalReason, Router, RouterSettings};

fn plain(counts: [u8; 3]) -> Router {
    router(1, route("r", RouteKind::Unsafe), spread(counts))
}

/// Sends until so many connections to different instances of a region have fallen silent; all others are served.
fn fall_silent(router: &mut Router, now: u64, region: &str, count: usize) -> Vec<InstanceKey> {
    let mut silent = Vec::new();
    for _ in 0..2_000 {
        if silent.len() == count {
            return silent;
        }
        let (attempt, key) = send(router, now, &facts()).expect("an instance");
        if region_of(router, key) != region {
            router.finished(now, attempt, Outcome::Served);
        } else if silent.contains(&key) {
            router.finished(now, attempt, Outcome::Cancelled);
        } else {
            router.finished(now, attempt, Outcome::Silent);
            silent.push(key);
        }
    }
    panic!("{} of {count} connections to region {region}", silent.len());
}

fn sends_to(router: &mut Router, now: u64, region: &str) -> usize {
    let mut count = 0;
    for _ in 0..300 {
        let Some((attempt, key)) = send(router, now, &facts()) else { continue };
        count += usize::from(region_of(router, key) == region);
        router.finished(now, attempt, Outcome::Cancelled);
    }
    count
}

#[test]
fn a_region_of_which_several_instances_fell_silent_gets_one_try_now_and_then() {
    let mut router = plain([1, 8, 4]);
    assert!(sends_to(&mut router, 0, "b") > 10);
    fall_silent(&mut router, 0, "b", 2);
    assert_eq!(sends_to(&mut router, 1, "b"), 0, "one zone, in which two are enough");
    assert_eq!(sends_to(&mut router, 2_000, "b"), 1, "a try is one send");
    assert_eq!(sends_to(&mut router, 2_010, "b"), 0);
}

#[test]
fn one_silent_instance_speaks_for_itself_alone() {
    let mut router = plain([1, 8, 4]);
    let silent = fall_silent(&mut router, 0, "b", 1);
    let mut others = 0;
    for _ in 0..300 {
        let (attempt, key) = send(&mut router, 1, &facts()).expect("an instance");
        assert!(!silent.contains(&key), "it rests after one silence");
        others += usize::from(region_of(&router, key) == "b");
        router.finished(1, attempt, Outcome::Cancelled);
    }
    assert!(others > 10);
}

#[test]
fn anything_heard_from_the_place_ends_the_doubt() {
    let mut router = plain([1, 8, 4]);
    let silent = fall_silent(&mut router, 0, "b", 2);
    assert_eq!(sends_to(&mut router, 1, "b"), 0);
    router.heard(silent[0]);
    assert!(sends_to(&mut router, 2, "b") > 10);
}

#[test]
fn what_is_heard_between_two_silences_keeps_the_place_in_use() {
    let mut router = plain([1, 8, 4]);
    let silent = fall_silent(&mut router, 0, "b", 1);
    router.heard(silent[0]);
    fall_silent(&mut router, 1, "b", 1);
    assert!(sends_to(&mut router, 2, "b") > 10);
}

#[test]
fn where_only_places_out_of_reach_may_serve_the_request_is_refused_at_once() {
    let at_home = Route { home_regions: vec!["b".to_owned()], ..route("r", RouteKind::Unsafe) };
    let mut router = router(1, at_home, spread([4, 4, 4]));
    fall_silent(&mut router, 0, "b", 2);
    match router.choose(1, &facts(), &[]) {
        Choice::Refuse(refusal) => {
            assert_eq!(refusal.reason, RefusalReason::NoUpstream);
            assert!(refusal.retry_after_ms > 0);
        }
        sent => panic!("{sent:?}"),
    }
    assert!(send(&mut router, 600, &facts()).is_some(), "the next try is due");
}

#[test]
fn tries_of_a_place_that_stays_silent_grow_rarer() {
    let mut router = plain([1, 8, 4]);
    fall_silent(&mut router, 0, "b", 2);
    let mut tries = Vec::new();
    for now in (0..6_000).step_by(10) {
        for _ in 0..20 {
            let Some((attempt, key)) = send(&mut router, now, &facts()) else { continue };
            let is_try = region_of(&router, key) == "b";
            router.finished(now, attempt, if is_try { Outcome::Silent } else { Outcome::Served });
            if is_try {
                tries.push(now);
            }
        }
    }
    let pauses: Vec<u64> = tries.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!((4..=12).contains(&tries.len()), "{tries:?}");
    assert!(pauses.last() > pauses.first(), "{tries:?}");
}

#[test]
fn switched_off_each_instance_stands_for_itself() {
    let mechanisms = Mechanisms::default().switch_off(Mechanism::Reachability);
    let mut router = Router::new(RouterSettings { mechanisms, ..settings("a", 1) }, 0);
    let configured =
        configuration(GENERATION, vec![route("r", RouteKind::Unsafe)], vec![service(SERVICE, 0.0)]);
    router.configure(0, &configured);
    router.fleet(0, &fleet(6, vec![]));
    router.instances(0, &list(spread([1, 8, 4])));
    fall_silent(&mut router, 0, "b", 2);
    assert!(sends_to(&mut router, 1, "b") > 10);
}
