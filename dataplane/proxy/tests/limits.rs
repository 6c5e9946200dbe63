//! Limits of the process and of requests, and the times of a shutdown.

use std::time::Duration;

use whinspindle_configuration::{Limits, MachineLimits};
use whinspindle_proxy::limits::{Capacities, EffectiveLimits, MemoryBudget};
use whinspindle_proxy::shutdown::ShutdownTimes;

#[test]
fn sockets_stay_within_the_descriptors() {
    for max_fds in [0, 300, 1024, 4100, 65_536] {
        let capacities = Capacities::from_limits(&MachineLimits { memory_mb: 260, max_fds, disk_mb: 0 });
        let allowed = if max_fds == 0 { 1024 } else { max_fds };
        let sockets = (capacities.clients + capacities.upstreams) as u64;
        assert!(sockets + 200 <= allowed, "{max_fds}: {capacities:?}");
        assert!(capacities.body_bytes < 100 << 20, "{capacities:?}");
    }
}

#[test]
fn a_budget_is_never_overdrawn() {
    let budget = MemoryBudget::new(100);
    let mut first = budget.reserve();
    let mut second = budget.reserve();
    assert!(first.grow_to(60));
    assert!(first.grow_to(50), "less than it holds");
    assert!(!second.grow_to(41));
    assert!(second.grow_to(40));
    assert!(!first.grow_to(61));
    drop(second);
    assert!(first.grow_to(100));
}

#[test]
fn the_wider_of_the_newest_two_limits_is_in_force() {
    let limits = |idle_timeout_ms, max_body_bytes| Limits {
        max_header_bytes: 1000,
        max_body_bytes,
        header_timeout_ms: 3000,
        idle_timeout_ms,
    };
    let mut in_force = EffectiveLimits::default();
    in_force.replace(&limits(5000, 10));
    assert_eq!((in_force.idle_timeout_ms(), in_force.max_accepted_body_bytes()), (5000, 10));
    in_force.replace(&limits(2000, 20));
    in_force.replace(&limits(2000, 20));
    assert_eq!((in_force.idle_timeout_ms(), in_force.max_accepted_body_bytes()), (5000, 20));
    in_force.replace(&limits(1000, 15));
    assert_eq!((in_force.idle_timeout_ms(), in_force.max_accepted_body_bytes()), (2000, 20));
}

#[test]
fn a_shutdown_has_time_for_answers() {
    for grace_ms in [1000, 4000, 8000, 30_000] {
        let grace = Duration::from_millis(grace_ms);
        let times = ShutdownTimes::for_grace_period(grace);
        assert!(times.accepting < grace / 2);
        assert!(times.answering < grace && times.answering > times.accepting);
    }
}

#[test]
fn a_request_sent_three_seconds_after_the_shutdown_request_is_not_accepted() {
    const SOON: Duration = Duration::from_millis(100);
    for grace_ms in [1000, 4000, 8000, 30_000] {
        let times = ShutdownTimes::for_grace_period(Duration::from_millis(grace_ms));
        assert!(times.accepting + SOON < Duration::from_secs(3), "{times:?}");
    }
}

#[test]
fn an_answer_before_the_last_sixth_of_the_grace_period_still_reaches_its_client() {
    for grace_ms in [500, 1000, 2000, 2300, 4000, 8000, 30_000] {
        let grace = Duration::from_millis(grace_ms);
        let times = ShutdownTimes::for_grace_period(grace);
        let way_to_the_client = grace / 24;
        assert!(times.answering >= grace * 5 / 6 + way_to_the_client, "{grace:?}: {times:?}");
    }
}
