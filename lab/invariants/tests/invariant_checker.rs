//! Planted violations are detected, each as one of its rule, and a correct balancer has none.

use std::collections::BTreeSet;

use whinspindle_lab_invariants::*;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

const READ: usize = 0;
const ORDER: usize = 1;
const PAY: usize = 2;
const POD: usize = 3;

fn rules(allow_hedging: bool) -> Rules {
    Rules {
        products: vec![
            RetrySafety::Idempotent,
            RetrySafety::Deduplicated { scope: Scope::Everywhere, memory: 5 * S },
            RetrySafety::NonIdempotent,
            RetrySafety::Deduplicated { scope: Scope::Pod, memory: 5 * S },
        ],
        max_executions: 3,
        allow_hedging,
        answer_slack: 20 * MS,
        drain_grace: 300 * MS,
        slow_start_time: 8 * S,
        overload_window: 3 * S,
    }
}

/// Two balancers that know three servers: 0 and 1 of one pod, 2 of another.
fn checker(allow_hedging: bool) -> InvariantChecker {
    let mut checker = InvariantChecker::new(rules(allow_hedging));
    for balancer in 0..2 {
        for (server, pod) in [(0, 0), (1, 0), (2, 1)] {
            checker.endpoint_listed(0, balancer, server, Listed::Ready, pod, pod);
        }
    }
    checker
}

type Scenario = fn(&mut InvariantChecker);

/// A query without any fault: sent, run, answered.
fn serve(checker: &mut InvariantChecker, at: u64, id: u64, product: usize, server: usize) {
    checker.query_accepted(at, 0, id, product, at + 3 * S);
    checker.execution_sent(at, id, server, 20.0);
    checker.query_executed(at + 20 * MS, server, id);
    checker.execution_ended(at + 20 * MS, id, 0, true);
    checker.query_answered(at + 20 * MS, id, Final::Completed);
}

