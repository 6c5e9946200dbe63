//! Slow start: the sum over all balancers stays within the limit of an instance in any second.

mod common;

use common::*;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use whinspindle_configuration::{Bounds, RouteKind};
use whinspindle_distribution::Instance;
use whinspindle_routing::{Choice, Outcome, Rejection, RejectionReason, Router, RouterSettings};

/// Maximum number of requests per second to an instance in slow start.
const LIMIT_PER_S: f64 = 9.9;

fn in_slow_start(number: u8, zone: &str, slow_start_ms: u64) -> Instance {
    Instance { slow_start_ms, ..instance(number, zone) }
}

fn new_router(
    settings: RouterSettings,
    limit_per_s: f64,
    balancers: u32,
    instances: Vec<Instance>,
) -> Router {
    let mut router = Router::new(settings, 0);
    router.set_configuration(
        0,
        &configuration(GENERATION, vec![route("r", RouteKind::Unsafe)], vec![service(SERVICE, limit_per_s)]),
    );
    router.set_instances(0, &endpoint_list(instances));
    if balancers > 0 {
        router.set_fleet(0, &fleet(balancers, vec![]));
    }
    router
}

fn send_and_serve(router: &mut Router, now: u64) -> Option<String> {
    served_by(router, now, &request_info())
}

#[test]
fn warm_instances_are_preferred() {
    let mut router =
        new_router(settings("a", 1), LIMIT_PER_S, 6, vec![in_slow_start(1, "za", 3_000), instance(2, "zb")]);
    assert!((0..2_900).all(|now| send_and_serve(&mut router, now).as_deref() == Some("i2")));
}

#[test]
fn a_single_instance_in_slow_start_serves_at_its_pace() {
    let mut router = new_router(settings("a", 1), LIMIT_PER_S, 6, vec![in_slow_start(1, "za", 3_000)]);
    let sent = (0..3_000).filter(|&now| send_and_serve(&mut router, now).is_some()).count();
    assert!((3..=5).contains(&sent), "{sent}");
    let rejection = (0..100).find_map(|_| match router.choose(3_001, &request_info(), &[]) {
        Choice::Reject(rejection) => Some(rejection),
        Choice::Forward { .. } => None,
    });
    assert_eq!(rejection.map(|rejection| rejection.reason), Some(RejectionReason::WarmingUp));
}

#[test]
fn slow_start_allows_no_attempts_while_the_number_of_balancers_is_unknown() {
    let mut router = new_router(settings("a", 1), LIMIT_PER_S, 0, vec![in_slow_start(1, "za", 3_000)]);
    assert!((0..3_000).all(|now| send_and_serve(&mut router, now).is_none()));
    router.set_fleet(3_000, &fleet(1, vec![]));
    assert!((3_000..3_250).any(|now| send_and_serve(&mut router, now).is_some()));
}

#[test]
fn a_service_without_a_limit_has_no_slow_start() {
    let mut router = new_router(settings("a", 1), 0.0, 0, vec![in_slow_start(1, "za", 3_000)]);
    assert!((0..100).all(|now| send_and_serve(&mut router, now).is_some()));
}

#[test]
fn slow_start_lasts_longer_than_reported_by_a_margin() {
    let mut router = new_router(settings("a", 1), LIMIT_PER_S, 0, vec![in_slow_start(1, "za", 1_000)]);
    assert!(send_and_serve(&mut router, 1_200).is_none());
    assert!(send_and_serve(&mut router, 1_300).is_some());
}

#[test]
fn slow_start_is_assumed_after_an_evacuation() {
    let mut router = new_router(settings("a", 1), LIMIT_PER_S, 6, vec![instance(1, "za")]);
    router.set_evacuated_zones(0, &["za".to_owned()]);
    router.set_evacuated_zones(10_000, &[]);
    let early_count = (10_000..11_000).filter(|&now| send_and_serve(&mut router, now).is_some()).count();
    assert!(early_count <= 2, "{early_count}");
    assert!((12_100..12_200).all(|now| send_and_serve(&mut router, now).is_some()));
}

