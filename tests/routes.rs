//! Queries that come by a route: what it sets is kept, within what the deployment allows.

mod common;

use common::*;
use whinspindle::balancer::Balancer;
use whinspindle::host::*;

fn conditions() -> RoutePolicy {
    RoutePolicy {
        timeout_us: 2000 * MS,
        execution_timeout_us: 500 * MS,
        max_executions: 3,
        retry_on: RetryOn { never_ran: true, error: true, broken: true, timed_out: true },
        backoff_us: 0,
        jitter: 0.0,
        hedge: HedgePolicy::Never,
        retry_budget: 100.0,
        zones: vec![],
        kinds: vec![],
        retry_scope: ServerScope::All,
    }
}

/// Four servers, two in each of two zones, and one route.
fn start_with(terms: BalancerSettings, conditions: RoutePolicy) -> Balancer<Notes> {
    let entries: Vec<Endpoint> = (0..4).map(|server| entry(server, server / 2)).collect();
    let mut balancer = start(terms, &entries);
    balancer.set_routes(vec![vec![conditions]]);
    balancer
}

fn ask_by_route(balancer: &mut Balancer<Notes>, now: u64, query: usize) -> Vec<String> {
    let arrival = Arrival { product: 0, tenant: 0, deadline: now + 3000 * MS, route: Some(0) };
    balancer.query_arrived(now, query, arrival);
    std::mem::take(&mut balancer.host.said)
}

/// Calls the timer of a query at a time, and returns what was said.
fn look(balancer: &mut Balancer<Notes>, now: u64, query: usize) -> Vec<String> {
    balancer.timer_fired(now, 2 + query as u32);
    std::mem::take(&mut balancer.host.said)
}

#[test]
fn outcomes_are_followed_by_a_repeat_only_where_the_route_says_so() {
    let nothing = RetryOn::NONE;
    let cases = [
        (Outcome::Rejected, RetryOn { never_ran: true, ..nothing }),
        (Outcome::NotConnected, RetryOn { never_ran: true, ..nothing }),
        (Outcome::Error, RetryOn { error: true, ..nothing }),
        (Outcome::Broken, RetryOn { broken: true, ..nothing }),
        (Outcome::StaleConnection, RetryOn { broken: true, ..nothing }),
        (Outcome::TimedOut, RetryOn { timed_out: true, ..nothing }),
    ];
    let all = conditions().retry_on;
    for (outcome, only) in cases {
        let others = RetryOn {
            never_ran: !only.never_ran,
            error: !only.error,
            broken: !only.broken,
            timed_out: !only.timed_out,
        };
        for (after, repeats) in [(all, true), (only, true), (others, false), (nothing, false)] {
            let set = RoutePolicy { retry_on: after, ..conditions() };
            let mut balancer = start_with(terms(Effect::Idempotent), set);
            ask_by_route(&mut balancer, NOON, 0);
            let said = end(&mut balancer, NOON + MS, 0, 0, ending(outcome, MS));
            assert_eq!(sent_to(&said).is_some(), repeats, "{outcome:?} {after:?}: {said:?}");
            assert_eq!(said.contains(&"reject 0".to_string()), !repeats, "{outcome:?}: {said:?}");
        }
    }
}

#[test]
fn a_route_takes_nothing_back_that_the_effect_forbids() {
    let mut balancer = start_with(terms(Effect::NonIdempotent), conditions());
    ask_by_route(&mut balancer, NOON, 0);
    let said = end(&mut balancer, NOON + MS, 0, 0, ending(Outcome::Error, MS));
    assert_eq!(said, ["abort 0"]);
}

#[test]
fn a_query_without_a_route_is_as_if_there_were_none() {
    let mut balancer =
        start_with(terms(Effect::Idempotent), RoutePolicy { max_executions: 1, ..conditions() });
    ask(&mut balancer, NOON, 0);
    assert!(sent_to(&end(&mut balancer, NOON + MS, 0, 0, ending(Outcome::Broken, MS))).is_some());
}

