//! What follows a send: the whole table, and what must hold whatever happens to a request.

use quickcheck::{Arbitrary, Gen, quickcheck};
use whinspindle_proxy::retry::{
    History, Next, OwnFailure, Permission, SendEnd, give_up, may_run_again, next, time_is_over,
};

const ONCE: Permission = Permission { repeatable: false, most_runs: 3 };
const TWICE: Permission = Permission { repeatable: true, most_runs: 2 };
const REPEATABLE_ONCE: Permission = Permission { repeatable: true, most_runs: 1 };
const REFUSED: Next = Next::GiveUp(OwnFailure::Refused);
const BAD_GATEWAY: Next = Next::GiveUp(OwnFailure::BadGateway);

fn after(permission: Permission, ends: &[SendEnd]) -> Next {
    let mut history = History::default();
    ends.iter().for_each(|&end| history.note(end));
    next(permission, history, *ends.last().expect("a send"))
}

#[test]
fn the_table_of_what_follows_a_send() {
    use SendEnd::{Broken, Failed, Misdirected, NotSent, Rejected};
    let cases: &[(Permission, &[SendEnd], Next)] = &[
        // Nothing ran: another upstream may.
        (ONCE, &[NotSent], Next::SendAgain),
        (ONCE, &[Misdirected], Next::SendAgain),
        (ONCE, &[Rejected], Next::SendAgain),
        (TWICE, &[NotSent, NotSent, NotSent], Next::SendAgain),
        // Only so often.
        (ONCE, &[NotSent, NotSent, NotSent, NotSent], REFUSED),
        (ONCE, &[Misdirected, Misdirected, Misdirected], REFUSED),
        (ONCE, &[Rejected, Rejected], REFUSED),
        (TWICE, &[Rejected, Rejected], REFUSED),
        // It may have run: no other upstream may, unless the route says so.
        (ONCE, &[Broken], BAD_GATEWAY),
        (ONCE, &[Rejected, Broken], BAD_GATEWAY),
        (ONCE, &[Failed], Next::PassBack),
        (TWICE, &[Broken], Next::SendAgain),
        (TWICE, &[Failed], Next::SendAgain),
        (TWICE, &[Broken, Broken], BAD_GATEWAY),
        (TWICE, &[Broken, Failed], Next::PassBack),
        (REPEATABLE_ONCE, &[Broken], BAD_GATEWAY),
        (REPEATABLE_ONCE, &[Failed], Next::PassBack),
        // A run before rules out the promise that it has not run.
        (TWICE, &[Broken, Rejected], Next::SendAgain),
        (TWICE, &[Broken, Rejected, Rejected], BAD_GATEWAY),
    ];
    for (permission, ends, expected) in cases {
        assert_eq!(after(*permission, ends), *expected, "{permission:?} {ends:?}");
    }
}

#[test]
fn time_that_is_over_promises_only_what_is_known() {
    let mut history = History::default();
    history.note(SendEnd::Rejected);
    history.note(SendEnd::NotSent);
    assert_eq!(time_is_over(history), OwnFailure::Refused);
    history.note_run();
    assert_eq!(time_is_over(history), OwnFailure::TimedOut);
}

#[derive(Clone, Copy, Debug)]
struct AnyEnd(SendEnd);

impl Arbitrary for AnyEnd {
    fn arbitrary(gen_: &mut Gen) -> Self {
        use SendEnd::{Broken, Failed, Misdirected, NotSent, Rejected};
        AnyEnd(*gen_.choose(&[NotSent, Misdirected, Rejected, Failed, Broken]).expect("not empty"))
    }
}

quickcheck! {
    /// Plays sends until the table ends them.
    fn runs_stay_within_what_the_route_allows(ends: Vec<AnyEnd>, repeatable: bool, most_runs: u8) -> bool {
        let permission = Permission { repeatable, most_runs: u32::from(most_runs).max(1) };
        let allowed = if repeatable { permission.most_runs } else { 1 };
        let mut history = History::default();
        for AnyEnd(end) in ends {
            if !may_run_again(permission, history) {
                return false;
            }
            history.note(end);
            if history.runs > allowed {
                return false;
            }
            match next(permission, history, end) {
                Next::SendAgain => {}
                Next::PassBack => return end == SendEnd::Failed,
                Next::GiveUp(failure) => return (failure == OwnFailure::Refused) == (history.runs == 0),
            }
        }
        (give_up(history) == OwnFailure::Refused) == (history.runs == 0)
    }
}