/// Returns the times of attempts at the last instance that reports its slow start. The two balancers of a
/// partitioned region start one attempt each 15 ms. The whole zone enters slow start at 10 s. All instances
/// but one report it within 300 ms; the last instance reports it 2 s later, since its heartbeats failed.
fn attempts_at_the_last_instance_to_report_slow_start() -> Vec<u64> {
    let reported = |now: u64| {
        let slow_start_ms = |number: u64| {
            let reported_at = if number == 6 { 12_000 } else { 10_000 + 60 * number };
            if now >= reported_at { 13_000 - now } else { 0 }
        };
        endpoint_list(
            (1..=6).map(|number| in_slow_start(number as u8, "za", slow_start_ms(number))).collect(),
        )
    };
    let warm = || (1..=6).map(|number| instance(number, "za")).collect();
    let mut routers = [1, 2].map(|seed| new_router(settings("a", seed), LIMIT_PER_S, 6, warm()));
    let mut times = Vec::new();
    for now in (9_000..13_000).step_by(15) {
        for router in &mut routers {
            router.set_instances(now, &reported(now));
        }
        let sender = (now / 15 % 2) as usize;
        let served = served_by(&mut routers[sender], now, &request_info());
        times.extend(served.filter(|id| id == "i6").map(|_| now));
    }
    times.retain(|&at| at >= 10_000);
    times
}

#[test]
fn the_last_instance_of_a_zone_to_report_slow_start_stays_within_the_limit() {
    let max_attempts = max_attempts_in_a_second(&attempts_at_the_last_instance_to_report_slow_start());
    assert!(max_attempts > 0 && max_attempts as f64 <= bound(LIMIT_PER_S, &bounds()), "{max_attempts}");
}

#[test]
fn slow_start_of_one_instance_does_not_affect_the_others() {
    let mut router =
        new_router(settings("a", 1), LIMIT_PER_S, 6, (1..=3).map(|n| instance(n, "za")).collect());
    router.set_instances(
        1_000,
        &endpoint_list(vec![in_slow_start(1, "za", 3_000), instance(2, "za"), instance(3, "za")]),
    );
    assert!((1_000..3_000).step_by(10).all(|now| send_and_serve(&mut router, now).is_some()));
}

#[test]
fn new_instances_do_not_affect_the_others() {
    let mut router = new_router(settings("a", 1), LIMIT_PER_S, 6, vec![instance(1, "za")]);
    router.set_instances(
        1_000,
        &endpoint_list(vec![instance(1, "za"), in_slow_start(2, "za", 3_000), in_slow_start(3, "za", 3_000)]),
    );
    assert!((1_000..3_000).step_by(10).all(|now| send_and_serve(&mut router, now).as_deref() == Some("i1")));
}

/// Returns the rejection of a request that exceeds the pace of an instance whose slow start lasts
/// `slow_start_ms`.
fn rejection_during_slow_start(slow_start_ms: u64) -> Rejection {
    let mut router =
        new_router(settings("a", 1), LIMIT_PER_S, 1, vec![in_slow_start(1, "za", slow_start_ms)]);
    let first = (0..slow_start_ms).find(|&now| send_and_serve(&mut router, now).is_some()).expect("a send");
    assert!(first < 150, "{first}");
    rejection(router.choose(first + 1, &request_info(), &[]))
}

#[test]
fn the_retry_after_time_covers_the_remaining_slow_start() {
    let rejection = rejection_during_slow_start(500);
    assert_eq!(rejection.reason, RejectionReason::WarmingUp);
    assert!((480..=1_000).contains(&rejection.retry_after_ms), "{rejection:?}");
}

#[test]
fn the_retry_after_time_stays_within_the_wait_limit_of_clients() {
    let rejection = rejection_during_slow_start(30_000);
    assert!((1_700..=request_info().time_left_ms / 3).contains(&rejection.retry_after_ms), "{rejection:?}");
}

#[test]
fn a_lower_number_of_balancers_applies_after_a_delay() {
    let mut router = new_router(settings("a", 1), LIMIT_PER_S, 12, vec![in_slow_start(1, "za", 30_000)]);
    router.set_fleet(10, &fleet(1, vec![]));
    let sent = (10..5_010).filter(|&now| send_and_serve(&mut router, now).is_some()).count();
    assert!(sent <= 5, "{sent}");
}

/// A fleet of balancers with its limits, and bursts of requests.
#[derive(Clone, Debug)]
struct Arrivals {
    balancers: u8,
    limit_per_s: f64,
    overrun: f64,
    slack: f64,
    seed: u64,
    /// Time since the last burst in milliseconds, first balancer, and number of requests of each burst.
    bursts: Vec<(u16, u8, u8)>,
}

