//! Unreachable zones and regions: requests go to other regions or are rejected, and only a few requests
//! probe.

mod common;

use common::*;
use whinspindle_configuration::{Mechanism, Mechanisms, Route, RouteKind};
use whinspindle_routing::{Choice, InstanceKey, Outcome, RejectionReason, Router, RouterSettings};

fn new_router(counts: [u8; 3]) -> Router {
    router(1, route("r", RouteKind::Unsafe), instances_by_region(counts))
}

/// Starts attempts until connections to `count` instances of a region have timed out. Attempts in other
/// regions are served.
fn time_out_connects(router: &mut Router, now: u64, region: &str, count: usize) -> Vec<InstanceKey> {
    let mut timed_out = Vec::new();
    for _ in 0..2_000 {
        if timed_out.len() == count {
            return timed_out;
        }
        let (attempt, key) = send(router, now, &request_info()).expect("an instance");
        if region_of(router, key) != region {
            router.finish_attempt(now, attempt, Outcome::Served);
        } else if timed_out.contains(&key) {
            router.finish_attempt(now, attempt, Outcome::Cancelled);
        } else {
            router.finish_attempt(now, attempt, Outcome::ConnectTimedOut);
            timed_out.push(key);
        }
    }
    panic!("{} of {count} connect timeouts in region {region}", timed_out.len());
}

fn attempts_at(router: &mut Router, now: u64, region: &str) -> usize {
    let mut count = 0;
    for _ in 0..300 {
        let Some((attempt, key)) = send(router, now, &request_info()) else { continue };
        count += usize::from(region_of(router, key) == region);
        router.finish_attempt(now, attempt, Outcome::Cancelled);
    }
    count
}

#[test]
fn a_region_with_several_connect_timeouts_receives_occasional_probes() {
    let mut router = new_router([1, 8, 4]);
    assert!(attempts_at(&mut router, 0, "b") > 10);
    time_out_connects(&mut router, 0, "b", 2);
    assert_eq!(attempts_at(&mut router, 1, "b"), 0, "two timeouts are enough to suspect a zone");
    assert_eq!(attempts_at(&mut router, 2_000, "b"), 1, "one attempt probes the region");
    assert_eq!(attempts_at(&mut router, 2_010, "b"), 0);
}

#[test]
fn one_connect_timeout_does_not_make_a_region_suspect() {
    let mut router = new_router([1, 8, 4]);
    let timed_out = time_out_connects(&mut router, 0, "b", 1);
    let mut other_count = 0;
    for _ in 0..300 {
        let (attempt, key) = send(&mut router, 1, &request_info()).expect("an instance");
        assert!(!timed_out.contains(&key), "not ejected after a connect timeout");
        other_count += usize::from(region_of(&router, key) == "b");
        router.finish_attempt(1, attempt, Outcome::Cancelled);
    }
    assert!(other_count > 10);
}

#[test]
fn received_data_makes_a_suspect_region_reachable() {
    let mut router = new_router([1, 8, 4]);
    let timed_out = time_out_connects(&mut router, 0, "b", 2);
    assert_eq!(attempts_at(&mut router, 1, "b"), 0);
    router.record_received(timed_out[0]);
    assert!(attempts_at(&mut router, 2, "b") > 10);
}

#[test]
fn received_data_resets_the_connect_timeouts_of_a_region() {
    let mut router = new_router([1, 8, 4]);
    let timed_out = time_out_connects(&mut router, 0, "b", 1);
    router.record_received(timed_out[0]);
    time_out_connects(&mut router, 1, "b", 1);
    assert!(attempts_at(&mut router, 2, "b") > 10);
}

#[test]
fn a_request_is_rejected_if_only_unreachable_regions_may_serve_it() {
    let home_route = Route { home_regions: vec!["b".to_owned()], ..route("r", RouteKind::Unsafe) };
    let mut router = router(1, home_route, instances_by_region([4, 4, 4]));
    time_out_connects(&mut router, 0, "b", 2);
    match router.choose(1, &request_info(), &[]) {
        Choice::Reject(rejection) => {
            assert_eq!(rejection.reason, RejectionReason::NoUpstream);
            assert!(rejection.retry_after_ms > 0);
        }
        choice => panic!("{choice:?}"),
    }
    assert!(send(&mut router, 600, &request_info()).is_some(), "the next probe is due");
}

#[test]
fn the_interval_between_probes_of_an_unreachable_region_grows() {
    let mut router = new_router([1, 8, 4]);
    time_out_connects(&mut router, 0, "b", 2);
    let mut probes = Vec::new();
    for now in (0..6_000).step_by(10) {
        for _ in 0..20 {
            let Some((attempt, key)) = send(&mut router, now, &request_info()) else { continue };
            let is_probe = region_of(&router, key) == "b";
            router.finish_attempt(
                now,
                attempt,
                if is_probe { Outcome::ConnectTimedOut } else { Outcome::Served },
            );
            if is_probe {
                probes.push(now);
            }
        }
    }
    let intervals: Vec<u64> = probes.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!((4..=12).contains(&probes.len()), "{probes:?}");
    assert!(intervals.last() > intervals.first(), "{probes:?}");
}

#[test]
fn without_the_reachability_mechanism_regions_stay_in_use() {
    let mechanisms = Mechanisms::default().switch_off(Mechanism::Reachability);
    let mut router = Router::new(RouterSettings { mechanisms, ..settings("a", 1) }, 0);
    let configuration =
        configuration(GENERATION, vec![route("r", RouteKind::Unsafe)], vec![service(SERVICE, 0.0)]);
    router.set_configuration(0, &configuration);
    router.set_fleet(0, &fleet(6, vec![]));
    router.set_instances(0, &endpoint_list(instances_by_region([1, 8, 4])));
    time_out_connects(&mut router, 0, "b", 2);
    assert!(attempts_at(&mut router, 1, "b") > 10);
}
