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
        rejection(router.choose(now, &facts(), &[]));
    }
    assert_eq!(service_metrics(&router, 3).rejections, [(RejectionReason::NoUpstream, 3)]);
}

#[test]
fn prompts_beside_their_cache_owner_are_counted() {
    let sticky = Route { sticky: true, ..route("r", RouteKind::Streaming) };
    let mut router = router(1, sticky, spread([6, 0, 0]));
    let shared = prompt(&[(7, 3_000), (8, 10)]);
    for now in 0..20 {
        let (attempt, _) = send(&mut router, now, &shared).expect("an instance");
        router.finish_attempt(now, attempt, Outcome::Served);
    }
    let calm = service_metrics(&router, 20);
    assert_eq!((calm.cache_owner_hits, calm.cache_owner_misses), (20, 0));
    for now in 20..80 {
        send(&mut router, now, &shared).expect("an instance");
    }
    let crowded = service_metrics(&router, 80);
    assert_eq!(crowded.cache_owner_hits + crowded.cache_owner_misses, 80);
    assert!(crowded.cache_owner_misses > 20, "{crowded:?}");
}

#[test]
fn picks_that_pass_over_busy_instances_are_counted() {
    let mut router = router(1, route("r", RouteKind::Unsafe), spread([2, 0, 0]));
    let (attempt, _) = send(&mut router, 0, &facts()).expect("an instance");
    router.finish_attempt(0, attempt, Outcome::Served);
    assert_eq!(service_metrics(&router, 0).busy_instance_skips, 0);
    for now in 0..6 {
        send(&mut router, now, &facts()).expect("an instance");
    }
    assert!(service_metrics(&router, 6).busy_instance_skips > 0);
}

#[test]
fn the_error_of_the_fit_is_the_distance_of_latencies_from_it() {
    let play = |latencies: [u64; 2]| {
        let mut router = router(1, route("r", RouteKind::Unsafe), spread([1, 0, 0]));
        for turn in 0..40_u64 {
            let begun = turn * 1_000;
            let (attempt, _) = send(&mut router, begun, &facts()).expect("an instance");
            router.finish_attempt(begun + latencies[(turn % 2) as usize], attempt, Outcome::Served);
        }
        service_metrics(&router, 40_000).regions[0].fit_error_ms
    };
    assert!(play([100, 100]) < 1.0);
    let uneven = play([50, 150]);
    assert!((30.0..=60.0).contains(&uneven), "{uneven}");
}
