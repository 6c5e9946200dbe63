//! Retry decisions: a table of cases, and properties that hold for any sequence of attempts.

use quickcheck::{Arbitrary, Gen, quickcheck};
use whinspindle_proxy::retry::{
    AttemptEnd, AttemptHistory, Decision, ProxyFailure, RetryPolicy, deadline_failure, decide, final_failure,
    may_run_again,
};

const ONCE: RetryPolicy = RetryPolicy { idempotent: false, max_runs: 3 };
const TWICE: RetryPolicy = RetryPolicy { idempotent: true, max_runs: 2 };
const IDEMPOTENT_ONCE: RetryPolicy = RetryPolicy { idempotent: true, max_runs: 1 };
const REJECTED: Decision = Decision::GiveUp(ProxyFailure::Rejected);
const BAD_GATEWAY: Decision = Decision::GiveUp(ProxyFailure::BadGateway);

fn after(policy: RetryPolicy, ends: &[AttemptEnd]) -> Decision {
    let mut history = AttemptHistory::default();
    ends.iter().for_each(|&end| history.record(end));
    decide(policy, history, *ends.last().expect("a send"))
}

#[test]
fn the_decision_after_each_end_of_an_attempt() {
    use AttemptEnd::{Broken, Failed, Misdirected, NotSent, Rejected};
    let cases: &[(RetryPolicy, &[AttemptEnd], Decision)] = &[
        // The request has not run, so another upstream may run it.
        (ONCE, &[NotSent], Decision::Retry),
        (ONCE, &[Misdirected], Decision::Retry),
        (ONCE, &[Rejected], Decision::Retry),
        (TWICE, &[NotSent, NotSent, NotSent], Decision::Retry),
        // The limit of each kind of failed attempt.
        (ONCE, &[NotSent, NotSent, NotSent, NotSent], REJECTED),
        (ONCE, &[Misdirected, Misdirected, Misdirected], REJECTED),
        (ONCE, &[Rejected, Rejected], REJECTED),
        (TWICE, &[Rejected, Rejected], REJECTED),
        // The request may have run, so another upstream may run it only if the route allows it.
        (ONCE, &[Broken], BAD_GATEWAY),
        (ONCE, &[Rejected, Broken], BAD_GATEWAY),
        (ONCE, &[Failed], Decision::PassBack),
        (TWICE, &[Broken], Decision::Retry),
        (TWICE, &[Failed], Decision::Retry),
        (TWICE, &[Broken, Broken], BAD_GATEWAY),
        (TWICE, &[Broken, Failed], Decision::PassBack),
        (IDEMPOTENT_ONCE, &[Broken], BAD_GATEWAY),
        (IDEMPOTENT_ONCE, &[Failed], Decision::PassBack),
        // After a possible run, the proxy must not answer that the request has not run.
        (TWICE, &[Broken, Rejected], Decision::Retry),
        (TWICE, &[Broken, Rejected, Rejected], BAD_GATEWAY),
    ];
    for (policy, ends, expected) in cases {
        assert_eq!(after(*policy, ends), *expected, "{policy:?} {ends:?}");
    }
}

#[test]
fn the_failure_after_the_deadline_depends_on_the_runs() {
    let mut history = AttemptHistory::default();
    history.record(AttemptEnd::Rejected);
    history.record(AttemptEnd::NotSent);
    assert_eq!(deadline_failure(history), ProxyFailure::Rejected);
    history.record_run();
    assert_eq!(deadline_failure(history), ProxyFailure::TimedOut);
}

#[derive(Clone, Copy, Debug)]
struct AnyEnd(AttemptEnd);

impl Arbitrary for AnyEnd {
    fn arbitrary(gen_: &mut Gen) -> Self {
        use AttemptEnd::{Broken, Failed, Misdirected, NotSent, Rejected};
        AnyEnd(*gen_.choose(&[NotSent, Misdirected, Rejected, Failed, Broken]).expect("not empty"))
    }
}

quickcheck! {
    /// Simulates attempts until a decision ends the request.
    fn runs_stay_within_what_the_route_allows(ends: Vec<AnyEnd>, idempotent: bool, max_runs: u8) -> bool {
        let policy = RetryPolicy { idempotent, max_runs: u32::from(max_runs).max(1) };
        let allowed = if idempotent { policy.max_runs } else { 1 };
        let mut history = AttemptHistory::default();
        for AnyEnd(end) in ends {
            if !may_run_again(policy, history) {
                return false;
            }
            history.record(end);
            if history.runs > allowed {
                return false;
            }
            match decide(policy, history, end) {
                Decision::Retry => {}
                Decision::PassBack => return end == AttemptEnd::Failed,
                Decision::GiveUp(failure) => return (failure == ProxyFailure::Rejected) == (history.runs == 0),
            }
        }
        (final_failure(history) == ProxyFailure::Rejected) == (history.runs == 0)
    }
}
