//! Outlier ejection, shared failures, and rejections without capacity.

mod common;

use common::*;
use whinspindle_configuration::{Route, RouteKind};
use whinspindle_routing::{Choice, Outcome, Rejection, RejectionReason, Router};

fn new_router(instances: Vec<whinspindle_distribution::Instance>) -> Router {
    router(1, route("r", RouteKind::Unsafe), instances)
}

/// Starts attempts until the instance received `count`. Attempts at that instance end with `outcome`; all
/// others are served.
fn end_attempts_at(router: &mut Router, now: u64, id: &str, outcome: Outcome, count: u32) {
    let mut ended_count = 0;
    while ended_count < count {
        let (attempt, key) = send(router, now, &request_info()).expect("an instance");
        let is_target = router.target(key).expect("a known instance").id == id;
        router.finish_attempt(now, attempt, if is_target { outcome } else { Outcome::Served });
        ended_count += u32::from(is_target);
    }
}

fn receives_any(router: &mut Router, now: u64, id: &str) -> bool {
    (0..200).any(|_| served_by(router, now, &request_info()).as_deref() == Some(id))
}

#[test]
fn two_consecutive_failures_eject_an_instance_for_a_limited_time() {
    for outcome in [Outcome::ConnectFailed, Outcome::ConnectionBroken, Outcome::Failed] {
        let mut router = new_router(instances_by_region([4, 0, 0]));
        end_attempts_at(&mut router, 100, "i2", outcome, 2);
        assert!(!receives_any(&mut router, 101, "i2"), "{outcome:?}");
        assert!(receives_any(&mut router, 500, "i2"), "{outcome:?}");
    }
}

#[test]
fn a_response_between_two_failures_resets_the_count() {
    let mut router = new_router(instances_by_region([4, 0, 0]));
    end_attempts_at(&mut router, 100, "i2", Outcome::ConnectFailed, 1);
    end_attempts_at(&mut router, 100, "i2", Outcome::Served, 1);
    end_attempts_at(&mut router, 100, "i2", Outcome::ConnectFailed, 1);
    assert!(receives_any(&mut router, 101, "i2"));
}

#[test]
fn a_failed_probe_doubles_the_ejection_time() {
    let mut router = new_router(instances_by_region([4, 0, 0]));
    end_attempts_at(&mut router, 0, "i2", Outcome::ConnectFailed, 2);
    end_attempts_at(&mut router, 300, "i2", Outcome::ConnectFailed, 1);
    assert!(!receives_any(&mut router, 700, "i2"));
    assert!(receives_any(&mut router, 900, "i2"));
}

#[test]
fn only_one_attempt_probes_an_ejected_instance() {
    let mut router = new_router(instances_by_region([4, 0, 0]));
    end_attempts_at(&mut router, 0, "i2", Outcome::ConnectFailed, 2);
    let probe = loop {
        let (attempt, key) = send(&mut router, 400, &request_info()).expect("an instance");
        if router.target(key).expect("a known instance").id == "i2" {
            break attempt;
        }
        router.finish_attempt(400, attempt, Outcome::Served);
    };
    assert!(!receives_any(&mut router, 401, "i2"));
    router.finish_attempt(410, probe, Outcome::Served);
    assert!(receives_any(&mut router, 411, "i2"));
}

#[test]
fn not_all_instances_are_ejected() {
    let mut router = new_router(instances_by_region([4, 0, 0]));
    for _ in 0..100 {
        let (attempt, _) = send(&mut router, 0, &request_info()).expect("an instance");
        router.finish_attempt(0, attempt, Outcome::ConnectionBroken);
    }
    assert!(send(&mut router, 1, &request_info()).is_some());
}

#[test]
fn requests_cancelled_early_by_clients_do_not_count_as_failures() {
    let mut router = new_router(instances_by_region([4, 0, 0]));
    end_attempts_at(&mut router, 100, "i2", Outcome::Cancelled, 20);
    assert!(receives_any(&mut router, 101, "i2"));
}

