//! Tables of cases for the limits on restarts and for the order of waves.

use whinspindle_rollout::{
    Direction, Limits, NextPhase, Plan, Progress, RestartCheck, RestartRefusal, ServerStatus, Unit, UnitSet,
};

use Unit::{Balancer, Server};

#[test]
fn limits_count_all_units_that_are_out_of_service() {
    let limits = Limits {
        balancers: Some(2),
        servers: Some(3),
        servers_per_zone: Some(2),
        servers_per_pod: Some(1),
        servers_fraction: Some(0.5),
    };
    // Keys 0 to 7 are listed, half of them in zone a and half in zone b, in pods of two. Key 9 is not listed.
    let server_status = |key: u64, is_in_service| {
        let zone = if key < 4 { "a" } else { "b" }.to_string();
        ServerStatus { key, zone, pod: key as usize / 2, is_in_service }
    };
    let limit_reached = |units, out, limit| Err(RestartRefusal::LimitReached { units, out, limit });
    for (unit, granted, absent, cold, expected) in [
        (Balancer(0), &[][..], &[][..], &[][..], Ok(())),
        (Balancer(0), &[Balancer(1)], &[], &[], Ok(())),
        (Balancer(0), &[Balancer(1), Server(3)], &[2], &[], limit_reached("balancers", 2, 2)),
        // A unit that is both granted and absent counts once, and the unit itself doesn't count.
        (Balancer(0), &[Balancer(1)], &[1], &[], Ok(())),
        (Balancer(0), &[Balancer(1)], &[0], &[], Ok(())),
        (Balancer(5), &[], &[], &[], Err(RestartRefusal::UnknownUnit)),
        (Server(0), &[], &[], &[], Ok(())),
        (Server(9), &[], &[], &[], Err(RestartRefusal::UnknownUnit)),
        (Server(0), &[Server(1)], &[], &[], limit_reached("servers of its pod", 1, 1)),
        (Server(0), &[], &[], &[1], limit_reached("servers of its pod", 1, 1)),
        (Server(0), &[Server(2)], &[], &[6], Ok(())),
        (Server(0), &[Server(2), Server(3)], &[], &[], limit_reached("servers of its zone", 2, 2)),
        (Server(0), &[Server(4), Server(6)], &[], &[2], limit_reached("servers", 3, 3)),
        (Server(0), &[Server(4), Server(9)], &[], &[2], limit_reached("servers", 3, 3)),
        (Server(0), &[Server(4), Server(4)], &[], &[4], Ok(())),
    ] {
        let absent = absent.iter().copied().collect();
        let servers: Vec<ServerStatus> = (0..8).map(|key| server_status(key, !cold.contains(&key))).collect();
        let check =
            RestartCheck { limits: &limits, granted, absent: &absent, balancer_count: 3, servers: &servers };
        assert_eq!(check.check(unit), expected, "{unit:?} {granted:?} {absent:?} {cold:?}");
    }
    let no_limits = Limits::default();
    let absent = Default::default();
    let check =
        RestartCheck { limits: &no_limits, granted: &[], absent: &absent, balancer_count: 3, servers: &[] };
    assert_eq!(
        [check.check(Balancer(0)), check.check(Server(0))],
        [Err(RestartRefusal::NoLimit), Err(RestartRefusal::NoLimit)]
    );
}

#[test]
fn rollout_advances_by_waves_and_rollback_reverses_them() {
    let plan = Plan {
        name: "p".to_string(),
        units: (0..4).map(Server).collect(),
        unit_names: Vec::new(),
        wave_ends: vec![1, 3, 4],
        watch_us: 10,
        false_halt_probability: 0.01,
        build: None,
    };
    // Direction, wave, changed units, units out of service; units that may restart, next phase before and
    // after the time for observation.
    let (rollout, rollback, complete) = (Direction::Rollout, Direction::Rollback, Some(NextPhase::Complete));
    let wave = |number| Some(NextPhase::Wave(number));
    for (direction, wave_index, changed, out_of_service, restartable, next_early, next_late) in [
        (rollout, 0, &[][..], &[][..], &[0][..], None, None),
        (rollout, 0, &[0], &[], &[], None, wave(1)),
        (rollout, 0, &[0], &[0], &[], None, None),
        (rollout, 1, &[0, 1], &[], &[2], None, None),
        (rollout, 1, &[0, 1, 2], &[], &[], None, wave(2)),
        (rollout, 2, &[0, 1, 2, 3], &[], &[], None, complete),
        // A unit that was changed in an earlier wave is cold again, so the next wave waits for it.
        (rollout, 2, &[0, 1, 2, 3], &[1], &[], None, None),
        (rollback, 1, &[0, 1], &[], &[1], None, None),
        (rollback, 1, &[0], &[2], &[], None, None),
        (rollback, 1, &[0], &[], &[], wave(0), wave(0)),
        (rollback, 0, &[0], &[], &[0], None, None),
        (rollback, 0, &[], &[], &[], complete, complete),
    ] {
        let mut changed_units = UnitSet::default();
        changed.iter().for_each(|index| changed_units.set(*index, true));
        let out_of_service: Vec<Unit> = out_of_service.iter().copied().map(Server).collect();
        let progress = Progress {
            plan: &plan,
            direction,
            wave: wave_index,
            changed: &changed_units,
            out_of_service: &out_of_service,
        };
        let allowed: Vec<usize> = (0..4).filter(|index| progress.check_restart(*index).is_ok()).collect();
        assert_eq!(
            (allowed.as_slice(), progress.next_phase(9), progress.next_phase(10)),
            (restartable, next_early, next_late),
            "{direction:?} {wave_index} {changed:?}"
        );
    }
}
