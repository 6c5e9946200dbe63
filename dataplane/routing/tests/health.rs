//! Outlier ejection, shared failures, and rejections where no instance has capacity.

mod common;

use common::*;
use whinspindle_configuration::{Route, RouteKind};
use whinspindle_routing::{Choice, Outcome, Rejection, RejectionReason, Router};

fn plain(instances: Vec<whinspindle_distribution::Instance>) -> Router {
    router(1, route("r", RouteKind::Unsafe), instances)
}

/// Makes attempts until the instance had `count`, which end with `outcome`; those at other instances are served.
fn end_at(router: &mut Router, now: u64, id: &str, outcome: Outcome, count: u32) {
    let mut ended = 0;
    while ended < count {
        let (attempt, key) = send(router, now, &facts()).expect("an instance");
        let hit = router.target(key).expect("a known instance").id == id;
        router.finish_attempt(now, attempt, if hit { outcome } else { Outcome::Served });
        ended += u32::from(hit);
    }
}

fn gets_any(router: &mut Router, now: u64, id: &str) -> bool {
    (0..200).any(|_| served_by(router, now, &facts()).as_deref() == Some(id))
}

#[test]
fn an_instance_is_ejected_after_two_consecutive_failures_and_comes_back() {
    for outcome in [Outcome::ConnectFailed, Outcome::ConnectionBroken, Outcome::Failed] {
        let mut router = plain(spread([4, 0, 0]));
        end_at(&mut router, 100, "i2", outcome, 2);
        assert!(!gets_any(&mut router, 101, "i2"), "{outcome:?}");
        assert!(gets_any(&mut router, 500, "i2"), "{outcome:?}");
    }
}

#[test]
fn an_answer_between_two_failures_resets_the_count() {
    let mut router = plain(spread([4, 0, 0]));
    end_at(&mut router, 100, "i2", Outcome::ConnectFailed, 1);
    end_at(&mut router, 100, "i2", Outcome::Served, 1);
    end_at(&mut router, 100, "i2", Outcome::ConnectFailed, 1);
    assert!(gets_any(&mut router, 101, "i2"));
}

#[test]
fn an_ejection_doubles_while_the_probe_after_it_fails() {
    let mut router = plain(spread([4, 0, 0]));
    end_at(&mut router, 0, "i2", Outcome::ConnectFailed, 2);
    end_at(&mut router, 300, "i2", Outcome::ConnectFailed, 1);
    assert!(!gets_any(&mut router, 700, "i2"));
    assert!(gets_any(&mut router, 900, "i2"));
}

#[test]
fn a_probe_is_one_attempt() {
    let mut router = plain(spread([4, 0, 0]));
    end_at(&mut router, 0, "i2", Outcome::ConnectFailed, 2);
    let trial = loop {
        let (attempt, key) = send(&mut router, 400, &facts()).expect("an instance");
        if router.target(key).expect("a known instance").id == "i2" {
            break attempt;
        }
        router.finish_attempt(400, attempt, Outcome::Served);
    };
    assert!(!gets_any(&mut router, 401, "i2"));
    router.finish_attempt(410, trial, Outcome::Served);
    assert!(gets_any(&mut router, 411, "i2"));
}

#[test]
fn some_instances_stay_in_use_whatever_fails() {
    let mut router = plain(spread([4, 0, 0]));
    for _ in 0..100 {
        let (attempt, _) = send(&mut router, 0, &facts()).expect("an instance");
        router.finish_attempt(0, attempt, Outcome::ConnectionBroken);
    }
    assert!(send(&mut router, 1, &facts()).is_some());
}

#[test]
fn requests_that_clients_cancel_early_are_no_failures() {
    let mut router = plain(spread([4, 0, 0]));
    end_at(&mut router, 100, "i2", Outcome::Cancelled, 20);
    assert!(gets_any(&mut router, 101, "i2"));
}