#[test]
fn times_and_numbers_are_the_lesser_of_route_and_deployment() {
    // Executions: the route's three, the deployment's two, and the other way round.
    for (route, deployment, most) in [(3, 2, 2), (2, 3, 2), (1, 3, 1)] {
        let set = RoutePolicy { max_executions: route, ..conditions() };
        let max_executions = deployment;
        let mut balancer = start_with(BalancerSettings { max_executions, ..terms(Effect::Idempotent) }, set);
        let mut sent = usize::from(sent_to(&ask_by_route(&mut balancer, NOON, 0)).is_some());
        for exec in 0..3 {
            let said = end(&mut balancer, NOON + MS, 0, exec, ending(Outcome::Broken, MS));
            sent += usize::from(sent_to(&said).is_some());
        }
        assert_eq!(sent, most, "{route} and {deployment}");
    }
    // The whole time: nothing is begun once the route's is over, though the client would wait.
    let mut balancer =
        start_with(terms(Effect::Idempotent), RoutePolicy { timeout_us: 100 * MS, ..conditions() });
    ask_by_route(&mut balancer, NOON, 0);
    let said = end(&mut balancer, NOON + 95 * MS, 0, 0, ending(Outcome::Broken, 95 * MS));
    assert_eq!(said, ["reject 0"]);
}

#[test]
fn a_repeat_waits_its_time_and_what_cannot_wait_is_answered_at_once() {
    let set = RoutePolicy { backoff_us: 50 * MS, ..conditions() };
    let mut balancer = start_with(terms(Effect::Idempotent), set.clone());
    ask_by_route(&mut balancer, NOON, 0);
    assert!(end(&mut balancer, NOON + MS, 0, 0, ending(Outcome::Broken, MS)).is_empty());
    assert!(look(&mut balancer, NOON + 40 * MS, 0).is_empty());
    assert!(sent_to(&look(&mut balancer, NOON + 51 * MS, 0)).is_some());
    // With 40 ms left a wait of 50 ms is of no use.
    ask_by_route(&mut balancer, NOON, 1);
    let said = end(&mut balancer, NOON + 1960 * MS, 1, 0, ending(Outcome::Broken, MS));
    assert_eq!(said, ["reject 1"]);
}

#[test]
fn a_client_that_leaves_while_its_query_waits_ends_it() {
    let mut balancer =
        start_with(terms(Effect::Idempotent), RoutePolicy { backoff_us: 50 * MS, ..conditions() });
    ask_by_route(&mut balancer, NOON, 0);
    end(&mut balancer, NOON + MS, 0, 0, ending(Outcome::Broken, MS));
    balancer.query_withdrawn(NOON + 20 * MS, 0);
    assert!(look(&mut balancer, NOON + 60 * MS, 0).is_empty());
}

#[test]
fn repeats_stay_within_their_part_of_the_traffic() {
    let mut balancer =
        start_with(terms(Effect::Idempotent), RoutePolicy { retry_budget: 0.2, ..conditions() });
    let mut repeats = 0;
    for query in 0..200 {
        let now = NOON + query as u64 * MS;
        if sent_to(&ask_by_route(&mut balancer, now, query)).is_none() {
            continue;
        }
        // An outage: everything breaks.
        for exec in 0..3 {
            let said = end(&mut balancer, now, query, exec, ending(Outcome::Broken, MS));
            repeats += usize::from(sent_to(&said).is_some());
        }
    }
    assert!((30..=40).contains(&repeats), "{repeats} repeats of 200 queries");
    // What is long ago no longer counts.
    let later = NOON + 60_000 * MS;
    for query in 0..5 {
        ask_by_route(&mut balancer, later, query);
    }
    assert!(sent_to(&end(&mut balancer, later + MS, 4, 0, ending(Outcome::Broken, MS))).is_some());
}

