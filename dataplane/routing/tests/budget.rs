//! The retry budget, summed over all balancers.

mod common;

use common::*;
use quickcheck::{Arbitrary, Gen, quickcheck};
use whinspindle_configuration::RouteKind;
use whinspindle_routing::{Choice, Outcome, RejectionReason, RequestInfo, Router};

fn plain(seed: u64, balancers: u32) -> Router {
    let mut router = router(seed, route("r", RouteKind::Safe), spread([4, 4, 4]));
    router.set_fleet(0, &fleet(balancers, vec![]));
    router
}

/// Makes a first attempt and a retry; returns whether the retry was allowed, if the first attempt was made at all.
fn retries(router: &mut Router, now: u64, first: Outcome) -> Option<bool> {
    let (attempt, key) = send(router, now, &facts())?;
    router.finish_attempt(now, attempt, first);
    let unsent_attempts = usize::from(first == Outcome::ConnectFailed);
    match router.choose(now, &RequestInfo { unsent_attempts, ..facts() }, &[key]) {
        Choice::Forward { attempt, .. } => {
            router.finish_attempt(now, attempt, Outcome::Served);
            Some(true)
        }
        Choice::Reject(rejected) => {
            assert_eq!(rejected.reason, RejectionReason::RetryBudget);
            Some(false)
        }
    }
}

#[test]
fn retries_are_a_fraction_of_the_requests_in_the_long_run() {
    let mut router = plain(1, 6);
    let allowed =
        (0..10_000).filter(|&now| retries(&mut router, now, Outcome::Rejected) == Some(true)).count();
    assert!(allowed > 500 && allowed < 1_500, "{allowed}");
}

#[test]
fn an_attempt_that_never_arrived_costs_no_retry_budget() {
    let mut router = plain(1, 6);
    let allowed =
        (0..500).filter(|&now| retries(&mut router, now * 100, Outcome::ConnectFailed) == Some(true)).count();
    assert!(allowed > 450, "{allowed}");
}

#[test]
fn a_retry_that_never_arrived_is_refunded() {
    let mut router = plain(1, 6);
    for now in 0..100 {
        let (attempt, key) = send(&mut router, now * 300, &facts()).expect("an instance");
        router.finish_attempt(now * 300, attempt, Outcome::Rejected);
        let Choice::Forward { attempt, .. } = router.choose(now * 300, &facts(), &[key]) else {
            panic!("no budget")
        };
        router.finish_attempt(now * 300, attempt, Outcome::ConnectFailed);
    }
}

#[test]
fn a_first_attempt_needs_no_retry_budget() {
    let mut router = plain(1, 6);
    while retries(&mut router, 0, Outcome::Rejected) == Some(true) {}
    assert!(send(&mut router, 300, &facts()).is_some());
}

#[test]
fn an_unknown_number_of_balancers_leaves_a_small_budget() {
    let mut router = Router::new(settings("a", 1), 0);
    router.set_configuration(
        0,
        &configuration(GENERATION, vec![route("r", RouteKind::Safe)], vec![service(SERVICE, 0.0)]),
    );
    router.set_instances(0, &list(spread([4, 0, 0])));
    assert_eq!(retries(&mut router, 0, Outcome::Rejected), Some(false));
    router.set_fleet(1, &fleet(6, vec![]));
    assert_eq!(retries(&mut router, 300, Outcome::Rejected), Some(true));
}

/// A request that reaches a balancer, and how its attempts end.
#[derive(Clone, Debug)]
struct Request {
    interval: u16,
    balancer: u8,
    retries: u8,
    /// Which of its attempts does not arrive.
    unreachable: Option<u8>,
}

impl Arbitrary for Request {
    fn arbitrary(g: &mut Gen) -> Self {
        Request {
            interval: u16::arbitrary(g) % 400 * u16::from(u8::arbitrary(g) % 4 == 0),
            balancer: u8::arbitrary(g),
            retries: u8::arbitrary(g) % 4,
            unreachable: Some(u8::arbitrary(g) % 6).filter(|send| *send < 3),
        }
    }
}

/// Whether the retries that arrived stay within the budget in every window.
fn within_the_budget(arrivals: &[(u64, bool)], requests: &[u64]) -> bool {
    let bounds = bounds();
    let window = bounds.retry_window_ms;
    requests.iter().all(|&end| {
        let inside = |at: u64| at <= end && at + window >= end;
        let surplus = arrivals.iter().filter(|&&(at, surplus)| surplus && inside(at)).count() as f64;
        let count = requests.iter().filter(|&&at| inside(at)).count() as f64;
        surplus <= bounds.retry_ratio * count + bounds.retry_slack
    })
}

fn play(balancers: u8, requests: &[Request]) -> bool {
    let count = u32::from(balancers % 8 + 1);
    let mut routers: Vec<Router> = (0..count).map(|index| plain(u64::from(index), count)).collect();
    let (mut now, mut arrivals, mut times) = (0, Vec::new(), Vec::new());
    for request in requests {
        now += u64::from(request.interval);
        times.push(now);
        let router = &mut routers[usize::from(request.balancer) % count as usize];
        let (mut tried, mut arrived, mut facts) = (Vec::new(), false, facts());
        for send in 0..=request.retries {
            let Choice::Forward { attempt, instance } = router.choose(now, &facts, &tried) else { break };
            tried.push(instance);
            if request.unreachable == Some(send) {
                router.finish_attempt(now, attempt, Outcome::ConnectFailed);
                facts.unsent_attempts += 1;
                continue;
            }
            router.finish_attempt(now, attempt, Outcome::ConnectionBroken);
            arrivals.push((now, arrived));
            arrived = true;
        }
    }
    within_the_budget(&arrivals, &times)
}

quickcheck! {
    fn the_sum_of_retries_stays_within_the_budget(balancers: u8, requests: Vec<Request>) -> bool {
        // Long sequences of requests use the budget up.
        let requests: Vec<Request> = requests.iter().cycle().take(requests.len() * 8).cloned().collect();
        play(balancers, &requests)
    }
}
