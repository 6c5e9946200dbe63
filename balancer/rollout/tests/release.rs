//! Tables of cases: which units may leave service, and how waves follow one another.

use whinspindle_rollout::{
    Direction, Limits, NextPhase, Plan, Progress, RestartCheck, RestartRefusal, ServerStatus, Unit, UnitSet,
};

use Unit::{Balancer, Server};

#[test]
fn no_more_go_than_the_limits_allow_whatever_the_others_are_out_for() {
    let limits = Limits {
        balancers: Some(2),
        servers: Some(3),
        servers_per_zone: Some(2),
        servers_per_pod: Some(1),
        servers_fraction: Some(0.5),
    };
    // Keys 0 to 7: zones a and b by halves, pods of two; 9 is not listed.
    let place = |key: u64, full| {
        let zone = if key < 4 { "a" } else { "b" }.to_string();
        ServerStatus { key, zone, pod: key as usize / 2, is_in_service: full }
    };
    let full = |what, out, most| Err(RestartRefusal::LimitReached { units: what, out, limit: most });
    for (unit, granted, away, cold, may) in [
        (Balancer(0), &[][..], &[][..], &[][..], Ok(())),
        (Balancer(0), &[Balancer(1)], &[], &[], Ok(())),
        (Balancer(0), &[Balancer(1), Server(3)], &[2], &[], full("balancers", 2, 2)),
        // One that is granted and unheard of counts once, and its own going adds nothing.
        (Balancer(0), &[Balancer(1)], &[1], &[], Ok(())),
        (Balancer(0), &[Balancer(1)], &[0], &[], Ok(())),
        (Balancer(5), &[], &[], &[], Err(RestartRefusal::UnknownUnit)),
        (Server(0), &[], &[], &[], Ok(())),
        (Server(9), &[], &[], &[], Err(RestartRefusal::UnknownUnit)),
        (Server(0), &[Server(1)], &[], &[], full("servers of its pod", 1, 1)),
        (Server(0), &[], &[], &[1], full("servers of its pod", 1, 1)),
        (Server(0), &[Server(2)], &[], &[6], Ok(())),
        (Server(0), &[Server(2), Server(3)], &[], &[], full("servers of its zone", 2, 2)),
        (Server(0), &[Server(4), Server(6)], &[], &[2], full("servers", 3, 3)),
        (Server(0), &[Server(4), Server(9)], &[], &[2], full("servers", 3, 3)),
        (Server(0), &[Server(4), Server(4)], &[], &[4], Ok(())),
    ] {
        let away = away.iter().copied().collect();
        let servers: Vec<ServerStatus> = (0..8).map(|key| place(key, !cold.contains(&key))).collect();
        let scene =
            RestartCheck { limits: &limits, granted, absent: &away, balancer_count: 3, servers: &servers };
        assert_eq!(scene.check(unit), may, "{unit:?} {granted:?} {away:?} {cold:?}");
    }
    let none = Limits::default();
    let away = Default::default();
    let scene = RestartCheck { limits: &none, granted: &[], absent: &away, balancer_count: 3, servers: &[] };
    assert_eq!(
        [scene.check(Balancer(0)), scene.check(Server(0))],
        [Err(RestartRefusal::NoLimit), Err(RestartRefusal::NoLimit)]
    );
}

#[test]
fn waves_follow_one_another_and_a_rollback_undoes_the_last_first() {
    let plan = Plan {
        name: "p".to_string(),
        units: (0..4).map(Server).collect(),
        unit_names: Vec::new(),
        wave_ends: vec![1, 3, 4],
        watch_us: 10,
        false_halt_probability: 0.01,
        build: None,
    };
    // Direction, wave, which are changed, which are out; which may go, what follows when watched too short and long enough.
    let (forth, back, over) = (Direction::Rollout, Direction::Rollback, Some(NextPhase::Complete));
    let wave = |number| Some(NextPhase::Wave(number));
    for (way, at, changed, out, may, early, late) in [
        (forth, 0, &[][..], &[][..], &[0][..], None, None),
        (forth, 0, &[0], &[], &[], None, wave(1)),
        (forth, 0, &[0], &[0], &[], None, None),
        (forth, 1, &[0, 1], &[], &[2], None, None),
        (forth, 1, &[0, 1, 2], &[], &[], None, wave(2)),
        (forth, 2, &[0, 1, 2, 3], &[], &[], None, over),
        // One that was changed before is cold again: the next wave waits for it.
        (forth, 2, &[0, 1, 2, 3], &[1], &[], None, None),
        (back, 1, &[0, 1], &[], &[1], None, None),
        (back, 1, &[0], &[2], &[], None, None),
        (back, 1, &[0], &[], &[], wave(0), wave(0)),
        (back, 0, &[0], &[], &[0], None, None),
        (back, 0, &[], &[], &[], over, over),
    ] {
        let mut places = UnitSet::default();
        changed.iter().for_each(|place| places.set(*place, true));
        let out: Vec<Unit> = out.iter().copied().map(Server).collect();
        let progress =
            Progress { plan: &plan, direction: way, wave: at, changed: &places, out_of_service: &out };
        let may_go: Vec<usize> = (0..4).filter(|place| progress.check_restart(*place).is_ok()).collect();
        assert_eq!(
            (may_go.as_slice(), progress.next_phase(9), progress.next_phase(10)),
            (may, early, late),
            "{way:?} {at} {changed:?}"
        );
    }
}