#[test]
fn an_instance_beyond_the_silence_limit_is_ejected_while_its_attempts_are_open() {
    let mut router = plain(spread([4, 0, 0]));
    let mut out = 0;
    for now in 0..400 {
        let (attempt, key) = send(&mut router, now, &facts()).expect("an instance");
        if router.target(key).expect("a known instance").id == "i2" && out < 2 {
            out += 1;
        } else {
            router.finish_attempt(now, attempt, Outcome::Served);
        }
    }
    router.tick(3_000);
    assert!(!gets_any(&mut router, 3_001, "i2"));
}

#[test]
fn an_instance_that_rejects_requests_is_not_ejected() {
    let mut router = plain(spread([4, 0, 0]));
    end_at(&mut router, 1_000, "i2", Outcome::Rejected, 20);
    assert!(gets_any(&mut router, 1_001, "i2"));
}

/// Ends the attempts of one request as rejected by their upstreams until the router rejects the request itself. Returns
/// the number of attempts, each at another instance, and the rejection.
fn reject_everywhere(router: &mut Router, now: u64) -> (usize, Rejection) {
    let mut tried = Vec::new();
    loop {
        match router.choose(now, &facts(), &tried) {
            Choice::Forward { attempt, instance } => {
                assert!(
                    !tried.contains(&instance),
                    "an instance that rejected the request is not asked again"
                );
                tried.push(instance);
                router.finish_attempt(now, attempt, Outcome::Rejected);
            }
            Choice::Reject(rejected) => return (tried.len(), rejected),
        }
    }
}

#[test]
fn a_request_that_all_instances_rejected_is_rejected_and_the_next_one_is_forwarded() {
    let mut router = plain(spread([2, 2, 0]));
    let (sends, rejected) = reject_everywhere(&mut router, 1_000);
    assert_eq!((sends, rejected.reason), (4, RejectionReason::NoUpstream));
    assert!(rejected.retry_after_ms < facts().time_left_ms / 3);
    assert!(send(&mut router, 1_000, &facts()).is_some());
}

#[test]
fn requests_leave_a_region_that_rejects_them() {
    let mut router = plain(spread([1, 1, 0]));
    let (attempt, first) = send(&mut router, 1_000, &facts()).expect("an instance");
    router.finish_attempt(1_000, attempt, Outcome::Rejected);
    let Choice::Forward { instance, .. } = router.choose(1_000, &facts(), &[first]) else {
        panic!("the other region has room")
    };
    assert_ne!(router.target(instance).unwrap().region, router.target(first).unwrap().region);
}

#[test]
fn the_attempts_of_this_balancer_alone_can_fill_an_instance() {
    let mut router = plain(spread([1, 0, 0]));
    let slots = instance(1, "za").slots;
    let sent = (0..200).take_while(|_| send(&mut router, 0, &facts()).is_some()).count();
    assert!(sent >= slots as usize, "never rejected while there is capacity: {sent}");
    assert!(sent <= 2 * slots as usize, "{sent}");
    assert_eq!(rejection(router.choose(0, &facts(), &[])).reason, RejectionReason::Full);
}

#[test]
fn without_any_instance_the_request_is_rejected_at_once() {
    let mut router = plain(vec![]);
    let rejected = rejection(router.choose(0, &facts(), &[]));
    assert_eq!(rejected.reason, RejectionReason::NoUpstream);
    assert!(rejected.retry_after_ms < facts().time_left_ms / 3);
}

/// Two consecutive failures, then failed probes after each ejection until the given time. Returns the times of attempts.
fn fail_until(router: &mut Router, until: u64) -> Vec<u64> {
    let mut sent = Vec::new();
    for now in 1..until {
        router.tick(now);
        if let Some((attempt, _)) = send(router, now, &facts()) {
            sent.push(now);
            router.finish_attempt(now, attempt, Outcome::ConnectFailed);
        }
    }
    sent
}