#[test]
fn open_attempts_beyond_the_silence_limit_eject_the_instance() {
    let mut router = new_router(instances_by_region([4, 0, 0]));
    let mut open_count = 0;
    for now in 0..400 {
        let (attempt, key) = send(&mut router, now, &request_info()).expect("an instance");
        if router.target(key).expect("a known instance").id == "i2" && open_count < 2 {
            open_count += 1;
        } else {
            router.finish_attempt(now, attempt, Outcome::Served);
        }
    }
    router.tick(3_000);
    assert!(!receives_any(&mut router, 3_001, "i2"));
}

#[test]
fn an_instance_that_rejects_requests_is_not_ejected() {
    let mut router = new_router(instances_by_region([4, 0, 0]));
    end_attempts_at(&mut router, 1_000, "i2", Outcome::Rejected, 20);
    assert!(receives_any(&mut router, 1_001, "i2"));
}

/// Ends all attempts of one request as rejected by the upstream until the router rejects the request. Returns
/// the number of attempts, each at another instance, and the rejection.
fn reject_everywhere(router: &mut Router, now: u64) -> (usize, Rejection) {
    let mut tried = Vec::new();
    loop {
        match router.choose(now, &request_info(), &tried) {
            Choice::Forward { attempt, instance } => {
                assert!(!tried.contains(&instance), "a retry went to an instance that rejected the request");
                tried.push(instance);
                router.finish_attempt(now, attempt, Outcome::Rejected);
            }
            Choice::Reject(rejection) => return (tried.len(), rejection),
        }
    }
}

#[test]
fn a_request_rejected_by_all_instances_does_not_affect_the_next_request() {
    let mut router = new_router(instances_by_region([2, 2, 0]));
    let (attempts, rejection) = reject_everywhere(&mut router, 1_000);
    assert_eq!((attempts, rejection.reason), (4, RejectionReason::NoUpstream));
    assert!(rejection.retry_after_ms < request_info().time_left_ms / 3);
    assert!(send(&mut router, 1_000, &request_info()).is_some());
}

#[test]
fn a_retry_after_a_rejection_goes_to_another_region() {
    let mut router = new_router(instances_by_region([1, 1, 0]));
    let (attempt, first) = send(&mut router, 1_000, &request_info()).expect("an instance");
    router.finish_attempt(1_000, attempt, Outcome::Rejected);
    let Choice::Forward { instance, .. } = router.choose(1_000, &request_info(), &[first]) else {
        panic!("the other region has capacity")
    };
    assert_ne!(router.target(instance).unwrap().region, router.target(first).unwrap().region);
}

#[test]
fn requests_are_rejected_when_own_attempts_fill_the_instance() {
    let mut router = new_router(instances_by_region([1, 0, 0]));
    let slots = instance(1, "za").slots;
    let sent_count = (0..200).take_while(|_| send(&mut router, 0, &request_info()).is_some()).count();
    assert!(sent_count >= slots as usize, "rejected below capacity: {sent_count}");
    assert!(sent_count <= 2 * slots as usize, "{sent_count}");
    assert_eq!(rejection(router.choose(0, &request_info(), &[])).reason, RejectionReason::Full);
}

#[test]
fn a_request_without_any_instance_is_rejected() {
    let mut router = new_router(vec![]);
    let rejection = rejection(router.choose(0, &request_info(), &[]));
    assert_eq!(rejection.reason, RejectionReason::NoUpstream);
    assert!(rejection.retry_after_ms < request_info().time_left_ms / 3);
}

/// Ends all attempts as failed connects until the given time: two consecutive failures, then a probe after
/// each ejection. Returns the times of the attempts.
fn fail_attempts_until(router: &mut Router, until: u64) -> Vec<u64> {
    let mut sent = Vec::new();
    for now in 1..until {
        router.tick(now);
        if let Some((attempt, _)) = send(router, now, &request_info()) {
            sent.push(now);
            router.finish_attempt(now, attempt, Outcome::ConnectFailed);
        }
    }
    sent
}

/// Creates a router with home region a, and with enough healthy instances in other regions to allow ejections
/// in a.
fn router_with_home_region_a() -> Router {
    let route = Route { home_regions: vec!["a".to_owned()], ..route("r", RouteKind::Safe) };
    router(1, route, instances_by_region([1, 4, 0]))
}

