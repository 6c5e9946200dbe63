//! Where requests with shared prompt parts go.

mod common;

use std::collections::BTreeSet;

use common::*;
use whinspindle_configuration::{Route, RouteKind};
use whinspindle_routing::{Outcome, RequestFacts, Router};

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
fn all_balancers_agree_on_the_holder() {
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
fn other_holders_stay_when_one_instance_goes() {
    let instances = spread([6, 0, 0]);
    let mut left = instances.clone();
    left.retain(|instance| instance.id != "i3");
    let (mut before, mut after) = (router(1, sticky(), instances), router(1, sticky(), left));
    for shared in 0..60 {
        let facts = prompt(&[(shared, 6_000), (1, 9)]);
        let holder = served_by(&mut before, shared, &facts);
        if holder.as_deref() != Some("i3") {
            assert_eq!(served_by(&mut after, shared, &facts), holder);
        }
    }
}

/// How many of so many sends at once, all of one prefix, each instance gets; all wait for their first events, or have
/// them.
fn crowd(router: &mut Router, tokens: u32, count: u64, waiting: bool) -> Vec<u32> {
    let mut counts = std::collections::BTreeMap::new();
    for own in 0..count {
        let (attempt, key) =
            send(router, 0, &prompt(&[(7, tokens), (1_000 + own, 500)])).expect("an instance");
        if !waiting {
            router.first_event(0, attempt);
        }
        *counts.entry(key).or_insert(0) += 1;
    }
    counts.into_values().collect()
}

#[test]
fn a_few_at_once_stay_with_the_holder() {
    let mut router = router(1, sticky(), spread([6, 0, 0]));
    assert_eq!(crowd(&mut router, 6_000, 4, false), [4]);
}

#[test]
fn few_prompts_wait_at_the_holder_to_be_read() {
    let mut router = router(1, sticky(), spread([6, 0, 0]));
    let counts = crowd(&mut router, 6_000, 4, true);
    assert!(counts.len() == 2 && counts.iter().all(|&count| count <= 3), "{counts:?}");
}

#[test]
fn a_hot_prefix_spreads_over_more_holders() {
    for waiting in [false, true] {
        let mut router = router(1, sticky(), spread([6, 0, 0]));
        let counts = crowd(&mut router, 6_000, 120, waiting);
        assert!(counts.len() >= 5 && counts.iter().all(|&count| count <= 25), "{counts:?}");
    }
}

#[test]
fn a_short_prefix_spreads_sooner() {
    let mut router = router(1, sticky(), spread([6, 0, 0]));
    assert!(crowd(&mut router, 100, 4, false).len() >= 3);
}

#[test]
fn a_prompt_without_parts_is_drawn_as_any_other() {
    let mut router = router(1, sticky(), spread([6, 0, 0]));
    let ids: BTreeSet<_> = (0..60).map(|now| served_by(&mut router, now, &facts())).collect();
    assert_eq!(ids.len(), 6);
}

#[test]
fn a_repeat_goes_to_the_next_in_rank() {
    let mut router = router(1, sticky(), spread([6, 0, 0]));
    let facts = prompt(&[(7, 6_000), (8, 500)]);
    let (attempt, first) = send(&mut router, 0, &facts).expect("an instance");
    router.finished(1, attempt, Outcome::Unreachable);
    let facts = RequestFacts { unreached: 1, ..facts };
    let again = (0..5).map(|now| match router.choose(now, &facts, &[first]) {
        whinspindle_routing::Choice::Send { attempt, instance } => {
            router.finished(now, attempt, Outcome::Served);
            instance
        }
        whinspindle_routing::Choice::Refuse(_) => panic!("no budget"),
    });
    let again: BTreeSet<_> = again.collect();
    assert!(again.len() == 1 && !again.contains(&first));
}