impl Arbitrary for Arrivals {
    fn arbitrary(g: &mut Gen) -> Self {
        let bursts =
            (0..200).map(|_| (u16::arbitrary(g) % 60, u8::arbitrary(g), u8::arbitrary(g) % 4)).collect();
        Arrivals {
            balancers: u8::arbitrary(g) % 12 + 1,
            limit_per_s: f64::from(u8::arbitrary(g) % 40 + 1) / 2.0,
            overrun: *g.choose(&[1.0, 1.5, 3.0]).expect("a choice"),
            slack: *g.choose(&[0.0, 1.0, 5.0]).expect("a choice"),
            seed: u64::arbitrary(g),
            bursts,
        }
    }
}

fn bound(limit_per_s: f64, bounds: &Bounds) -> f64 {
    limit_per_s * bounds.cold_overrun + bounds.cold_slack
}

/// Maximum number of attempts of all balancers within a second.
fn max_attempts_in_a_second(times: &[u64]) -> usize {
    let count_within_a_second =
        |(first, start): (usize, &u64)| times[first..].iter().take_while(|&at| at - start <= 1_000).count();
    times.iter().enumerate().map(count_within_a_second).max().unwrap_or(0)
}

fn stays_within_limit(arrivals: Arrivals) -> TestResult {
    let bounds = Bounds { cold_overrun: arrivals.overrun, cold_slack: arrivals.slack, ..bounds() };
    let limit = bound(arrivals.limit_per_s, &bounds);
    let count = u32::from(arrivals.balancers);
    if limit < f64::from(count) {
        // Balancers then use random windows, which the tests of many balancers cover.
        return TestResult::discard();
    }
    let router = |index: u32| {
        let seed = arrivals.seed.wrapping_add(u64::from(index));
        let settings = RouterSettings { bounds: bounds.clone(), ..settings("a", seed) };
        new_router(settings, arrivals.limit_per_s, count, vec![in_slow_start(1, "za", 60_000)])
    };
    let mut routers: Vec<Router> = (0..count).map(router).collect();
    let (mut now, mut times) = (0, Vec::new());
    for &(interval, balancer, request_count) in &arrivals.bursts {
        now += u64::from(interval);
        for offset in 0..request_count {
            let index = usize::from(balancer.wrapping_add(offset)) % routers.len();
            if let Some((attempt, _)) = send(&mut routers[index], now, &request_info()) {
                times.push(now);
                routers[index].finish_attempt(now, attempt, Outcome::Served);
            }
        }
    }
    TestResult::from_bool(max_attempts_in_a_second(&times) as f64 <= limit)
}

#[test]
fn few_balancers_stay_within_the_limit_for_any_arrivals() {
    QuickCheck::new().tests(300).quickcheck(stays_within_limit as fn(Arrivals) -> TestResult);
}

#[test]
fn many_balancers_stay_within_the_limit_under_full_load() {
    for (seed, count, limit_per_s) in
        [(1u64, 60u64, LIMIT_PER_S), (2, 300, LIMIT_PER_S), (3, 300, 2.0), (4, 1_000, 20.0)]
    {
        let router = |index| {
            new_router(
                settings("a", seed * 10_000 + index),
                limit_per_s,
                count as u32,
                vec![in_slow_start(1, "za", 60_000)],
            )
        };
        let mut routers: Vec<Router> = (0..count).map(router).collect();
        let mut times = Vec::new();
        for now in (0..20_000).step_by(20) {
            for router in &mut routers {
                if let Some((attempt, _)) = send(router, now, &request_info()) {
                    times.push(now);
                    router.finish_attempt(now, attempt, Outcome::Served);
                }
            }
        }
        assert!(!times.is_empty(), "{count}: no attempts at an instance in slow start");
        assert!(max_attempts_in_a_second(&times) as f64 <= bound(limit_per_s, &bounds()), "{count}");
    }
}

#[test]
fn many_idle_balancers_do_not_send_at_the_same_time() {
    let count = 300u64;
    let router = |index| {
        new_router(
            settings("a", 77_000 + index),
            LIMIT_PER_S,
            count as u32,
            vec![in_slow_start(1, "za", 600_000)],
        )
    };
    let mut routers: Vec<Router> = (0..count).map(router).collect();
    let sent = routers.iter_mut().filter_map(|router| send(router, 200_000, &request_info())).count();
    assert!(sent as f64 <= bound(LIMIT_PER_S, &bounds()), "{sent}");
}
