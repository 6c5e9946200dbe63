//! A table of the routes that the proof refuses, and for which check; bounds are met to the microsecond.

mod common;

use common::{MS, S, bounds, conditions, order};
use whinspindle::host::{Effect, ServerScope};
use whinspindle_routes::proof::{CHECKS, Check, prove, prove_by, worst};
use whinspindle_routes::{Bounds, Conditions, HedgePolicy, ProductRow, RetryOn, Servers};

type Change = fn(&mut Conditions, &mut ProductRow, &mut Bounds);

/// The name of a case, the one check that refuses it (or none), and its change of the valid route.
const CASES: &[(&str, Option<Check>, Change)] = &[
    ("as it is", None, |_, _, _| {}),
    ("time up to the last tick", None, |c, _, _| c.time = 3 * S - 5 * MS),
    ("a microsecond more", Some(Check::AnswerInTime), |c, _, _| c.time = 3 * S - 5 * MS + 1),
    ("an execution as long as its query", None, |c, _, _| {
        (c.execution_time, c.executions, c.retry_on) = (2 * S, 1, RetryOn::NONE);
    }),
    ("a microsecond longer", Some(Check::ExecutionInTime), |c, _, _| {
        (c.execution_time, c.executions, c.retry_on) = (2 * S + 1, 1, RetryOn::NONE);
    }),
    ("as many executions as are allowed", None, |c, _, _| (c.executions, c.execution_time) = (4, 300 * MS)),
    ("one more", Some(Check::Executions), |c, _, _| (c.executions, c.execution_time) = (5, 300 * MS)),
    ("non-idempotent, sent again where it never ran", None, |c, p, _| {
        p.effect = Effect::NonIdempotent;
        c.retry_on = RetryOn { never_ran: true, ..RetryOn::NONE };
    }),
    ("non-idempotent, again after an error", Some(Check::NonIdempotent), |c, p, _| {
        p.effect = Effect::NonIdempotent;
        c.retry_on = RetryOn { error: true, ..RetryOn::NONE };
    }),
    ("non-idempotent, again after a break", Some(Check::NonIdempotent), |c, p, _| {
        p.effect = Effect::NonIdempotent;
        c.retry_on = RetryOn { broken: true, ..RetryOn::NONE };
    }),
    ("non-idempotent, with a second copy", Some(Check::NonIdempotent), |c, p, b| {
        p.effect = Effect::NonIdempotent;
        c.retry_on = RetryOn { never_ran: true, ..RetryOn::NONE };
        c.hedge = HedgePolicy::Quantile(0.95);
        b.allow_hedging = true;
    }),
    // Sends at 0, 540 and 1080 ms; 250 ms to connect and 50 ms on the way: there by 1380 ms.
    ("remembered for a microsecond longer than needed", None, |_, p, _| p.memory_span = 1_380 * MS + 1),
    ("forgotten at that very moment", Some(Check::Memory), |_, p, _| p.memory_span = 1_380 * MS),
    ("forgotten, but nothing is sent again", None, |c, p, _| {
        p.memory_span = 1;
        (c.executions, c.retry_on) = (1, RetryOn::NONE);
    }),
    ("forgotten, but sent again only where it never ran", None, |c, p, _| {
        p.memory_span = 1;
        c.retry_on = RetryOn { never_ran: true, ..RetryOn::NONE };
    }),
    ("waits that grow past the memory", Some(Check::Memory), |c, p, _| {
        (p.memory_span, c.wait) = (1_500 * MS, 100 * MS);
    }),
    ("repeats known in the zone, kept there", None, |c, p, _| {
        p.effect = Effect::Deduplicated(ServerScope::Zone);
        c.servers = Servers { repeats_in_zone: true, ..Servers::default() };
    }),
    ("repeats known in the zone, sent anywhere", Some(Check::Scope), |_, p, _| {
        p.effect = Effect::Deduplicated(ServerScope::Zone);
    }),
    ("repeats known in the pod, kept in the zone", Some(Check::Scope), |c, p, _| {
        p.effect = Effect::Deduplicated(ServerScope::Cell);
        c.servers = Servers { repeats_in_zone: true, ..Servers::default() };
    }),
    ("repeats known in the pod, kept there", None, |c, p, _| {
        p.effect = Effect::Deduplicated(ServerScope::Cell);
        c.servers = Servers { repeats_in_pod: true, ..Servers::default() };
    }),
    ("a second copy where none is allowed", Some(Check::Overlap), |c, _, _| {
        c.hedge = HedgePolicy::After(100 * MS);
    }),
    ("a second copy where it is", None, |c, _, b| {
        (c.hedge, b.allow_hedging) = (HedgePolicy::After(100 * MS), true);
    }),
    ("again after a time-out that can't be called off", Some(Check::Overlap), |_, _, b| b.cancel = false),
    ("the largest body", None, |c, _, _| c.largest_body = 64 * 1024),
    ("a byte more", Some(Check::Body), |c, _, _| c.largest_body = 64 * 1024 + 1),
    ("repeats with no execution for them", Some(Check::Sense), |c, _, _| c.executions = 1),
    ("executions for which there is no time", Some(Check::Sense), |c, _, _| c.time = 1_000 * MS),
];

fn case(change: Change) -> (Conditions, ProductRow, Bounds) {
    let (mut c, mut p, mut b) = (conditions(), order(), bounds());
    change(&mut c, &mut p, &mut b);
    (c, p, b)
}

#[test]
fn each_wrong_route_is_refused_for_its_rule_alone() {
    for (name, expected, change) in CASES {
        let (c, p, b) = case(*change);
        let refusals = prove(&c, &p, &b);
        let checks: Vec<Check> = refusals.iter().map(|refusal| refusal.check).collect();
        assert_eq!(checks, expected.iter().copied().collect::<Vec<_>>(), "{name}: {refusals:?}");
        assert!(refusals.iter().all(|refusal| !refusal.way_out.is_empty()), "{name}");
    }
}

#[test]
fn without_any_one_check_a_wrong_route_passes() {
    for left_out in CHECKS {
        let passes = CASES.iter().any(|(_, expected, change)| {
            let (c, p, b) = case(*change);
            let others = CHECKS.iter().filter(|check| **check != left_out);
            expected.is_some() && others.flat_map(|&check| prove_by(check, &c, &p, &b)).next().is_none()
        });
        assert!(passes, "{left_out:?} refuses nothing that the others let pass");
    }
}

#[test]
fn the_worst_schedule_is_the_sum_of_its_parts() {
    let schedule = worst(&conditions(), &bounds());
    assert_eq!(schedule.sends, [0, 540 * MS, 1_080 * MS]);
    assert_eq!(schedule.last_arrival, 1_380 * MS);
    assert_eq!(schedule.last_end, 1_585 * MS);
    assert_eq!(schedule.answer, 2_005 * MS);
}

#[test]
fn the_suggested_value_passes_and_a_microsecond_more_does_not() {
    let (c, p) = (conditions(), ProductRow { memory_span: 1_200 * MS, ..order() });
    let refusal = prove(&c, &p, &bounds()).remove(0);
    assert_eq!(refusal.way_out, "at most 409.999 ms with 3 executions");
    for (execution_time, passes) in [(409_999, true), (410_000, false)] {
        let tried = Conditions { execution_time, ..c.clone() };
        assert_eq!(prove(&tried, &p, &bounds()).is_empty(), passes, "{execution_time}");
    }
}
