//! The four rules for executions, and the final answers, with edge cases.

mod common;

use common::*;
use whinspindle::host::*;

use Effect::{Deduplicated, Idempotent, NonIdempotent};
use Outcome::{Broken, Completed, Error, Malformed, NotConnected, Rejected, StaleConnection, TimedOut};

#[test]
fn final_answer_depends_on_whether_the_query_may_have_run() {
    for (effect, outcome, answer) in [
        (Idempotent, Error, "reject 0"),
        (Deduplicated(ServerScope::All), Error, "reject 0"),
        (Deduplicated(ServerScope::Cell), Error, "abort 0"),
        (Deduplicated(ServerScope::Zone), NotConnected, "reject 0"),
        (NonIdempotent, Error, "abort 0"),
        (NonIdempotent, TimedOut, "abort 0"),
        (NonIdempotent, Rejected, "reject 0"),
    ] {
        let mut balancer = start_balancer(settings(effect), &[endpoint(0, 0)]);
        assert_eq!(submit(&mut balancer, START, 0), ["execute 0 on 0"]);
        let calls = end_execution(&mut balancer, START + MS, 0, 0, execution_end(outcome, MS));
        assert_eq!(calls, [answer], "{effect:?} {outcome:?}");
    }
}

#[test]
fn malformed_answers_are_retried_on_the_same_server_without_alternative() {
    for (effect, outcome, cell, to) in [
        (Deduplicated(ServerScope::Cell), Malformed, 1, Some(0)),
        (Deduplicated(ServerScope::Cell), StaleConnection, 1, Some(0)),
        (Deduplicated(ServerScope::Cell), Malformed, 0, Some(1)),
        (Deduplicated(ServerScope::Cell), Broken, 1, Some(0)),
        // The same server would fail again in the same way.
        (Deduplicated(ServerScope::Cell), Error, 1, None),
        (Deduplicated(ServerScope::Cell), TimedOut, 1, None),
        (NonIdempotent, Malformed, 1, None),
        (NonIdempotent, NotConnected, 1, Some(1)),
    ] {
        let mut balancer = start_balancer(settings(effect), &[endpoint(0, 0)]);
        submit(&mut balancer, START, 0);
        balancer.endpoints_changed(START, &[Endpoint { cell, ..endpoint(1, 0) }]);
        let calls = end_execution(&mut balancer, START + MS, 0, 0, execution_end(outcome, MS));
        assert_eq!(sent_server(&calls), to, "{effect:?} {outcome:?} {cell}");
    }
}

#[test]
fn retries_stay_within_the_deduplication_scope() {
    // Servers 0 and 1 share a cell, server 2 shares only the zone, server 3 neither. Only server 0 and
    // `other` are ready.
    let fleet = |other: usize| {
        [(0, 0, 0), (1, 0, 0), (2, 0, 1), (3, 1, 2)].map(|(server, zone, cell)| {
            let is_ready = server == 0 || server == other;
            let state = if is_ready { EndpointState::Ready } else { EndpointState::Draining };
            Endpoint { zone, cell, state, ..endpoint(server, zone) }
        })
    };
    for (effect, outcome, other, delay_ms, is_retried) in [
        (Idempotent, Error, 3, 1, true),
        (NonIdempotent, Error, 1, 1, false),
        (NonIdempotent, NotConnected, 3, 1, true),
        (Deduplicated(ServerScope::Cell), Error, 1, 1, true),
        (Deduplicated(ServerScope::Cell), Error, 2, 1, false),
        (Deduplicated(ServerScope::Cell), Rejected, 2, 1, true),
        (Deduplicated(ServerScope::Zone), Error, 2, 1, true),
        (Deduplicated(ServerScope::Zone), Error, 3, 1, false),
        (Deduplicated(ServerScope::All), Error, 3, 1, true),
        (Deduplicated(ServerScope::Cell), Error, 1, 1985, true),
        (Deduplicated(ServerScope::Cell), Error, 1, 1990, false),
        (Idempotent, Error, 1, 2990, false),
    ] {
        let mut rules = settings(effect);
        rules.products[0].dedup_window_us = 2000 * MS;
        let mut balancer = start_balancer(rules, &[endpoint(0, 0)]);
        submit(&mut balancer, START, 0);
        balancer.endpoints_replaced(START, &fleet(other));
        let calls =
            end_execution(&mut balancer, START + delay_ms * MS, 0, 0, execution_end(outcome, delay_ms * MS));
        assert_eq!(
            sent_server(&calls),
            is_retried.then_some(other),
            "{effect:?} {outcome:?} {other} {delay_ms}"
        );
    }
}

