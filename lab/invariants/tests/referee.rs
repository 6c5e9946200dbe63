//! Planted offenders are caught, each for the rule that it breaks, and a correct balancer is never accused.

use std::collections::BTreeSet;

use whinspindle_lab_invariants::*;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

const READ: usize = 0;
const ORDER: usize = 1;
const PAY: usize = 2;
const POD: usize = 3;

fn demands(allow_hedging: bool) -> Demands {
    Demands {
        products: vec![
            Repeats::Harmless,
            Repeats::Dropped(Scope::Everywhere, 5 * S),
            Repeats::Never,
            Repeats::Dropped(Scope::Pod, 5 * S),
        ],
        executions: 3,
        allow_hedging,
        slack: 20 * MS,
        grace: 300 * MS,
        cold_lasts: 8 * S,
        tip_after: 3 * S,
    }
}

/// Two balancers that know three servers: 0 and 1 of one pod, 2 of another.
fn referee(allow_hedging: bool) -> Referee {
    let mut referee = Referee::new(demands(allow_hedging));
    for balancer in 0..2 {
        for (server, pod) in [(0, 0), (1, 0), (2, 1)] {
            referee.told(0, balancer, server, Listed::Ready, pod, pod);
        }
    }
    referee
}

type Play = fn(&mut Referee);

/// A query that goes as it should: sent, run, answered.
fn serve(r: &mut Referee, at: u64, id: u64, product: usize, server: usize) {
    r.taken(at, 0, id, product, at + 3 * S);
    r.sent(at, id, server, 20.0);
    r.ran(at + 20 * MS, server, id);
    r.ended(at + 20 * MS, id, 0, true);
    r.answered(at + 20 * MS, id, Final::Completed);
}

