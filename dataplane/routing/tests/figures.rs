//! What a router tells whoever watches it.

mod common;

use common::*;
use whinspindle_configuration::{Route, RouteKind};
use whinspindle_routing::{Outcome, RefusalReason, Router, ServiceFigures};

fn told(router: &Router, now: u64) -> ServiceFigures {
    router.figures(now).swap_remove(0)
}

#[test]
fn refusals_are_counted_by_reason() {
    let mut router = router(1, route("r", RouteKind::Unsafe), vec![]);
    for now in 0..3 {
        refusal(router.choose(now, &facts(), &[]));
    }
    assert_eq!(told(&router, 3).refusals, [(RefusalReason::NoUpstream, 3)]);
}

#[test]
fn prompts_beside_their_holder_are_counted() {
    let sticky = Route { sticky: true, ..route("r", RouteKind::Streaming) };
    let mut router = router(1, sticky, spread([6, 0, 0]));
    let shared = prompt(&[(7, 3_000), (8, 10)]);
    for now in 0..20 {
        let (attempt, _) = send(&mut router, now, &shared).expect("an instance");
        router.finished(now, attempt, Outcome::Served);
    }
    let calm = told(&router, 20);
    assert_eq!((calm.at_holder, calm.beside_holder), (20, 0));
    for now in 20..80 {
        send(&mut router, now, &shared).expect("an instance");
    }
    let crowded = told(&router, 80);
    assert_eq!(crowded.at_holder + crowded.beside_holder, 80);
    assert!(crowded.beside_holder > 20, "{crowded:?}");
}

#[test]
fn picks_that_pass_over_crowded_instances_are_counted() {
    let mut router = router(1, route("r", RouteKind::Unsafe), spread([2, 0, 0]));
    let (attempt, _) = send(&mut router, 0, &facts()).expect("an instance");
    router.finished(0, attempt, Outcome::Served);
    assert_eq!(told(&router, 0).passed_over, 0);
    for now in 0..6 {
        send(&mut router, now, &facts()).expect("an instance");
    }
    assert!(told(&router, 6).passed_over > 0);
}

#[test]
fn the_error_of_the_fit_is_how_far_latencies_lie_beside_it() {
    let play = |latencies: [u64; 2]| {
        let mut router = router(1, route("r", RouteKind::Unsafe), spread([1, 0, 0]));
        for turn in 0..40_u64 {
            let begun = turn * 1_000;
            let (attempt, _) = send(&mut router, begun, &facts()).expect("an instance");
            router.finished(begun + latencies[(turn % 2) as usize], attempt, Outcome::Served);
        }
        told(&router, 40_000).regions[0].fit_error_ms
    };
    assert!(play([100, 100]) < 1.0);
    let uneven = play([50, 150]);
    assert!((30.0..=60.0).contains(&uneven), "{uneven}");
}