/// A connection may be established after the deduplication window has ended; the retry must not be sent then.
#[test]
fn retry_is_not_sent_after_a_late_connection() {
    for (effect, first, delay_ms, may_send) in [
        (Idempotent, Error, 4000, true),
        (Deduplicated(ServerScope::All), Error, 1900, true),
        (Deduplicated(ServerScope::All), Error, 1990, false),
        (Deduplicated(ServerScope::All), Rejected, 1990, true),
        (NonIdempotent, NotConnected, 4000, true),
    ] {
        let mut rules = settings(effect);
        rules.products[0].dedup_window_us = 2000 * MS;
        let mut balancer = start_balancer(rules, &[endpoint(0, 0), endpoint(1, 0)]);
        submit(&mut balancer, START, 0);
        assert!(balancer.may_send(START + delay_ms * MS, 0, 0), "the first execution may be sent");
        end_execution(&mut balancer, START + MS, 0, 0, execution_end(first, MS));
        assert_eq!(
            balancer.may_send(START + delay_ms * MS, 0, 1),
            may_send,
            "{effect:?} {first:?} {delay_ms}"
        );
    }
}

#[test]
fn executions_are_limited() {
    let entries: Vec<Endpoint> = (0..6).map(|server| endpoint(server, 0)).collect();
    for max in 1..4 {
        let mut balancer =
            start_balancer(BalancerSettings { max_executions: max, ..settings(Idempotent) }, &entries);
        submit(&mut balancer, START, 0);
        let calls: Vec<_> = (0..max)
            .flat_map(|e| end_execution(&mut balancer, START + MS, 0, e, execution_end(Error, MS)))
            .collect();
        let sent = calls.iter().filter(|line| line.starts_with("execute")).count();
        assert_eq!((sent, calls.last().map(String::as_str)), (max - 1, Some("reject 0")));
    }
}

#[test]
fn finished_queries_cause_no_calls() {
    let ends: [fn(&mut whinspindle::balancer::Balancer<RecordingHost>); 3] = [
        |balancer| balancer.query_withdrawn(START, 0),
        |balancer| balancer.execution_ended(START, 0, 0, execution_end(Completed, MS)),
        |balancer| {
            balancer.execution_ended(
                START,
                0,
                0,
                ExecutionEnd { query_answered: true, ..execution_end(Broken, MS) },
            )
        },
    ];
    for finish in ends {
        let mut balancer = start_balancer(settings(Idempotent), &[endpoint(0, 0), endpoint(1, 0)]);
        submit(&mut balancer, START, 0);
        finish(&mut balancer);
        balancer.host.calls.clear();
        balancer.execution_ended(START + MS, 0, 0, execution_end(Error, MS));
        balancer.query_withdrawn(START + MS, 0);
        balancer.timer_fired(START + 5000 * MS, 2);
        assert!(balancer.host.calls.is_empty(), "{:?}", balancer.host.calls);
    }
}

