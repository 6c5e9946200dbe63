//! Metrics of a router.

mod common;

use common::*;
use whinspindle_configuration::{Route, RouteKind};
use whinspindle_routing::{Outcome, RejectionReason, Router, ServiceMetrics};

fn service_metrics(router: &Router, now: u64) -> ServiceMetrics {
    router.metrics(now).swap_remove(0)
}

#[test]
fn rejections_are_counted_by_reason() {
    let mut router = router(1, route("r", RouteKind::Unsafe), vec![]);
    for now in 0..3 {
        rejection(router.choose(now, &request_info(), &[]));
    }
    assert_eq!(service_metrics(&router, 3).rejections, [(RejectionReason::NoUpstream, 3)]);
}

#[test]
fn cache_owner_hits_and_misses_are_counted() {
    let sticky_route = Route { sticky: true, ..route("r", RouteKind::Streaming) };
    let mut router = router(1, sticky_route, instances_by_region([6, 0, 0]));
    let request_info = with_prompt(&[(7, 3_000), (8, 10)]);
    for now in 0..20 {
        let (attempt, _) = send(&mut router, now, &request_info).expect("an instance");
        router.finish_attempt(now, attempt, Outcome::Served);
    }
    let low_load = service_metrics(&router, 20);
    assert_eq!((low_load.cache_owner_hits, low_load.cache_owner_misses), (20, 0));
    for now in 20..80 {
        send(&mut router, now, &request_info).expect("an instance");
    }
    let high_load = service_metrics(&router, 80);
    assert_eq!(high_load.cache_owner_hits + high_load.cache_owner_misses, 80);
    assert!(high_load.cache_owner_misses > 20, "{high_load:?}");
}

#[test]
fn picks_that_skip_busy_instances_are_counted() {
    let mut router = router(1, route("r", RouteKind::Unsafe), instances_by_region([2, 0, 0]));
    let (attempt, _) = send(&mut router, 0, &request_info()).expect("an instance");
    router.finish_attempt(0, attempt, Outcome::Served);
    assert_eq!(service_metrics(&router, 0).busy_instance_skips, 0);
    for now in 0..6 {
        send(&mut router, now, &request_info()).expect("an instance");
    }
    assert!(service_metrics(&router, 6).busy_instance_skips > 0);
}

#[test]
fn the_fit_error_is_the_distance_of_latencies_from_the_fit() {
    let fit_error_ms = |latencies: [u64; 2]| {
        let mut router = router(1, route("r", RouteKind::Unsafe), instances_by_region([1, 0, 0]));
        for turn in 0..40_u64 {
            let started_at = turn * 1_000;
            let (attempt, _) = send(&mut router, started_at, &request_info()).expect("an instance");
            router.finish_attempt(started_at + latencies[(turn % 2) as usize], attempt, Outcome::Served);
        }
        service_metrics(&router, 40_000).regions[0].fit_error_ms
    };
    assert!(fit_error_ms([100, 100]) < 1.0);
    let error_ms = fit_error_ms([50, 150]);
    assert!((30.0..=60.0).contains(&error_ms), "{error_ms}");
}
