//! Invariants: no attempt goes to a draining instance, to an evacuated zone, or outside the home regions.

mod common;

use common::*;
use quickcheck::{Arbitrary, Gen, quickcheck};
use whinspindle_configuration::{Route, RouteKind};
use whinspindle_distribution::Instance;
use whinspindle_routing::{Choice, InstanceKey, Outcome, RejectionReason};

fn plain_route() -> Route {
    route("r", RouteKind::Unsafe)
}

#[test]
fn a_draining_instance_gets_no_new_attempts_even_if_it_was_chosen_before() {
    let mut router = router(1, plain_route(), instances_by_region([1, 0, 0]));
    let (_, key) = send(&mut router, 0, &request_info()).expect("an instance");
    assert!(router.can_send(key));
    router.set_instances(1, &endpoint_list(vec![Instance { draining: true, ..instance(1, "za") }]));
    assert!(!router.can_send(key));
    assert_eq!(rejection(router.choose(2, &request_info(), &[])).reason, RejectionReason::NoUpstream);
}

#[test]
fn an_instance_that_drained_is_never_used_again() {
    let mut router = router(1, plain_route(), instances_by_region([1, 0, 0]));
    router.set_instances(1, &endpoint_list(vec![Instance { draining: true, ..instance(1, "za") }]));
    router.set_instances(2, &endpoint_list(vec![instance(1, "za")]));
    assert!(send(&mut router, 3, &request_info()).is_none());
    router.set_instances(100_000, &endpoint_list(vec![]));
    router.tick(200_000);
    router.set_instances(200_001, &endpoint_list(vec![instance(1, "za")]));
    assert!(
        send(&mut router, 200_002, &request_info()).is_none(),
        "an instance that drained is used after its removal"
    );
}

#[test]
fn an_unlisted_instance_receives_no_attempts_until_it_is_listed_again() {
    let mut router = router(1, plain_route(), instances_by_region([1, 0, 0]));
    let (attempt, key) = send(&mut router, 0, &request_info()).expect("an instance");
    router.set_instances(1, &endpoint_list(vec![]));
    assert!(!router.can_send(key) && send(&mut router, 2, &request_info()).is_none());
    assert!(router.target(key).is_some(), "open attempts still refer to the instance");
    router.finish_attempt(3, attempt, Outcome::Served);
    router.set_instances(4, &endpoint_list(vec![instance(1, "za")]));
    assert_eq!(send(&mut router, 5, &request_info()).map(|sent| sent.1), Some(key));
}

#[test]
fn a_misdirected_attempt_retires_the_incarnation() {
    let mut router = router(1, plain_route(), instances_by_region([1, 0, 0]));
    let (attempt, key) = send(&mut router, 0, &request_info()).expect("an instance");
    router.finish_attempt(1, attempt, Outcome::Misdirected);
    assert!(!router.can_send(key));
    router.set_instances(2, &endpoint_list(vec![instance(1, "za")]));
    assert!(send(&mut router, 3, &request_info()).is_none());
    let next_instance = Instance { id: "next".into(), ..instance(1, "za") };
    router.set_instances(4, &endpoint_list(vec![next_instance]));
    assert!(send(&mut router, 5, &request_info()).is_some_and(|(_, other)| other != key));
}

#[test]
fn an_evacuated_zone_receives_no_attempts_until_the_evacuation_ends() {
    let mut router = router(1, plain_route(), instances_by_region([2, 2, 0]));
    let (_, key) = send(&mut router, 0, &request_info()).expect("an instance");
    assert_eq!(region_of(&router, key), "a");
    router.set_evacuated_zones(1, &["za".to_owned()]);
    assert!(!router.can_send(key));
    for now in 2..100 {
        let (attempt, key) = send(&mut router, now, &request_info()).expect("an instance");
        assert_eq!(region_of(&router, key), "b");
        router.finish_attempt(now, attempt, Outcome::Served);
    }
    let new_instance = Instance { id: "new".into(), ..instance(9, "za") };
    router.set_instances(100, &endpoint_list([instances_by_region([2, 2, 0]), vec![new_instance]].concat()));
    assert!((101..200).all(|now| served_by(&mut router, now, &request_info()).is_some_and(|id| id != "new")));
    router.set_evacuated_zones(200, &[]);
    let is_used_again = (200..300).any(|now| {
        send(&mut router, now, &request_info()).is_some_and(|(_, key)| region_of(&router, key) == "a")
    });
    assert!(is_used_again);
}

#[test]
fn an_instance_whose_zone_is_unknown_serves_no_route_with_home_regions() {
    let mut router =
        router(1, Route { home_regions: vec!["a".into()], ..plain_route() }, vec![instance(1, "elsewhere")]);
    assert!(send(&mut router, 0, &request_info()).is_none());
}