#[test]
fn unknown_indices_are_ignored() {
    let mut balancer = start_balancer(settings(Idempotent), &[]);
    balancer.execution_ended(START, 9, 0, execution_end(Error, MS));
    balancer.query_withdrawn(START, 9);
    balancer.execution_started(START, 9, 0);
    balancer.timer_fired(START, 99);
    balancer.probe_ended(START, 9, true, LoadReport::default());
    assert!(balancer.host.calls.is_empty());
    balancer.query_arrived(START, 0, Arrival { product: 5, tenant: 5, deadline: START, route: None });
    balancer.query_arrived(
        START,
        1,
        Arrival { product: 0, tenant: 5, deadline: START + 1000 * MS, route: None },
    );
    assert_eq!(balancer.host.calls, ["reject 0", "reject 1"]);
}

#[test]
fn invalid_load_figures_are_tolerated() {
    for (relative_capacity, report) in [
        (0.0, LoadReport::default()),
        (f64::NAN, LoadReport { throughput: Some(0.0), utilization: Some(0.0), ..LoadReport::default() }),
        (
            f64::INFINITY,
            LoadReport { throughput: Some(1e30), utilization: Some(1e-30), ..LoadReport::default() },
        ),
        (-1.0, LoadReport { throughput: Some(5.0), utilization: None, ..LoadReport::default() }),
    ] {
        let mut balancer = start_balancer(
            settings(Idempotent),
            &[Endpoint { relative_capacity, ..endpoint(0, 0) }, endpoint(1, 3), endpoint(2, 0)],
        );
        for at in (0..300).map(|i| START + i * 20 * MS) {
            assert!(sent_server(&submit(&mut balancer, at, 0)).is_some(), "{relative_capacity} {report:?}");
            end_execution(&mut balancer, at, 0, 0, ExecutionEnd { report, ..execution_end(Completed, 0) });
        }
        balancer.timer_fired(START + 6000 * MS, 0);
        assert!(
            sent_server(&submit(&mut balancer, START + 6000 * MS, 1)).is_some(),
            "{relative_capacity} {report:?}"
        );
    }
}

#[test]
fn gives_up_before_the_deadline_or_when_late_answers_are_worthless() {
    for (late_answer_value, give_up_ms) in [(0.5, 2990), (0.0, 990)] {
        let mut rules = settings(NonIdempotent);
        rules.products[0].late_answer_value = late_answer_value;
        let mut balancer = start_balancer(rules, &[endpoint(0, 0)]);
        submit(&mut balancer, START, 0);
        let mut now = START;
        while balancer.host.calls.is_empty() {
            let (wait, label) = balancer.host.timers.pop().expect("an open query has a timer");
            now += wait;
            balancer.timer_fired(now, label);
        }
        assert_eq!(now, START + give_up_ms * MS);
        assert_eq!(balancer.host.calls, ["abort 0", "cancel 0.0"]);
    }
}

#[test]
fn open_queries_are_answered_before_shutdown() {
    for (until, answered) in [(5_000, 2_990), (2_990, 2_990), (700, 700), (1, 1), (0, 0)] {
        let mut balancer = start_balancer(settings(NonIdempotent), &[endpoint(0, 0)]);
        submit(&mut balancer, START, 0);
        submit(&mut balancer, START, 1);
        end_execution(&mut balancer, START, 1, 0, execution_end(Completed, 0));
        balancer.begin_shutdown(START, START + until * MS);
        let mut timers = std::mem::take(&mut balancer.host.timers);
        timers.sort_unstable();
        let mut now = START;
        for (wait, label) in timers.into_iter().filter(|&(_, label)| label > 1) {
            now = START + wait;
            balancer.timer_fired(now, label);
            if !balancer.host.calls.is_empty() {
                break;
            }
        }
        // The regular check of the query was due later, so that another timer was started.
        while balancer.host.calls.is_empty() {
            let (wait, label) = balancer.host.timers.pop().expect("an open query has a timer");
            now += wait;
            balancer.timer_fired(now, label);
        }
        assert_eq!(
            (balancer.host.calls.join(", "), now),
            ("abort 0, cancel 0.0".into(), START + answered * MS)
        );
    }
}

