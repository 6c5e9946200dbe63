//! A table of routes that the proof accepts or refuses, with the check that refuses them. Limits are tested
//! to the microsecond.

mod common;

use common::{MS, S, conditions, deployment_limits, order_product};
use whinspindle::host::{Effect, ServerScope};
use whinspindle_routes::proof::{ALL_CHECKS, Check, prove, run_check, worst_schedule};
use whinspindle_routes::{
    Conditions, DeploymentLimits, HedgePolicy, ProductSettings, RetryOn, ServerSelection,
};

type Change = fn(&mut Conditions, &mut ProductSettings, &mut DeploymentLimits);

/// The name of each case, the only check that refuses it (or none), and its change of the valid route.
const CASES: &[(&str, Option<Check>, Change)] = &[
    ("unchanged", None, |_, _, _| {}),
    ("time-out up to the last tick", None, |c, _, _| c.timeout_us = 3 * S - 5 * MS),
    ("time-out a microsecond longer", Some(Check::AnswerTimeout), |c, _, _| {
        c.timeout_us = 3 * S - 5 * MS + 1
    }),
    ("execution as long as its request", None, |c, _, _| {
        (c.execution_timeout_us, c.max_executions, c.retry_on) = (2 * S, 1, RetryOn::NONE);
    }),
    ("execution a microsecond longer", Some(Check::ExecutionTimeout), |c, _, _| {
        (c.execution_timeout_us, c.max_executions, c.retry_on) = (2 * S + 1, 1, RetryOn::NONE);
    }),
    ("as many executions as allowed", None, |c, _, _| {
        (c.max_executions, c.execution_timeout_us) = (4, 300 * MS)
    }),
    ("one execution more", Some(Check::ExecutionCount), |c, _, _| {
        (c.max_executions, c.execution_timeout_us) = (5, 300 * MS)
    }),
    ("non-idempotent, retried only if it never ran", None, |c, p, _| {
        p.effect = Effect::NonIdempotent;
        c.retry_on = RetryOn { never_ran: true, ..RetryOn::NONE };
    }),
    ("non-idempotent, retried after an error", Some(Check::NonIdempotent), |c, p, _| {
        p.effect = Effect::NonIdempotent;
        c.retry_on = RetryOn { error: true, ..RetryOn::NONE };
    }),
    ("non-idempotent, retried after a broken connection", Some(Check::NonIdempotent), |c, p, _| {
        p.effect = Effect::NonIdempotent;
        c.retry_on = RetryOn { broken: true, ..RetryOn::NONE };
    }),
    ("non-idempotent and hedged", Some(Check::NonIdempotent), |c, p, l| {
        p.effect = Effect::NonIdempotent;
        c.retry_on = RetryOn { never_ran: true, ..RetryOn::NONE };
        c.hedge = HedgePolicy::Quantile(0.95);
        l.allow_hedging = true;
    }),
    // The executions are sent at 0, 540 and 1080 ms. With 250 ms to connect and 50 ms in the network the last
    // arrives by 1380 ms.
    ("remembered a microsecond longer than needed", None, |_, p, _| p.deduplication_us = 1_380 * MS + 1),
    ("forgotten at the last arrival", Some(Check::DeduplicationSpan), |_, p, _| {
        p.deduplication_us = 1_380 * MS
    }),
    ("forgotten, without retries", None, |c, p, _| {
        p.deduplication_us = 1;
        (c.max_executions, c.retry_on) = (1, RetryOn::NONE);
    }),
    ("forgotten, but retried only if it never ran", None, |c, p, _| {
        p.deduplication_us = 1;
        c.retry_on = RetryOn { never_ran: true, ..RetryOn::NONE };
    }),
    ("retry delays longer than the deduplication", Some(Check::DeduplicationSpan), |c, p, _| {
        (p.deduplication_us, c.retry_delay_us) = (1_500 * MS, 100 * MS);
    }),
    ("deduplicated and retried in the zone", None, |c, p, _| {
        p.effect = Effect::Deduplicated(ServerScope::Zone);
        c.servers = ServerSelection { retries_in_zone: true, ..ServerSelection::default() };
    }),
    ("deduplicated in the zone, retried anywhere", Some(Check::DeduplicationScope), |_, p, _| {
        p.effect = Effect::Deduplicated(ServerScope::Zone);
    }),
    ("deduplicated in the pod, retried in the zone", Some(Check::DeduplicationScope), |c, p, _| {
        p.effect = Effect::Deduplicated(ServerScope::Cell);
        c.servers = ServerSelection { retries_in_zone: true, ..ServerSelection::default() };
    }),
    ("deduplicated and retried in the pod", None, |c, p, _| {
        p.effect = Effect::Deduplicated(ServerScope::Cell);
        c.servers = ServerSelection { retries_in_pod: true, ..ServerSelection::default() };
    }),
    ("hedged, which is not allowed", Some(Check::Overlap), |c, _, _| {
        c.hedge = HedgePolicy::After(100 * MS);
    }),
    ("hedged, which is allowed", None, |c, _, l| {
        (c.hedge, l.allow_hedging) = (HedgePolicy::After(100 * MS), true);
    }),
    ("retried after a time-out without cancellation", Some(Check::Overlap), |_, _, l| l.can_cancel = false),
    ("largest body", None, |c, _, _| c.max_body_bytes = 64 * 1024),
    ("body a byte larger", Some(Check::BodySize), |c, _, _| c.max_body_bytes = 64 * 1024 + 1),
    ("retries without an execution for them", Some(Check::Feasibility), |c, _, _| c.max_executions = 1),
    ("executions without time for them", Some(Check::Feasibility), |c, _, _| c.timeout_us = 1_000 * MS),
];