#[test]
fn a_request_is_rejected_with_a_long_retry_after_time_while_all_instances_are_down() {
    let mut router = router_with_home_region_a();
    let sent = fail_attempts_until(&mut router, 3_000);
    assert!(sent.iter().filter(|&&at| at > 700).count() <= 3, "{sent:?}");
    let rejection = rejection(router.choose(3_000, &request_info(), &[]));
    assert_eq!(rejection.reason, RejectionReason::NoUpstream);
    assert!((1_500..=request_info().time_left_ms / 3).contains(&rejection.retry_after_ms), "{rejection:?}");
}

#[test]
fn one_successful_probe_restores_an_instance_that_was_down() {
    let mut router = router_with_home_region_a();
    fail_attempts_until(&mut router, 3_000);
    let served_at =
        (3_000..9_000).find(|&now| served_by(&mut router, now, &request_info()).is_some()).expect("a probe");
    assert!(
        (served_at + 1..served_at + 50).all(|now| served_by(&mut router, now, &request_info()).is_some())
    );
}

fn report_failing(router: &mut Router, now: u64, failing: &[&str]) {
    let failing = failing.iter().map(|id| (*id).to_owned()).collect();
    router.set_fleet(now, &whinspindle_distribution::Fleet { failing, ..fleet(6, vec![]) });
}

#[test]
fn an_instance_is_avoided_while_other_balancers_report_failures() {
    let mut router = new_router(instances_by_region([4, 0, 0]));
    assert!(receives_any(&mut router, 0, "i2"));
    report_failing(&mut router, 0, &["i2"]);
    assert!(!receives_any(&mut router, 1, "i2"));
    assert!(!receives_any(&mut router, 20_000, "i2"));
    report_failing(&mut router, 20_000, &[]);
    assert!(
        receives_any(&mut router, 24_001, "i2"),
        "every balancer uses the instance again after four seconds"
    );
}

#[test]
fn reported_failures_expire_without_fleet_updates() {
    let mut router = new_router(instances_by_region([4, 0, 0]));
    report_failing(&mut router, 0, &["i2"]);
    report_failing(&mut router, 20_000, &["i2"]);
    assert!(!receives_any(&mut router, 49_000, "i2"));
    assert!(receives_any(&mut router, 50_001, "i2"));
}

#[test]
fn balancers_return_to_an_instance_at_different_times() {
    let return_times = (0..20).map(|seed| {
        let mut router = router(seed, route("r", RouteKind::Unsafe), instances_by_region([4, 0, 0]));
        report_failing(&mut router, 0, &["i2"]);
        report_failing(&mut router, 0, &[]);
        (0..41)
            .map(|step| step * 100)
            .find(|&now| receives_any(&mut router, now, "i2"))
            .expect("a return to the instance")
    });
    let return_times: std::collections::BTreeSet<u64> = return_times.collect();
    assert!(return_times.len() > 10, "{return_times:?}");
}

#[test]
fn instances_are_used_if_all_are_reported_as_failing() {
    let mut router = new_router(instances_by_region([2, 0, 0]));
    report_failing(&mut router, 0, &["i1", "i2"]);
    assert!(send(&mut router, 1, &request_info()).is_some());
}

#[test]
fn failures_are_reported_for_four_seconds_despite_later_responses() {
    let mut router = new_router(instances_by_region([4, 0, 0]));
    end_attempts_at(&mut router, 0, "i2", Outcome::Failed, 1);
    end_attempts_at(&mut router, 100, "i2", Outcome::Served, 1);
    end_attempts_at(&mut router, 200, "i2", Outcome::Failed, 1);
    end_attempts_at(&mut router, 200, "i3", Outcome::ConnectionBroken, 1);
    let reported: Vec<_> = router
        .failing_instances(4_100)
        .into_iter()
        .map(|instance| (instance.id, instance.failures))
        .collect();
    assert_eq!(reported, [("i2".to_owned(), 2)], "a broken connection may be a fault of the network");
    assert!(router.failing_instances(4_201).is_empty());
}