#[test]
fn draining_takes_effect_at_once() {
    let with = |state| vec![Endpoint { state, ..endpoint(0, 0) }];
    for (is_complete, entries, answer) in [
        (false, with(EndpointState::Draining), "reject 0"),
        (false, with(EndpointState::Gone), "reject 0"),
        (true, vec![], "reject 0"),
        (false, vec![], "execute 0 on 0"),
        (true, with(EndpointState::Ready), "execute 0 on 0"),
    ] {
        let mut balancer = start_balancer(settings(Idempotent), &[endpoint(0, 0)]);
        if is_complete {
            balancer.endpoints_replaced(START, &entries);
        } else {
            balancer.endpoints_changed(START, &entries);
        }
        assert_eq!(submit(&mut balancer, START, 0), [answer], "{is_complete} {entries:?}");
    }
}

#[test]
fn endpoint_watch_is_reopened_after_a_failure() {
    for (watch_reopen_limit_us, calls) in [(None, 0), (Some(8000 * MS), 2)] {
        let mut balancer =
            start_balancer(BalancerSettings { watch_reopen_limit_us, ..settings(Idempotent) }, &[]);
        balancer.host.timers.clear();
        balancer.endpoint_watch_failed(START);
        if let Some((wait, label)) = balancer.host.timers.pop() {
            assert!((1000 * MS..2000 * MS).contains(&wait), "{wait}");
            balancer.timer_fired(START + wait, label);
        }
        assert_eq!(balancer.host.calls.iter().filter(|line| *line == "watch endpoints").count(), calls);
    }
}

#[test]
fn slow_start_limits_queries() {
    // Age of the only server in ms, and a bound of the number of queries sent to it.
    for (age, max) in [(0, 2), (5_000, 6), (10_000, 200)] {
        let cold = Endpoint { started_at: START - age * MS, ..endpoint(0, 0) };
        let mut balancer = start_balancer(BalancerSettings { tier: 1, ..settings(Idempotent) }, &[cold]);
        let sent =
            (0..200).filter(|&query| sent_server(&submit(&mut balancer, START, query)).is_some()).count();
        assert!(sent <= max * 60 && (sent == 200) == (age == 10_000), "{age}: {sent}");
    }
    // A restart is detected by the new start time, and the budget applies to a burst right after it.
    let mut balancer = start_balancer(
        BalancerSettings { tier: 1, ..settings(Idempotent) },
        &[endpoint(0, 0), endpoint(1, 0)],
    );
    balancer.endpoints_changed(START, &[Endpoint { started_at: START, ..endpoint(1, 0) }]);
    let sent: Vec<_> =
        (0..40).filter_map(|query| sent_server(&submit(&mut balancer, START + MS, query))).collect();
    let cold = sent.iter().filter(|&&server| server == 1).count();
    assert!(cold <= 12 && sent.len() == 40, "{cold}");
}

#[test]
fn slow_start_budget_holds_over_all_balancers() {
    // Ten servers serve 20 queries per second each, so the restarted one may get 20/s x 3 x 2 s x 0.2 = 24 at
    // first.
    for balancer_count in [1, 3, 10, 20, 30, 200] {
        let mut sent = 0;
        for rank in 0..balancer_count as u64 {
            let rules = BalancerSettings { tier: 1, balancers: balancer_count, ..settings(Idempotent) };
            let mut balancer =
                whinspindle::balancer::Balancer::new(RecordingHost::default(), rules, rank, START);
            let mut entries: Vec<Endpoint> = (0..10).map(|server| endpoint(server, 0)).collect();
            balancer.endpoints_replaced(START, &entries);
            for at in (0..5000).step_by(5 * balancer_count) {
                submit(&mut balancer, START + at * MS, 0);
                end_execution(&mut balancer, START + at * MS, 0, 0, execution_end(Completed, 50 * MS));
            }
            // All other servers drain, so that all queries would go to the restarted one.
            let now = START + 5000 * MS;
            entries.iter_mut().for_each(|entry| entry.state = EndpointState::Draining);
            entries[3] = Endpoint { started_at: now, ..endpoint(3, 0) };
            balancer.endpoints_changed(now, &entries);
            sent +=
                (1..50).filter(|&query| sent_server(&submit(&mut balancer, now, query)).is_some()).count();
        }
        assert!((1..=24).contains(&sent), "{balancer_count}: {sent}");
    }
}