fn case(change: Change) -> (Conditions, ProductSettings, DeploymentLimits) {
    let (mut c, mut p, mut l) = (conditions(), order_product(), deployment_limits());
    change(&mut c, &mut p, &mut l);
    (c, p, l)
}

#[test]
fn each_invalid_route_is_refused_by_one_check() {
    for (name, expected, change) in CASES {
        let (c, p, l) = case(*change);
        let refusals = prove(&c, &p, &l);
        let checks: Vec<Check> = refusals.iter().map(|refusal| refusal.check).collect();
        assert_eq!(checks, expected.iter().copied().collect::<Vec<_>>(), "{name}: {refusals:?}");
        assert!(refusals.iter().all(|refusal| !refusal.hint.is_empty()), "{name}");
    }
}

#[test]
fn each_check_is_needed_to_refuse_some_route() {
    for omitted in ALL_CHECKS {
        let passes = CASES.iter().any(|(_, expected, change)| {
            let (c, p, l) = case(*change);
            let others = ALL_CHECKS.iter().filter(|check| **check != omitted);
            expected.is_some() && others.flat_map(|&check| run_check(check, &c, &p, &l)).next().is_none()
        });
        assert!(passes, "{omitted:?} refuses no route that the other checks accept");
    }
}

#[test]
fn worst_schedule_adds_up_all_delays() {
    let schedule = worst_schedule(&conditions(), &deployment_limits());
    assert_eq!(schedule.send_times_us, [0, 540 * MS, 1_080 * MS]);
    assert_eq!(schedule.last_arrival_us, 1_380 * MS);
    assert_eq!(schedule.last_end_us, 1_585 * MS);
    assert_eq!(schedule.answer_us, 2_005 * MS);
}

#[test]
fn suggested_value_is_the_largest_that_passes() {
    let (c, p) = (conditions(), ProductSettings { deduplication_us: 1_200 * MS, ..order_product() });
    let refusal = prove(&c, &p, &deployment_limits()).remove(0);
    assert_eq!(refusal.hint, "at most 409.999 ms with 3 executions");
    for (execution_timeout_us, passes) in [(409_999, true), (410_000, false)] {
        let changed = Conditions { execution_timeout_us, ..c.clone() };
        assert_eq!(prove(&changed, &p, &deployment_limits()).is_empty(), passes, "{execution_timeout_us}");
    }
}