#[test]
fn only_the_servers_of_the_route_get_its_queries() {
    let set = RoutePolicy { zones: vec![1], ..conditions() };
    let mut balancer = start_with(terms(Effect::Idempotent), set);
    for query in 0..40 {
        let server = sent_to(&ask_by_route(&mut balancer, NOON, query)).expect("a server");
        assert!(server >= 2, "server {server}");
    }
    // A route whose servers all drain has none: it is answered at once, though others are ready.
    let drains: Vec<Endpoint> =
        (2..4).map(|server| Endpoint { state: EndpointState::Draining, ..entry(server, 1) }).collect();
    balancer.endpoints_changed(NOON + MS, &drains);
    assert_eq!(ask_by_route(&mut balancer, NOON + 2 * MS, 50), ["reject 50"]);
}

#[test]
fn repeats_stay_in_the_zone_that_the_route_names() {
    for query in 0..20 {
        let set = RoutePolicy { retry_scope: ServerScope::Zone, ..conditions() };
        let mut balancer = start_with(terms(Effect::Idempotent), set);
        let first = sent_to(&ask_by_route(&mut balancer, NOON + query, 0)).expect("a server");
        let said = end(&mut balancer, NOON + MS, 0, 0, ending(Outcome::Error, MS));
        let second = sent_to(&said).expect("the other server of the zone");
        assert_eq!((first / 2, first != second), (second / 2, true));
    }
}

#[test]
fn a_second_copy_goes_out_when_it_is_due_and_never_where_it_is_not_allowed() {
    for allowed in [true, false] {
        let set = RoutePolicy { hedge: HedgePolicy::After(30 * MS), ..conditions() };
        let allow_hedging = allowed;
        let mut balancer = start_with(BalancerSettings { allow_hedging, ..terms(Effect::Idempotent) }, set);
        ask_by_route(&mut balancer, NOON, 0);
        assert!(look(&mut balancer, NOON + 20 * MS, 0).is_empty());
        let said = look(&mut balancer, NOON + 31 * MS, 0);
        assert_eq!(sent_to(&said).is_some(), allowed, "{said:?}");
        // Only one.
        assert!(sent_to(&look(&mut balancer, NOON + 80 * MS, 0)).is_none());
    }
}

#[test]
fn a_quantile_without_samples_brings_no_copy() {
    let set = RoutePolicy { hedge: HedgePolicy::Quantile(0.5), ..conditions() };
    let mut balancer = start_with(BalancerSettings { allow_hedging: true, ..terms(Effect::Idempotent) }, set);
    ask_by_route(&mut balancer, NOON, 0);
    assert!(look(&mut balancer, NOON + 200 * MS, 0).is_empty());
    end(&mut balancer, NOON + 210 * MS, 0, 0, ending(Outcome::Completed, 40 * MS));
    ask_by_route(&mut balancer, NOON + 300 * MS, 1);
    assert!(sent_to(&look(&mut balancer, NOON + 341 * MS, 1)).is_some());
}

#[test]
fn queries_in_hand_keep_the_routes_under_which_they_came() {
    let mut balancer = start_with(terms(Effect::Idempotent), conditions());
    ask_by_route(&mut balancer, NOON, 0);
    balancer.set_routes(vec![vec![RoutePolicy { retry_on: RetryOn::NONE, ..conditions() }]]);
    ask_by_route(&mut balancer, NOON, 1);
    assert!(sent_to(&end(&mut balancer, NOON + MS, 0, 0, ending(Outcome::Broken, MS))).is_some());
    assert_eq!(end(&mut balancer, NOON + MS, 1, 0, ending(Outcome::Broken, MS)), ["reject 1"]);
    // A route that is gone is none.
    balancer.set_routes(vec![]);
    ask_by_route(&mut balancer, NOON, 2);
    assert!(sent_to(&end(&mut balancer, NOON + MS, 2, 0, ending(Outcome::Broken, MS))).is_some());
}
