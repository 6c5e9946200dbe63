//! Retry budget of the whole fleet.

mod common;

use common::*;
use quickcheck::{Arbitrary, Gen, quickcheck};
use whinspindle_configuration::RouteKind;
use whinspindle_routing::{Choice, Outcome, RejectionReason, RequestInfo, Router};

fn new_router(seed: u64, balancers: u32) -> Router {
    let mut router = router(seed, route("r", RouteKind::Safe), instances_by_region([4, 4, 4]));
    router.set_fleet(0, &fleet(balancers, vec![]));
    router
}

/// Starts a first attempt and a retry. Returns whether the retry was allowed, or `None` if the first attempt
/// was rejected.
fn is_retry_allowed(router: &mut Router, now: u64, first: Outcome) -> Option<bool> {
    let (attempt, key) = send(router, now, &request_info())?;
    router.finish_attempt(now, attempt, first);
    let unsent_attempts = usize::from(first == Outcome::ConnectFailed);
    match router.choose(now, &RequestInfo { unsent_attempts, ..request_info() }, &[key]) {
        Choice::Forward { attempt, .. } => {
            router.finish_attempt(now, attempt, Outcome::Served);
            Some(true)
        }
        Choice::Reject(rejection) => {
            assert_eq!(rejection.reason, RejectionReason::RetryBudget);
            Some(false)
        }
    }
}

#[test]
fn retries_stay_at_a_fraction_of_the_requests() {
    let mut router = new_router(1, 6);
    let allowed_count = (0..10_000)
        .filter(|&now| is_retry_allowed(&mut router, now, Outcome::Rejected) == Some(true))
        .count();
    assert!(allowed_count > 500 && allowed_count < 1_500, "{allowed_count}");
}

#[test]
fn a_retry_after_an_unsent_attempt_costs_no_budget() {
    let mut router = new_router(1, 6);
    let allowed_count = (0..500)
        .filter(|&now| is_retry_allowed(&mut router, now * 100, Outcome::ConnectFailed) == Some(true))
        .count();
    assert!(allowed_count > 450, "{allowed_count}");
}

#[test]
fn an_unsent_retry_is_refunded() {
    let mut router = new_router(1, 6);
    for now in 0..100 {
        let (attempt, key) = send(&mut router, now * 300, &request_info()).expect("an instance");
        router.finish_attempt(now * 300, attempt, Outcome::Rejected);
        let Choice::Forward { attempt, .. } = router.choose(now * 300, &request_info(), &[key]) else {
            panic!("no budget")
        };
        router.finish_attempt(now * 300, attempt, Outcome::ConnectFailed);
    }
}

#[test]
fn a_first_attempt_needs_no_retry_budget() {
    let mut router = new_router(1, 6);
    while is_retry_allowed(&mut router, 0, Outcome::Rejected) == Some(true) {}
    assert!(send(&mut router, 300, &request_info()).is_some());
}

#[test]
fn the_budget_is_small_while_the_number_of_balancers_is_unknown() {
    let mut router = Router::new(settings("a", 1), 0);
    router.set_configuration(
        0,
        &configuration(GENERATION, vec![route("r", RouteKind::Safe)], vec![service(SERVICE, 0.0)]),
    );
    router.set_instances(0, &endpoint_list(instances_by_region([4, 0, 0])));
    assert_eq!(is_retry_allowed(&mut router, 0, Outcome::Rejected), Some(false));
    router.set_fleet(1, &fleet(6, vec![]));
    assert_eq!(is_retry_allowed(&mut router, 300, Outcome::Rejected), Some(true));
}

/// A request at a balancer, and the outcomes of its attempts.
#[derive(Clone, Debug)]
struct Request {
    interval: u16,
    balancer: u8,
    retries: u8,
    /// Index of the attempt that does not reach its upstream.
    unsent_attempt: Option<u8>,
}

impl Arbitrary for Request {
    fn arbitrary(g: &mut Gen) -> Self {
        Request {
            interval: u16::arbitrary(g) % 400 * u16::from(u8::arbitrary(g) % 4 == 0),
            balancer: u8::arbitrary(g),
            retries: u8::arbitrary(g) % 4,
            unsent_attempt: Some(u8::arbitrary(g) % 6).filter(|index| *index < 3),
        }
    }
}

/// Whether the retries that reached an upstream stay within the budget in every window.
fn is_within_budget(arrivals: &[(u64, bool)], requests: &[u64]) -> bool {
    let bounds = bounds();
    let window = bounds.retry_window_ms;
    requests.iter().all(|&end| {
        let in_window = |at: u64| at <= end && at + window >= end;
        let retry_count = arrivals.iter().filter(|&&(at, is_retry)| is_retry && in_window(at)).count() as f64;
        let count = requests.iter().filter(|&&at| in_window(at)).count() as f64;
        retry_count <= bounds.retry_ratio * count + bounds.retry_slack
    })
}

fn retries_stay_within_budget(balancers: u8, requests: &[Request]) -> bool {
    let count = u32::from(balancers % 8 + 1);
    let mut routers: Vec<Router> = (0..count).map(|index| new_router(u64::from(index), count)).collect();
    let (mut now, mut arrivals, mut times) = (0, Vec::new(), Vec::new());
    for request in requests {
        now += u64::from(request.interval);
        times.push(now);
        let router = &mut routers[usize::from(request.balancer) % count as usize];
        let (mut tried, mut arrived, mut info) = (Vec::new(), false, request_info());
        for attempt_index in 0..=request.retries {
            let Choice::Forward { attempt, instance } = router.choose(now, &info, &tried) else { break };
            tried.push(instance);
            if request.unsent_attempt == Some(attempt_index) {
                router.finish_attempt(now, attempt, Outcome::ConnectFailed);
                info.unsent_attempts += 1;
                continue;
            }
            router.finish_attempt(now, attempt, Outcome::ConnectionBroken);
            arrivals.push((now, arrived));
            arrived = true;
        }
    }
    is_within_budget(&arrivals, &times)
}

quickcheck! {
    fn retries_of_all_balancers_stay_within_the_budget(balancers: u8, requests: Vec<Request>) -> bool {
        // Long sequences of requests use the budget up.
        let requests: Vec<Request> = requests.iter().cycle().take(requests.len() * 8).cloned().collect();
        retries_stay_within_budget(balancers, &requests)
    }
}