#[test]
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn planted_violations_are_detected_and_nothing_else() {
    let cases: &[(&str, Option<u8>, Scenario)] = &[
        ("a query served", None, |checker| serve(checker, S, 1, PAY, 0)),
        ("killed after its grace with nothing open", None, |checker| {
            serve(checker, S, 1, PAY, 0);
            checker.shutdown_grace_expired(2 * S, 0);
        }),
        ("killed after its grace with a query open", Some(1), |checker| {
            checker.query_accepted(S, 0, 1, PAY, 4 * S);
            checker.shutdown_grace_expired(2 * S, 0);
            checker.balancer_ended(2 * S, 0);
        }),
        ("rejected at once", None, |checker| {
            checker.query_accepted(S, 0, 1, PAY, 4 * S);
            checker.query_answered(S, 1, Final::Rejected);
        }),
        ("sent elsewhere after it surely never ran", None, |checker| {
            checker.query_accepted(S, 0, 1, PAY, 4 * S);
            checker.execution_sent(S, 1, 0, 20.0);
            checker.execution_ended(S + MS, 1, 0, false);
            checker.execution_sent(S + MS, 1, 2, 20.0);
            checker.query_executed(S + 5 * MS, 2, 1);
            checker.execution_ended(S + 5 * MS, 1, 1, true);
            checker.query_answered(S + 5 * MS, 1, Final::Completed);
        }),
        ("a retry that the servers deduplicate", None, |checker| {
            checker.query_accepted(S, 0, 1, ORDER, 9 * S);
            checker.execution_sent(S, 1, 0, 20.0);
            checker.execution_ended(2 * S, 1, 0, true);
            checker.execution_sent(2 * S, 1, 2, 20.0);
            checker.query_executed(2 * S, 0, 1);
            checker.query_executed(2 * S, 2, 1);
            checker.execution_ended(2 * S, 1, 1, true);
            checker.query_answered(2 * S, 1, Final::Completed);
        }),
        ("no answer is due after the client has cancelled", None, |checker| {
            checker.query_accepted(S, 0, 1, PAY, 4 * S);
            checker.execution_sent(S, 1, 0, 20.0);
            checker.query_cancelled(2 * S, 1);
            checker.execution_ended(2 * S, 1, 0, true);
        }),
        ("no answer is due from a killed balancer", None, |checker| {
            checker.query_accepted(S, 0, 1, PAY, 4 * S);
            checker.balancer_ended(2 * S, 0);
        }),
        ("a send within the grace", None, |checker| {
            checker.endpoint_listed(S, 0, 0, Listed::Draining, 0, 0);
            serve(checker, S + 300 * MS, 1, READ, 0);
        }),
        ("a drain that only another balancer was informed of", None, |checker| {
            checker.endpoint_listed(S, 1, 0, Listed::Draining, 0, 0);
            serve(checker, 2 * S, 1, READ, 0);
        }),
        ("ready again after a drain", None, |checker| {
            checker.endpoint_listed(S, 0, 0, Listed::Draining, 0, 0);
            checker.endpoint_listed(2 * S, 0, 0, Listed::Ready, 0, 0);
            serve(checker, 3 * S, 1, READ, 0);
        }),
        ("an aborted query that may have run", None, |checker| {
            checker.query_accepted(S, 0, 1, PAY, 4 * S);
            checker.execution_sent(S, 1, 0, 20.0);
            checker.execution_ended(2 * S, 1, 0, true);
            checker.query_answered(2 * S, 1, Final::Aborted);
        }),
        ("a pause postpones what is due", None, |checker| {
            checker.query_accepted(S, 0, 1, PAY, 2 * S);
            checker.balancer_paused(S, 0);
            checker.query_accepted(5 * S, 1, 2, PAY, 8 * S);
            checker.query_answered(5 * S, 2, Final::Rejected);
            checker.balancer_resumed(6 * S, 0);
            checker.query_answered(7 * S, 1, Final::Rejected);
        }),
        ("forgets a query over a pause", Some(1), |checker| {
            checker.query_accepted(S, 0, 1, PAY, 2 * S);
            checker.balancer_paused(S, 0);
            checker.balancer_resumed(6 * S, 0);
            checker.query_answered(7 * S + 21 * MS, 1, Final::Rejected);
        }),
        ("forgets a query", Some(1), |checker| checker.query_accepted(S, 0, 1, PAY, 4 * S)),
        ("answers late", Some(1), |checker| {
            checker.query_accepted(S, 0, 1, PAY, 4 * S);
            checker.query_answered(4 * S + 20 * MS + 1, 1, Final::Rejected);
        }),
        ("answers twice", Some(1), |checker| {
            serve(checker, S, 1, PAY, 0);
            checker.query_answered(2 * S, 1, Final::Rejected);
        }),
        ("sends after the answer", Some(1), |checker| {
            serve(checker, S, 1, READ, 0);
            checker.execution_sent(2 * S, 1, 1, 20.0);
        }),
        ("sends after the client has cancelled", Some(1), |checker| {
            checker.query_accepted(S, 0, 1, READ, 4 * S);
            checker.query_cancelled(2 * S, 1);
            checker.execution_sent(2 * S + 1, 1, 0, 20.0);
        }),
        ("completes a query that no server has run", Some(1), |checker| {
            checker.query_accepted(S, 0, 1, READ, 4 * S);
            checker.query_answered(S, 1, Final::Completed);
        }),
        ("ends by itself with a query open", Some(1), |checker| {
            checker.query_accepted(S, 0, 1, PAY, 4 * S);
            checker.balancer_crashed(2 * S, 0);
        }),
        ("sends a query that was never accepted", Some(1), |checker| checker.execution_sent(S, 77, 0, 20.0)),
        ("resends a non-idempotent query", Some(2), |checker| {
            checker.query_accepted(S, 0, 1, PAY, 4 * S);
            checker.execution_sent(S, 1, 0, 20.0);
            checker.execution_ended(S + MS, 1, 0, true);
            checker.execution_sent(S + MS, 1, 1, 20.0);
            checker.query_answered(S + MS, 1, Final::Aborted);
        }),
        ("rejects what may have run", Some(2), |checker| {
            checker.query_accepted(S, 0, 1, PAY, 4 * S);
            checker.execution_sent(S, 1, 0, 20.0);
            checker.execution_ended(S + MS, 1, 0, true);
            checker.query_answered(S + MS, 1, Final::Rejected);
        }),
        ("rejects while an execution is out", Some(2), |checker| {
            checker.query_accepted(S, 0, 1, POD, 4 * S);
            checker.execution_sent(S, 1, 0, 20.0);
            checker.query_answered(S + MS, 1, Final::Rejected);
        }),
        ("retries in another pod", Some(2), |checker| {
            checker.query_accepted(S, 0, 1, POD, 4 * S);
            checker.execution_sent(S, 1, 0, 20.0);
            checker.execution_ended(S + MS, 1, 0, true);
            checker.execution_sent(S + MS, 1, 2, 20.0);
            checker.query_answered(S + MS, 1, Final::Aborted);
        }),
        ("retries after the deduplication memory", Some(2), |checker| {
            checker.query_accepted(S, 0, 1, ORDER, 9 * S);
            checker.execution_sent(S, 1, 0, 20.0);
            checker.execution_ended(2 * S, 1, 0, true);
            checker.execution_sent(6 * S, 1, 1, 20.0);
            checker.query_answered(6 * S, 1, Final::Aborted);
        }),
        ("overlaps executions", Some(2), |checker| {
            checker.query_accepted(S, 0, 1, READ, 4 * S);
            checker.execution_sent(S, 1, 0, 20.0);
            checker.execution_sent(S + MS, 1, 1, 20.0);
            checker.query_answered(S + 2 * MS, 1, Final::Aborted);
        }),
        ("executes a fourth time", Some(2), |checker| {
            checker.query_accepted(S, 0, 1, READ, 4 * S);
            for n in 0..4 {
                checker.execution_sent(S + n * MS, 1, 0, 20.0);
                checker.execution_ended(S + n * MS, 1, n as usize, false);
            }
            checker.query_answered(2 * S, 1, Final::Rejected);
        }),
        ("has an effect twice", Some(2), |checker| {
            checker.query_accepted(S, 0, 1, PAY, 4 * S);
            checker.execution_sent(S, 1, 0, 20.0);
            checker.query_executed(S + MS, 0, 1);
            checker.query_executed(S + 2 * MS, 0, 1);
            checker.execution_ended(S + 3 * MS, 1, 0, true);
            checker.query_answered(S + 3 * MS, 1, Final::Completed);
        }),
        ("sends to a drained server after the grace", Some(3), |checker| {
            checker.endpoint_listed(S, 0, 0, Listed::Draining, 0, 0);
            serve(checker, S + 301 * MS, 1, READ, 0);
        }),
        ("a drain announced twice counts from the first", Some(3), |checker| {
            checker.endpoint_listed(S, 0, 0, Listed::Draining, 0, 0);
            checker.endpoint_listed(S + 290 * MS, 0, 0, Listed::Gone, 0, 0);
            serve(checker, S + 301 * MS, 1, READ, 0);
        }),
        ("sends to a server missing from a full list", Some(3), |checker| {
            checker.full_list_received(S, 0, &BTreeSet::from([1, 2]));
            serve(checker, S + 301 * MS, 1, READ, 0);
        }),
        ("sends to a server that was never listed", Some(3), |checker| serve(checker, S, 1, READ, 9)),
        ("sends to a server that has been gone for minutes", Some(3), |checker| {
            checker.endpoint_listed(S, 0, 0, Listed::Gone, 0, 0);
            checker.endpoint_listed(90 * S, 0, 1, Listed::Draining, 0, 0);
            serve(checker, 91 * S, 1, READ, 0);
        }),
        ("overloads a cold server", Some(4), |checker| {
            checker.server_started(S, 0);
            checker.endpoint_listed(S, 0, 0, Listed::Ready, 0, 0);
            for n in 0..9 {
                serve(checker, S + n * 30 * MS, n, READ, 0);
            }
            checker.server_overloaded(2 * S, 0);
        }),
        ("overloads a server whose start it was not informed of", None, |checker| {
            checker.server_started(S, 0);
            for n in 0..9 {
                serve(checker, S + n * 30 * MS, n, READ, 0);
            }
            checker.server_overloaded(2 * S, 0);
        }),
    ];
    for (name, rule, scenario) in cases {
        let mut checker = checker(false);
        scenario(&mut checker);
        let verdict = checker.finish(100 * S);
        let broken: Vec<u8> = (1..=4).filter(|rule| verdict.broken[usize::from(*rule) - 1] > 0).collect();
        assert_eq!(broken, rule.iter().copied().collect::<Vec<_>>(), "{name}: {:?}", verdict.breaks);
    }
}

#[test]
fn hedged_executions_pass_where_they_are_allowed() {
    let mut checker = checker(true);
    checker.query_accepted(S, 0, 1, READ, 4 * S);
    checker.execution_sent(S, 1, 0, 20.0);
    checker.execution_sent(S + MS, 1, 1, 20.0);
    checker.query_executed(S + 9 * MS, 0, 1);
    checker.execution_ended(S + 9 * MS, 1, 0, true);
    checker.query_answered(S + 9 * MS, 1, Final::Completed);
    checker.execution_ended(S + 9 * MS, 1, 1, true);
    let verdict = checker.finish(100 * S);
    assert!(verdict.is_clean() && verdict.looked[1] > 0, "{verdict:?}");
}

#[test]
fn ended_queries_are_forgotten() {
    let mut checker = checker(false);
    for n in 0..10_000 {
        serve(&mut checker, n * 10 * MS, n, READ, 0);
    }
    // An observation of a query that ended a hundred seconds ago is one of an unknown query.
    checker.execution_sent(100 * S, 1, 0, 20.0);
    let verdict = checker.finish(200 * S);
    assert_eq!(verdict.breaks[0].what, "sent for a query that nobody asked");
}