/// A route with home region a, and enough healthy instances elsewhere that those of a may be ejected.
fn bound_to_a() -> Router {
    let route = Route { home_regions: vec!["a".to_owned()], ..route("r", RouteKind::Safe) };
    router(1, route, spread([1, 4, 0]))
}

#[test]
fn where_all_are_down_a_request_is_rejected_at_once_and_for_long() {
    let mut router = bound_to_a();
    let sent = fail_until(&mut router, 3_000);
    assert!(sent.iter().filter(|&&at| at > 700).count() <= 3, "{sent:?}");
    let rejected = rejection(router.choose(3_000, &facts(), &[]));
    assert_eq!(rejected.reason, RejectionReason::NoUpstream);
    assert!((1_500..=facts().time_left_ms / 3).contains(&rejected.retry_after_ms), "{rejected:?}");
}

#[test]
fn an_instance_that_was_down_serves_again_after_one_probe() {
    let mut router = bound_to_a();
    fail_until(&mut router, 3_000);
    let back = (3_000..9_000).find(|&now| served_by(&mut router, now, &facts()).is_some()).expect("a probe");
    assert!((back + 1..back + 50).all(|now| served_by(&mut router, now, &facts()).is_some()));
}

fn report_failing(router: &mut Router, now: u64, failing: &[&str]) {
    let failing = failing.iter().map(|id| (*id).to_owned()).collect();
    router.set_fleet(now, &whinspindle_distribution::Fleet { failing, ..fleet(6, vec![]) });
}

#[test]
fn an_instance_that_fails_others_is_avoided_while_they_report_it() {
    let mut router = plain(spread([4, 0, 0]));
    assert!(gets_any(&mut router, 0, "i2"));
    report_failing(&mut router, 0, &["i2"]);
    assert!(!gets_any(&mut router, 1, "i2"));
    assert!(!gets_any(&mut router, 20_000, "i2"));
    report_failing(&mut router, 20_000, &[]);
    assert!(gets_any(&mut router, 24_001, "i2"), "every balancer is back after four seconds");
}

#[test]
fn reported_failures_expire_without_updates_of_the_fleet() {
    let mut router = plain(spread([4, 0, 0]));
    report_failing(&mut router, 0, &["i2"]);
    report_failing(&mut router, 20_000, &["i2"]);
    assert!(!gets_any(&mut router, 49_000, "i2"));
    assert!(gets_any(&mut router, 50_001, "i2"));
}

#[test]
fn balancers_return_one_after_the_other() {
    let moments = (0..20).map(|seed| {
        let mut router = router(seed, route("r", RouteKind::Unsafe), spread([4, 0, 0]));
        report_failing(&mut router, 0, &["i2"]);
        report_failing(&mut router, 0, &[]);
        (0..41).map(|step| step * 100).find(|&now| gets_any(&mut router, now, "i2")).expect("it is back")
    });
    let moments: std::collections::BTreeSet<u64> = moments.collect();
    assert!(moments.len() > 10, "{moments:?}");
}

#[test]
fn where_all_are_reported_failing_they_are_used() {
    let mut router = plain(spread([2, 0, 0]));
    report_failing(&mut router, 0, &["i1", "i2"]);
    assert!(send(&mut router, 1, &facts()).is_some());
}

#[test]
fn failures_are_reported_for_four_seconds_and_answers_do_not_end_them() {
    let mut router = plain(spread([4, 0, 0]));
    end_at(&mut router, 0, "i2", Outcome::Failed, 1);
    end_at(&mut router, 100, "i2", Outcome::Served, 1);
    end_at(&mut router, 200, "i2", Outcome::Failed, 1);
    end_at(&mut router, 200, "i3", Outcome::ConnectionBroken, 1);
    let reported: Vec<_> =
        router.failing_instances(4_100).into_iter().map(|seen| (seen.id, seen.failures)).collect();
    assert_eq!(reported, [("i2".to_owned(), 2)], "a connection that broke may be the network's");
    assert!(router.failing_instances(4_201).is_empty());
}