#[test]
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn planted_offenders_are_caught_and_nobody_else() {
    let cases: &[(&str, Option<u8>, Play)] = &[
        ("a query served", None, |r| serve(r, S, 1, PAY, 0)),
        ("told to end, and killed with nothing in hand", None, |r| {
            serve(r, S, 1, PAY, 0);
            r.time_is_up(2 * S, 0);
        }),
        ("told to end, and killed with a query in hand", Some(1), |r| {
            r.taken(S, 0, 1, PAY, 4 * S);
            r.time_is_up(2 * S, 0);
            r.balancer_ended(2 * S, 0);
        }),
        ("rejected at once", None, |r| {
            r.taken(S, 0, 1, PAY, 4 * S);
            r.answered(S, 1, Final::Rejected);
        }),
        ("sent elsewhere after it surely never ran", None, |r| {
            r.taken(S, 0, 1, PAY, 4 * S);
            r.sent(S, 1, 0, 20.0);
            r.ended(S + MS, 1, 0, false);
            r.sent(S + MS, 1, 2, 20.0);
            r.ran(S + 5 * MS, 2, 1);
            r.ended(S + 5 * MS, 1, 1, true);
            r.answered(S + 5 * MS, 1, Final::Completed);
        }),
        ("a repeat that the servers drop", None, |r| {
            r.taken(S, 0, 1, ORDER, 9 * S);
            r.sent(S, 1, 0, 20.0);
            r.ended(2 * S, 1, 0, true);
            r.sent(2 * S, 1, 2, 20.0);
            r.ran(2 * S, 0, 1);
            r.ran(2 * S, 2, 1);
            r.ended(2 * S, 1, 1, true);
            r.answered(2 * S, 1, Final::Completed);
        }),
        ("the client leaves, nothing is owed", None, |r| {
            r.taken(S, 0, 1, PAY, 4 * S);
            r.sent(S, 1, 0, 20.0);
            r.left(2 * S, 1);
            r.ended(2 * S, 1, 0, true);
        }),
        ("a killed balancer owes nothing", None, |r| {
            r.taken(S, 0, 1, PAY, 4 * S);
            r.balancer_ended(2 * S, 0);
        }),
        ("a send within the grace", None, |r| {
            r.told(S, 0, 0, Listed::Draining, 0, 0);
            serve(r, S + 300 * MS, 1, READ, 0);
        }),
        ("another balancer has not been told", None, |r| {
            r.told(S, 1, 0, Listed::Draining, 0, 0);
            serve(r, 2 * S, 1, READ, 0);
        }),
        ("ready again after a drain", None, |r| {
            r.told(S, 0, 0, Listed::Draining, 0, 0);
            r.told(2 * S, 0, 0, Listed::Ready, 0, 0);
            serve(r, 3 * S, 1, READ, 0);
        }),
        ("an aborted query that may have run", None, |r| {
            r.taken(S, 0, 1, PAY, 4 * S);
            r.sent(S, 1, 0, 20.0);
            r.ended(2 * S, 1, 0, true);
            r.answered(2 * S, 1, Final::Aborted);
        }),
        ("a stopped balancer has as much more time", None, |r| {
            r.taken(S, 0, 1, PAY, 2 * S);
            r.halted(S, 0);
            r.taken(5 * S, 1, 2, PAY, 8 * S);
            r.answered(5 * S, 2, Final::Rejected);
            r.resumed(6 * S, 0);
            r.answered(7 * S, 1, Final::Rejected);
        }),
        ("a stopped balancer forgets a query", Some(1), |r| {
            r.taken(S, 0, 1, PAY, 2 * S);
            r.halted(S, 0);
            r.resumed(6 * S, 0);
            r.answered(7 * S + 21 * MS, 1, Final::Rejected);
        }),
        ("forgets a query", Some(1), |r| r.taken(S, 0, 1, PAY, 4 * S)),
        ("answers late", Some(1), |r| {
            r.taken(S, 0, 1, PAY, 4 * S);
            r.answered(4 * S + 20 * MS + 1, 1, Final::Rejected);
        }),
        ("answers twice", Some(1), |r| {
            serve(r, S, 1, PAY, 0);
            r.answered(2 * S, 1, Final::Rejected);
        }),
        ("sends after the answer", Some(1), |r| {
            serve(r, S, 1, READ, 0);
            r.sent(2 * S, 1, 1, 20.0);
        }),
        ("sends after the client has left", Some(1), |r| {
            r.taken(S, 0, 1, READ, 4 * S);
            r.left(2 * S, 1);
            r.sent(2 * S + 1, 1, 0, 20.0);
        }),
        ("makes an answer up", Some(1), |r| {
            r.taken(S, 0, 1, READ, 4 * S);
            r.answered(S, 1, Final::Completed);
        }),
        ("ends by itself with a query open", Some(1), |r| {
            r.taken(S, 0, 1, PAY, 4 * S);
            r.crashed(2 * S, 0);
        }),
        ("sends what nobody asked", Some(1), |r| r.sent(S, 77, 0, 20.0)),
        ("resends a non-idempotent query", Some(2), |r| {
            r.taken(S, 0, 1, PAY, 4 * S);
            r.sent(S, 1, 0, 20.0);
            r.ended(S + MS, 1, 0, true);
            r.sent(S + MS, 1, 1, 20.0);
            r.answered(S + MS, 1, Final::Aborted);
        }),
        ("rejects what may have run", Some(2), |r| {
            r.taken(S, 0, 1, PAY, 4 * S);
            r.sent(S, 1, 0, 20.0);
            r.ended(S + MS, 1, 0, true);
            r.answered(S + MS, 1, Final::Rejected);
        }),
        ("rejects while an execution is out", Some(2), |r| {
            r.taken(S, 0, 1, POD, 4 * S);
            r.sent(S, 1, 0, 20.0);
            r.answered(S + MS, 1, Final::Rejected);
        }),
        ("repeats in another pod", Some(2), |r| {
            r.taken(S, 0, 1, POD, 4 * S);
            r.sent(S, 1, 0, 20.0);
            r.ended(S + MS, 1, 0, true);
            r.sent(S + MS, 1, 2, 20.0);
            r.answered(S + MS, 1, Final::Aborted);
        }),
        ("repeats after the servers forget", Some(2), |r| {
            r.taken(S, 0, 1, ORDER, 9 * S);
            r.sent(S, 1, 0, 20.0);
            r.ended(2 * S, 1, 0, true);
            r.sent(6 * S, 1, 1, 20.0);
            r.answered(6 * S, 1, Final::Aborted);
        }),
        ("overlaps executions", Some(2), |r| {
            r.taken(S, 0, 1, READ, 4 * S);
            r.sent(S, 1, 0, 20.0);
            r.sent(S + MS, 1, 1, 20.0);
            r.answered(S + 2 * MS, 1, Final::Aborted);
        }),
        ("executes a fourth time", Some(2), |r| {
            r.taken(S, 0, 1, READ, 4 * S);
            for n in 0..4 {
                r.sent(S + n * MS, 1, 0, 20.0);
                r.ended(S + n * MS, 1, n as usize, false);
            }
            r.answered(2 * S, 1, Final::Rejected);
        }),
        ("has an effect twice", Some(2), |r| {
            r.taken(S, 0, 1, PAY, 4 * S);
            r.sent(S, 1, 0, 20.0);
            r.ran(S + MS, 0, 1);
            r.ran(S + 2 * MS, 0, 1);
            r.ended(S + 3 * MS, 1, 0, true);
            r.answered(S + 3 * MS, 1, Final::Completed);
        }),
        ("sends to a drained server after the grace", Some(3), |r| {
            r.told(S, 0, 0, Listed::Draining, 0, 0);
            serve(r, S + 301 * MS, 1, READ, 0);
        }),
        ("a drain told twice counts from the first", Some(3), |r| {
            r.told(S, 0, 0, Listed::Draining, 0, 0);
            r.told(S + 290 * MS, 0, 0, Listed::Gone, 0, 0);
            serve(r, S + 301 * MS, 1, READ, 0);
        }),
        ("sends to one that a whole list lacks", Some(3), |r| {
            r.told_whole(S, 0, &BTreeSet::from([1, 2]));
            serve(r, S + 301 * MS, 1, READ, 0);
        }),
        ("sends to one that was never listed", Some(3), |r| serve(r, S, 1, READ, 9)),
        ("sends to one that is gone for minutes", Some(3), |r| {
            r.told(S, 0, 0, Listed::Gone, 0, 0);
            r.told(90 * S, 0, 1, Listed::Draining, 0, 0);
            serve(r, 91 * S, 1, READ, 0);
        }),
        ("floods a cold server", Some(4), |r| {
            r.started(S, 0);
            r.told(S, 0, 0, Listed::Ready, 0, 0);
            for n in 0..9 {
                serve(r, S + n * 30 * MS, n, READ, 0);
            }
            r.fell(2 * S, 0);
        }),
        ("floods one of whose start it was not told", None, |r| {
            r.started(S, 0);
            for n in 0..9 {
                serve(r, S + n * 30 * MS, n, READ, 0);
            }
            r.fell(2 * S, 0);
        }),
    ];
    for (name, rule, play) in cases {
        let mut referee = referee(false);
        play(&mut referee);
        let verdict = referee.finish(100 * S);
        let broken: Vec<u8> = (1..=4).filter(|rule| verdict.broken[usize::from(*rule) - 1] > 0).collect();
        assert_eq!(broken, rule.iter().copied().collect::<Vec<_>>(), "{name}: {:?}", verdict.breaks);
    }
}

#[test]
fn second_copies_are_right_where_they_are_allowed() {
    let mut r = referee(true);
    r.taken(S, 0, 1, READ, 4 * S);
    r.sent(S, 1, 0, 20.0);
    r.sent(S + MS, 1, 1, 20.0);
    r.ran(S + 9 * MS, 0, 1);
    r.ended(S + 9 * MS, 1, 0, true);
    r.answered(S + 9 * MS, 1, Final::Completed);
    r.ended(S + 9 * MS, 1, 1, true);
    let verdict = r.finish(100 * S);
    assert!(verdict.is_clean() && verdict.looked[1] > 0, "{verdict:?}");
}

#[test]
fn what_is_over_is_forgotten() {
    let mut r = referee(false);
    for n in 0..10_000 {
        serve(&mut r, n * 10 * MS, n, READ, 0);
    }
    // A late word on a query of a hundred seconds ago is a word on one that nobody knows.
    r.sent(100 * S, 1, 0, 20.0);
    let verdict = r.finish(200 * S);
    assert_eq!(verdict.breaks[0].what, "sent for a query that nobody asked");
}
