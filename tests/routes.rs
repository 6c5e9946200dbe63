//! Route policies, within the limits of the deployment.

mod common;

use common::*;
use whinspindle::balancer::Balancer;
use whinspindle::host::*;

fn policy() -> RoutePolicy {
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

/// Starts a balancer with two servers in each of two zones, and one route.
fn start_with(settings: BalancerSettings, policy: RoutePolicy) -> Balancer<RecordingHost> {
    let entries: Vec<Endpoint> = (0..4).map(|server| endpoint(server, server / 2)).collect();
    let mut balancer = start_balancer(settings, &entries);
    balancer.set_routes(vec![vec![policy]]);
    balancer
}

fn submit_by_route(balancer: &mut Balancer<RecordingHost>, now: u64, query: usize) -> Vec<String> {
    let arrival = Arrival { product: 0, tenant: 0, deadline: now + 3000 * MS, route: Some(0) };
    balancer.query_arrived(now, query, arrival);
    std::mem::take(&mut balancer.host.calls)
}

/// Fires the check timer of a query and returns the host calls.
fn fire_query_timer(balancer: &mut Balancer<RecordingHost>, now: u64, query: usize) -> Vec<String> {
    balancer.timer_fired(now, 2 + query as u32);
    std::mem::take(&mut balancer.host.calls)
}

#[test]
fn outcomes_are_retried_only_if_the_route_allows_it() {
    let none = RetryOn::NONE;
    let cases = [
        (Outcome::Rejected, RetryOn { never_ran: true, ..none }),
        (Outcome::NotConnected, RetryOn { never_ran: true, ..none }),
        (Outcome::Error, RetryOn { error: true, ..none }),
        (Outcome::Broken, RetryOn { broken: true, ..none }),
        (Outcome::StaleConnection, RetryOn { broken: true, ..none }),
        (Outcome::TimedOut, RetryOn { timed_out: true, ..none }),
    ];
    let all = policy().retry_on;
    for (outcome, only) in cases {
        let others = RetryOn {
            never_ran: !only.never_ran,
            error: !only.error,
            broken: !only.broken,
            timed_out: !only.timed_out,
        };
        for (allowed, retries) in [(all, true), (only, true), (others, false), (none, false)] {
            let route_policy = RoutePolicy { retry_on: allowed, ..policy() };
            let mut balancer = start_with(settings(Effect::Idempotent), route_policy);
            submit_by_route(&mut balancer, START, 0);
            let calls = end_execution(&mut balancer, START + MS, 0, 0, execution_end(outcome, MS));
            assert_eq!(sent_server(&calls).is_some(), retries, "{outcome:?} {allowed:?}: {calls:?}");
            assert_eq!(calls.contains(&"reject 0".to_string()), !retries, "{outcome:?}: {calls:?}");
        }
    }
}

#[test]
fn route_does_not_override_a_non_idempotent_effect() {
    let mut balancer = start_with(settings(Effect::NonIdempotent), policy());
    submit_by_route(&mut balancer, START, 0);
    let calls = end_execution(&mut balancer, START + MS, 0, 0, execution_end(Outcome::Error, MS));
    assert_eq!(calls, ["abort 0"]);
}

#[test]
fn queries_without_a_route_ignore_route_policies() {
    let mut balancer =
        start_with(settings(Effect::Idempotent), RoutePolicy { max_executions: 1, ..policy() });
    submit(&mut balancer, START, 0);
    assert!(
        sent_server(&end_execution(&mut balancer, START + MS, 0, 0, execution_end(Outcome::Broken, MS)))
            .is_some()
    );
}

#[test]
fn limits_are_the_minimum_of_route_and_deployment() {
    // Maximum executions of the route, of the deployment, and the expected number.
    for (route, deployment, max) in [(3, 2, 2), (2, 3, 2), (1, 3, 1)] {
        let route_policy = RoutePolicy { max_executions: route, ..policy() };
        let max_executions = deployment;
        let mut balancer =
            start_with(BalancerSettings { max_executions, ..settings(Effect::Idempotent) }, route_policy);
        let mut sent = usize::from(sent_server(&submit_by_route(&mut balancer, START, 0)).is_some());
        for execution in 0..3 {
            let calls =
                end_execution(&mut balancer, START + MS, 0, execution, execution_end(Outcome::Broken, MS));
            sent += usize::from(sent_server(&calls).is_some());
        }
        assert_eq!(sent, max, "{route} and {deployment}");
    }
    // No execution starts after the route's timeout, although the client's deadline is after_window.
    let mut balancer =
        start_with(settings(Effect::Idempotent), RoutePolicy { timeout_us: 100 * MS, ..policy() });
    submit_by_route(&mut balancer, START, 0);
    let calls = end_execution(&mut balancer, START + 95 * MS, 0, 0, execution_end(Outcome::Broken, 95 * MS));
    assert_eq!(calls, ["reject 0"]);
}

#[test]
fn retry_waits_for_the_backoff_or_the_query_is_rejected() {
    let route_policy = RoutePolicy { backoff_us: 50 * MS, ..policy() };
    let mut balancer = start_with(settings(Effect::Idempotent), route_policy.clone());
    submit_by_route(&mut balancer, START, 0);
    assert!(end_execution(&mut balancer, START + MS, 0, 0, execution_end(Outcome::Broken, MS)).is_empty());
    assert!(fire_query_timer(&mut balancer, START + 40 * MS, 0).is_empty());
    assert!(sent_server(&fire_query_timer(&mut balancer, START + 51 * MS, 0)).is_some());
    // With 40 ms left, a backoff of 50 ms is too long.
    submit_by_route(&mut balancer, START, 1);
    let calls = end_execution(&mut balancer, START + 1960 * MS, 1, 0, execution_end(Outcome::Broken, MS));
    assert_eq!(calls, ["reject 1"]);
}

#[test]
fn withdrawn_query_is_not_retried_after_its_backoff() {
    let mut balancer =
        start_with(settings(Effect::Idempotent), RoutePolicy { backoff_us: 50 * MS, ..policy() });
    submit_by_route(&mut balancer, START, 0);
    end_execution(&mut balancer, START + MS, 0, 0, execution_end(Outcome::Broken, MS));
    balancer.query_withdrawn(START + 20 * MS, 0);
    assert!(fire_query_timer(&mut balancer, START + 60 * MS, 0).is_empty());
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut balancer =
        start_with(settings(Effect::Idempotent), RoutePolicy { retry_budget: 0.2, ..policy() });
    let mut retries = 0;
    for query in 0..200 {
        let now = START + query as u64 * MS;
        if sent_server(&submit_by_route(&mut balancer, now, query)).is_none() {
            continue;
        }
        // During an outage all connections break.
        for execution in 0..3 {
            let calls =
                end_execution(&mut balancer, now, query, execution, execution_end(Outcome::Broken, MS));
            retries += usize::from(sent_server(&calls).is_some());
        }
    }
    assert!((30..=40).contains(&retries), "{retries} retries of 200 queries");
    // Retries outside of the window no longer count.
    let after_window = START + 60_000 * MS;
    for query in 0..5 {
        submit_by_route(&mut balancer, after_window, query);
    }
    assert!(
        sent_server(&end_execution(
            &mut balancer,
            after_window + MS,
            4,
            0,
            execution_end(Outcome::Broken, MS)
        ))
        .is_some()
    );
}

#[test]
fn queries_go_only_to_servers_of_their_route() {
    let route_policy = RoutePolicy { zones: vec![1], ..policy() };
    let mut balancer = start_with(settings(Effect::Idempotent), route_policy);
    for query in 0..40 {
        let server = sent_server(&submit_by_route(&mut balancer, START, query)).expect("a server");
        assert!(server >= 2, "server {server}");
    }
    // If all servers of a route drain, its queries are rejected at once, although other servers are ready.
    let drains: Vec<Endpoint> =
        (2..4).map(|server| Endpoint { state: EndpointState::Draining, ..endpoint(server, 1) }).collect();
    balancer.endpoints_changed(START + MS, &drains);
    assert_eq!(submit_by_route(&mut balancer, START + 2 * MS, 50), ["reject 50"]);
}

#[test]
fn retries_stay_within_the_retry_scope() {
    for query in 0..20 {
        let route_policy = RoutePolicy { retry_scope: ServerScope::Zone, ..policy() };
        let mut balancer = start_with(settings(Effect::Idempotent), route_policy);
        let first = sent_server(&submit_by_route(&mut balancer, START + query, 0)).expect("a server");
        let calls = end_execution(&mut balancer, START + MS, 0, 0, execution_end(Outcome::Error, MS));
        let second = sent_server(&calls).expect("the other server of the zone");
        assert_eq!((first / 2, first != second), (second / 2, true));
    }
}

#[test]
fn hedged_request_is_sent_when_due_if_allowed() {
    for allowed in [true, false] {
        let route_policy = RoutePolicy { hedge: HedgePolicy::After(30 * MS), ..policy() };
        let allow_hedging = allowed;
        let mut balancer =
            start_with(BalancerSettings { allow_hedging, ..settings(Effect::Idempotent) }, route_policy);
        submit_by_route(&mut balancer, START, 0);
        assert!(fire_query_timer(&mut balancer, START + 20 * MS, 0).is_empty());
        let calls = fire_query_timer(&mut balancer, START + 31 * MS, 0);
        assert_eq!(sent_server(&calls).is_some(), allowed, "{calls:?}");
        // Only one hedged request is sent.
        assert!(sent_server(&fire_query_timer(&mut balancer, START + 80 * MS, 0)).is_none());
    }
}

#[test]
fn quantile_hedging_needs_latency_samples() {
    let route_policy = RoutePolicy { hedge: HedgePolicy::Quantile(0.5), ..policy() };
    let mut balancer =
        start_with(BalancerSettings { allow_hedging: true, ..settings(Effect::Idempotent) }, route_policy);
    submit_by_route(&mut balancer, START, 0);
    assert!(fire_query_timer(&mut balancer, START + 200 * MS, 0).is_empty());
    end_execution(&mut balancer, START + 210 * MS, 0, 0, execution_end(Outcome::Completed, 40 * MS));
    submit_by_route(&mut balancer, START + 300 * MS, 1);
    assert!(sent_server(&fire_query_timer(&mut balancer, START + 341 * MS, 1)).is_some());
}

#[test]
fn open_queries_keep_their_routes() {
    let mut balancer = start_with(settings(Effect::Idempotent), policy());
    submit_by_route(&mut balancer, START, 0);
    balancer.set_routes(vec![vec![RoutePolicy { retry_on: RetryOn::NONE, ..policy() }]]);
    submit_by_route(&mut balancer, START, 1);
    assert!(
        sent_server(&end_execution(&mut balancer, START + MS, 0, 0, execution_end(Outcome::Broken, MS)))
            .is_some()
    );
    assert_eq!(
        end_execution(&mut balancer, START + MS, 1, 0, execution_end(Outcome::Broken, MS)),
        ["reject 1"]
    );
    // A query with a removed route is treated as one without a route.
    balancer.set_routes(vec![]);
    submit_by_route(&mut balancer, START, 2);
    assert!(
        sent_server(&end_execution(&mut balancer, START + MS, 2, 0, execution_end(Outcome::Broken, MS)))
            .is_some()
    );
}