/// Balancers that have just started know only the settings, all servers but one drain, and clients retry at
/// once. The sum over all balancers may exceed the budget of 24 by two standard deviations plus 2.
#[test]
fn slow_start_budget_holds_for_restarted_balancers() {
    let max = 24.0 + 2.0 * 24.0_f64.sqrt() + 2.0;
    for balancer_count in [1, 3, 20, 30, 200_u64] {
        // The ten servers serve 200 queries per second. Each balancer gets an even share, or the first one a
        // third.
        for (is_uneven, attempts) in [(false, 1), (true, 1), (false, 3)] {
            let mut sent = 0;
            for rank in 0..balancer_count {
                let rules =
                    BalancerSettings { tier: 1, balancers: balancer_count as usize, ..settings(Idempotent) };
                let mut balancer =
                    whinspindle::balancer::Balancer::new(RecordingHost::default(), rules, rank, START);
                let mut entries: Vec<Endpoint> = (0..10).map(|server| endpoint(server, 0)).collect();
                entries.iter_mut().for_each(|entry| entry.state = EndpointState::Draining);
                entries[3] = Endpoint { started_at: START, ..endpoint(3, 0) };
                balancer.endpoints_replaced(START, &entries);
                let part = if is_uneven && rank == 0 { balancer_count.div_ceil(3) } else { 1 };
                let gap = 5000 * balancer_count / attempts / part;
                let queries = 2_000_000 / gap;
                let at = |query: u64| START + gap * rank / balancer_count + gap * query;
                sent += (0..queries)
                    .filter(|&query| sent_server(&submit(&mut balancer, at(query), query as usize)).is_some())
                    .count();
            }
            assert!((sent as f64) <= max, "{balancer_count} {is_uneven} {attempts}: {sent}");
        }
    }
}

#[test]
fn query_is_retried_when_its_server_is_silent() {
    // A query that is deduplicated within a cell must not be retried in another cell.
    let (near, far, none) = (vec![endpoint(1, 0)], vec![endpoint(1, 1)], vec![]);
    let within_cell = Deduplicated(ServerScope::Cell);
    for (effect, allow_hedging, allow_cancel, others, calls) in [
        (Idempotent, false, true, &near, vec!["cancel 0.0"]),
        (Idempotent, true, true, &near, vec!["execute 0 on 1"]),
        (Idempotent, false, false, &near, vec![]),
        (Idempotent, false, true, &none, vec![]),
        (within_cell, false, true, &near, vec!["cancel 0.0"]),
        (within_cell, false, true, &far, vec![]),
        (within_cell, false, true, &none, vec![]),
    ] {
        let mut balancer = start_balancer(
            BalancerSettings { allow_hedging, allow_cancel, ..settings(effect) },
            &[endpoint(0, 0)],
        );
        submit(&mut balancer, START, 0);
        balancer.endpoints_changed(START, others);
        balancer.timer_fired(START + 1000 * MS, 2);
        assert_eq!(std::mem::take(&mut balancer.host.calls), calls);
        // The cancellation does not count as another failure, and the query is retried on the other server.
        if calls.is_empty() {
            // Without a retry, a late answer is still returned to the client within the deadline.
            assert!(
                end_execution(&mut balancer, START + 1005 * MS, 0, 0, execution_end(Completed, 1005 * MS))
                    .is_empty()
            );
            continue;
        }
        let retry_calls = end_execution(
            &mut balancer,
            START + 1005 * MS,
            0,
            0,
            execution_end(Outcome::Cancelled, 1005 * MS),
        );
        assert_eq!(sent_server(&retry_calls), (!allow_hedging).then_some(1));
    }
}
