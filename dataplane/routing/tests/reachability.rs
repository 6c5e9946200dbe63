//! Unreachable zones and regions: requests go elsewhere or are rejected, and few of them probe.

mod common;

use common::*;
use whinspindle_configuration::{Mechanism, Mechanisms, Route, RouteKind};
use whinspindle_routing::{Choice, InstanceKey, Outcome, RejectionReason, Router, RouterSettings};

fn plain(counts: [u8; 3]) -> Router {
    router(1, route("r", RouteKind::Unsafe), spread(counts))
}

/// Makes attempts until connecting to `count` instances of a region has timed out; all others are served.
fn time_out_connects(router: &mut Router, now: u64, region: &str, count: usize) -> Vec<InstanceKey> {
    let mut silent = Vec::new();
    for _ in 0..2_000 {
        if silent.len() == count {
            return silent;
        }
        let (attempt, key) = send(router, now, &facts()).expect("an instance");
        if region_of(router, key) != region {
            router.finish_attempt(now, attempt, Outcome::Served);
        } else if silent.contains(&key) {
            router.finish_attempt(now, attempt, Outcome::Cancelled);
        } else {
            router.finish_attempt(now, attempt, Outcome::ConnectTimedOut);
            silent.push(key);
        }
    }
    panic!("{} of {count} connections to region {region}", silent.len());
}

fn attempts_at(router: &mut Router, now: u64, region: &str) -> usize {
    let mut count = 0;
    for _ in 0..300 {
        let Some((attempt, key)) = send(router, now, &facts()) else { continue };
        count += usize::from(region_of(router, key) == region);
        router.finish_attempt(now, attempt, Outcome::Cancelled);
    }
    count
}

#[test]
fn a_region_in_which_several_connects_timed_out_gets_an_occasional_probe() {
    let mut router = plain([1, 8, 4]);
    assert!(attempts_at(&mut router, 0, "b") > 10);
    time_out_connects(&mut router, 0, "b", 2);
    assert_eq!(attempts_at(&mut router, 1, "b"), 0, "one zone, in which two are enough");
    assert_eq!(attempts_at(&mut router, 2_000, "b"), 1, "a probe is one attempt");
    assert_eq!(attempts_at(&mut router, 2_010, "b"), 0);
}

#[test]
fn one_timed_out_instance_does_not_count_against_its_region() {
    let mut router = plain([1, 8, 4]);
    let silent = time_out_connects(&mut router, 0, "b", 1);
    let mut others = 0;
    for _ in 0..300 {
        let (attempt, key) = send(&mut router, 1, &facts()).expect("an instance");
        assert!(!silent.contains(&key), "it is ejected after one time-out");
        others += usize::from(region_of(&router, key) == "b");
        router.finish_attempt(1, attempt, Outcome::Cancelled);
    }
    assert!(others > 10);
}

#[test]
fn anything_received_from_the_region_ends_the_suspicion() {
    let mut router = plain([1, 8, 4]);
    let silent = time_out_connects(&mut router, 0, "b", 2);
    assert_eq!(attempts_at(&mut router, 1, "b"), 0);
    router.record_received(silent[0]);
    assert!(attempts_at(&mut router, 2, "b") > 10);
}

#[test]
fn anything_received_between_two_time_outs_keeps_the_region_in_use() {
    let mut router = plain([1, 8, 4]);
    let silent = time_out_connects(&mut router, 0, "b", 1);
    router.record_received(silent[0]);
    time_out_connects(&mut router, 1, "b", 1);
    assert!(attempts_at(&mut router, 2, "b") > 10);
}

#[test]
fn where_only_unreachable_regions_may_serve_the_request_is_rejected_at_once() {
    let at_home = Route { home_regions: vec!["b".to_owned()], ..route("r", RouteKind::Unsafe) };
    let mut router = router(1, at_home, spread([4, 4, 4]));
    time_out_connects(&mut router, 0, "b", 2);
    match router.choose(1, &facts(), &[]) {
        Choice::Reject(rejection) => {
            assert_eq!(rejection.reason, RejectionReason::NoUpstream);
            assert!(rejection.retry_after_ms > 0);
        }
        sent => panic!("{sent:?}"),
    }
    assert!(send(&mut router, 600, &facts()).is_some(), "the next probe is due");
}

#[test]
fn probes_of_a_region_that_stays_unreachable_grow_rarer() {
    let mut router = plain([1, 8, 4]);
    time_out_connects(&mut router, 0, "b", 2);
    let mut probes = Vec::new();
    for now in (0..6_000).step_by(10) {
        for _ in 0..20 {
            let Some((attempt, key)) = send(&mut router, now, &facts()) else { continue };
            let is_try = region_of(&router, key) == "b";
            router.finish_attempt(
                now,
                attempt,
                if is_try { Outcome::ConnectTimedOut } else { Outcome::Served },
            );
            if is_try {
                probes.push(now);
            }
        }
    }
    let intervals: Vec<u64> = probes.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!((4..=12).contains(&probes.len()), "{probes:?}");
    assert!(intervals.last() > intervals.first(), "{probes:?}");
}

#[test]
fn switched_off_each_instance_is_judged_alone() {
    let mechanisms = Mechanisms::default().switch_off(Mechanism::Reachability);
    let mut router = Router::new(RouterSettings { mechanisms, ..settings("a", 1) }, 0);
    let configured =
        configuration(GENERATION, vec![route("r", RouteKind::Unsafe)], vec![service(SERVICE, 0.0)]);
    router.set_configuration(0, &configured);
    router.set_fleet(0, &fleet(6, vec![]));
    router.set_instances(0, &list(spread([1, 8, 4])));
    time_out_connects(&mut router, 0, "b", 2);
    assert!(attempts_at(&mut router, 1, "b") > 10);
}