/// An input of the router.
#[derive(Clone, Debug)]
enum Event {
    Send { tried: u8 },
    Finish { outcome: Outcome },
    SetInstances { hidden: u8, draining: u8, slow_start: u8 },
    SetEvacuatedZones { zones: u8 },
    SetBalancerCount(u8),
    Wait(u16),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let outcomes = [
            Outcome::Served,
            Outcome::Failed,
            Outcome::Rejected,
            Outcome::Misdirected,
            Outcome::ConnectFailed,
            Outcome::ConnectionBroken,
            Outcome::Cancelled,
        ];
        match u8::arbitrary(g) % 16 {
            0 => Event::SetInstances {
                hidden: u8::arbitrary(g) & u8::arbitrary(g),
                draining: 1 << (u8::arbitrary(g) % 16).min(7),
                slow_start: u8::arbitrary(g),
            },
            1 => Event::SetEvacuatedZones { zones: u8::arbitrary(g) & u8::arbitrary(g) & 7 },
            2 => Event::SetBalancerCount(u8::arbitrary(g) % 9),
            3 | 4 => Event::Wait(u16::arbitrary(g) % 2_000),
            5..=8 => Event::Finish { outcome: *g.choose(&outcomes).expect("outcomes") },
            _ => Event::Send { tried: u8::arbitrary(g) % 3 },
        }
    }
}

/// Expected state of the instances, as bit masks by instance number or zone.
#[derive(Default)]
struct ExpectedState {
    hidden: u8,
    drained: u8,
    evacuated: u8,
    misdirected: Vec<InstanceKey>,
}

fn number(id: &str) -> u8 {
    id[1..].parse::<u8>().expect("a number") - 1
}

#[allow(clippy::too_many_lines, reason = "one branch for each event")]
fn check_attempts(events: &[Event], home_regions: &[&str]) -> Result<(), String> {
    let regions = ["a", "b", "c"];
    let all = instances_by_region([3, 3, 2]);
    let mut router = router(
        11,
        Route {
            home_regions: home_regions.iter().map(|&region| region.to_owned()).collect(),
            ..plain_route()
        },
        all.clone(),
    );
    let (mut now, mut expected, mut open_attempts, mut attempted) =
        (0, ExpectedState::default(), Vec::new(), Vec::new());
    for event in events {
        now += 1;
        match event {
            Event::Send { tried } => {
                let tried: Vec<InstanceKey> =
                    attempted.iter().rev().take(usize::from(*tried)).copied().collect();
                let Choice::Forward { attempt, instance } = router.choose(now, &request_info(), &tried)
                else {
                    continue;
                };
                let target = router.target(instance).ok_or("an unknown instance")?;
                let bit = 1u8 << number(&target.id);
                let zone = regions.iter().position(|region| *region == target.region).ok_or("no region")?;
                let is_allowed = bit & (expected.hidden | expected.drained) == 0
                    && expected.evacuated & (1 << zone) == 0
                    && (home_regions.is_empty() || home_regions.contains(&target.region.as_str()))
                    && !tried.contains(&instance)
                    && !expected.misdirected.contains(&instance)
                    && router.can_send(instance);
                if !is_allowed {
                    return Err(format!("sent to {target:?} at {now}"));
                }
                open_attempts.push((attempt, instance));
                attempted.push(instance);
            }
            Event::Finish { outcome } => {
                let Some((attempt, instance)) = open_attempts.pop() else { continue };
                router.finish_attempt(now, attempt, *outcome);
                if *outcome == Outcome::Misdirected {
                    expected.misdirected.push(instance);
                }
            }
            Event::SetInstances { hidden, draining, slow_start } => {
                let is_set = |mask: u8, id: &str| mask & (1 << number(id)) != 0;
                let listed =
                    all.iter().filter(|instance| !is_set(*hidden, &instance.id)).map(|instance| Instance {
                        draining: is_set(*draining, &instance.id),
                        slow_start_ms: if is_set(*slow_start, &instance.id) { 700 } else { 0 },
                        ..instance.clone()
                    });
                router.set_instances(now, &endpoint_list(listed.collect()));
                expected.hidden = *hidden;
                expected.drained |= draining & !hidden;
            }
            Event::SetEvacuatedZones { zones } => {
                let zone_names =
                    (0..3).filter(|zone| zones & (1 << zone) != 0).map(|zone| format!("z{}", regions[zone]));
                router.set_evacuated_zones(now, &zone_names.collect::<Vec<_>>());
                expected.evacuated = *zones;
            }
            Event::SetBalancerCount(count) => router.set_fleet(now, &fleet(u32::from(*count), vec![])),
            Event::Wait(time) => {
                now += u64::from(*time);
                router.tick(now);
            }
        }
    }
    Ok(())
}

quickcheck! {
    fn no_attempt_violates_the_invariants(events: Vec<Event>) -> bool {
        [&[][..], &["a"], &["b", "c"]]
            .iter()
            .all(|home_regions| check_attempts(&events, home_regions).is_ok())
    }
}
