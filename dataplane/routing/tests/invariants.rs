//! Invariants: no attempt goes to a draining instance, an evacuated zone, or a region other than the home regions.

mod common;

use common::*;
use quickcheck::{Arbitrary, Gen, quickcheck};
use whinspindle_configuration::{Route, RouteKind};
use whinspindle_distribution::Instance;
use whinspindle_routing::{Choice, InstanceKey, Outcome, RejectionReason};

fn plain() -> Route {
    route("r", RouteKind::Unsafe)
}

#[test]
fn a_draining_instance_gets_no_new_attempts_even_if_it_was_chosen_before() {
    let mut router = router(1, plain(), spread([1, 0, 0]));
    let (_, key) = send(&mut router, 0, &facts()).expect("an instance");
    assert!(router.can_send(key));
    router.set_instances(1, &list(vec![Instance { draining: true, ..instance(1, "za") }]));
    assert!(!router.can_send(key));
    assert_eq!(rejection(router.choose(2, &facts(), &[])).reason, RejectionReason::NoUpstream);
}

#[test]
fn an_instance_that_drained_never_comes_back() {
    let mut router = router(1, plain(), spread([1, 0, 0]));
    router.set_instances(1, &list(vec![Instance { draining: true, ..instance(1, "za") }]));
    router.set_instances(2, &list(vec![instance(1, "za")]));
    assert!(send(&mut router, 3, &facts()).is_none());
    router.set_instances(100_000, &list(vec![]));
    router.tick(200_000);
    router.set_instances(200_001, &list(vec![instance(1, "za")]));
    assert!(send(&mut router, 200_002, &facts()).is_none(), "also after it was forgotten");
}

#[test]
fn an_unlisted_instance_gets_nothing_and_may_come_back() {
    let mut router = router(1, plain(), spread([1, 0, 0]));
    let (attempt, key) = send(&mut router, 0, &facts()).expect("an instance");
    router.set_instances(1, &list(vec![]));
    assert!(!router.can_send(key) && send(&mut router, 2, &facts()).is_none());
    assert!(router.target(key).is_some(), "its open attempts still refer to it");
    router.finish_attempt(3, attempt, Outcome::Served);
    router.set_instances(4, &list(vec![instance(1, "za")]));
    assert_eq!(send(&mut router, 5, &facts()).map(|sent| sent.1), Some(key));
}

#[test]
fn a_misdirected_attempt_ends_that_incarnation() {
    let mut router = router(1, plain(), spread([1, 0, 0]));
    let (attempt, key) = send(&mut router, 0, &facts()).expect("an instance");
    router.finish_attempt(1, attempt, Outcome::Misdirected);
    assert!(!router.can_send(key));
    router.set_instances(2, &list(vec![instance(1, "za")]));
    assert!(send(&mut router, 3, &facts()).is_none());
    let next = Instance { id: "next".into(), ..instance(1, "za") };
    router.set_instances(4, &list(vec![next]));
    assert!(send(&mut router, 5, &facts()).is_some_and(|(_, other)| other != key));
}

#[test]
fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let mut router = router(1, plain(), spread([2, 2, 0]));
    let (_, key) = send(&mut router, 0, &facts()).expect("an instance");
    assert_eq!(region_of(&router, key), "a");
    router.set_evacuated_zones(1, &["za".to_owned()]);
    assert!(!router.can_send(key));
    for now in 2..100 {
        let (attempt, key) = send(&mut router, now, &facts()).expect("an instance");
        assert_eq!(region_of(&router, key), "b");
        router.finish_attempt(now, attempt, Outcome::Served);
    }
    let late = Instance { id: "late".into(), ..instance(9, "za") };
    router.set_instances(100, &list([spread([2, 2, 0]), vec![late]].concat()));
    assert!((101..200).all(|now| served_by(&mut router, now, &facts()).is_some_and(|id| id != "late")));
    router.set_evacuated_zones(200, &[]);
    let back = (200..300)
        .any(|now| send(&mut router, now, &facts()).is_some_and(|(_, key)| region_of(&router, key) == "a"));
    assert!(back);
}

#[test]
fn an_instance_whose_zone_is_unknown_serves_no_route_with_home_regions() {
    let mut router =
        router(1, Route { home_regions: vec!["a".into()], ..plain() }, vec![instance(1, "elsewhere")]);
    assert!(send(&mut router, 0, &facts()).is_none());
}

/// An input of a router.
#[derive(Clone, Debug)]
enum Event {
    Send { tried: u8 },
    Finish { outcome: Outcome },
    Listed { hidden: u8, draining: u8, slow_start: u8 },
    Evacuated { zones: u8 },
    Balancers(u8),
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
            0 => Event::Listed {
                hidden: u8::arbitrary(g) & u8::arbitrary(g),
                draining: 1 << (u8::arbitrary(g) % 16).min(7),
                slow_start: u8::arbitrary(g),
            },
            1 => Event::Evacuated { zones: u8::arbitrary(g) & u8::arbitrary(g) & 7 },
            2 => Event::Balancers(u8::arbitrary(g) % 9),
            3 | 4 => Event::Wait(u16::arbitrary(g) % 2_000),
            5..=8 => Event::Finish { outcome: *g.choose(&outcomes).expect("outcomes") },
            _ => Event::Send { tried: u8::arbitrary(g) % 3 },
        }
    }
}

/// What was reported to the router of each instance.
#[derive(Default)]
struct Reported {
    hidden: u8,
    drained: u8,
    evacuated: u8,
    misdirected: Vec<InstanceKey>,
}

fn number(id: &str) -> u8 {
    id[1..].parse::<u8>().expect("a number") - 1
}

#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn play(events: &[Event], homes: &[&str]) -> Result<(), String> {
    let regions = ["a", "b", "c"];
    let all = spread([3, 3, 2]);
    let mut router = router(
        11,
        Route { home_regions: homes.iter().map(|&home| home.to_owned()).collect(), ..plain() },
        all.clone(),
    );
    let (mut now, mut reported, mut out, mut last) = (0, Reported::default(), Vec::new(), Vec::new());
    for event in events {
        now += 1;
        match event {
            Event::Send { tried } => {
                let tried: Vec<InstanceKey> = last.iter().rev().take(usize::from(*tried)).copied().collect();
                let Choice::Forward { attempt, instance } = router.choose(now, &facts(), &tried) else {
                    continue;
                };
                let target = router.target(instance).ok_or("an unknown instance")?;
                let bit = 1u8 << number(&target.id);
                let zone = regions.iter().position(|region| *region == target.region).ok_or("no region")?;
                let allowed = bit & (reported.hidden | reported.drained) == 0
                    && reported.evacuated & (1 << zone) == 0
                    && (homes.is_empty() || homes.contains(&target.region.as_str()))
                    && !tried.contains(&instance)
                    && !reported.misdirected.contains(&instance)
                    && router.can_send(instance);
                if !allowed {
                    return Err(format!("sent to {target:?} at {now}"));
                }
                out.push((attempt, instance));
                last.push(instance);
            }
            Event::Finish { outcome } => {
                let Some((attempt, instance)) = out.pop() else { continue };
                router.finish_attempt(now, attempt, *outcome);
                if *outcome == Outcome::Misdirected {
                    reported.misdirected.push(instance);
                }
            }
            Event::Listed { hidden, draining, slow_start } => {
                let is = |mask: u8, id: &str| mask & (1 << number(id)) != 0;
                let shown =
                    all.iter().filter(|instance| !is(*hidden, &instance.id)).map(|instance| Instance {
                        draining: is(*draining, &instance.id),
                        slow_start_ms: if is(*slow_start, &instance.id) { 700 } else { 0 },
                        ..instance.clone()
                    });
                router.set_instances(now, &list(shown.collect()));
                reported.hidden = *hidden;
                reported.drained |= draining & !hidden;
            }
            Event::Evacuated { zones } => {
                let named =
                    (0..3).filter(|zone| zones & (1 << zone) != 0).map(|zone| format!("z{}", regions[zone]));
                router.set_evacuated_zones(now, &named.collect::<Vec<_>>());
                reported.evacuated = *zones;
            }
            Event::Balancers(count) => router.set_fleet(now, &fleet(u32::from(*count), vec![])),
            Event::Wait(time) => {
                now += u64::from(*time);
                router.tick(now);
            }
        }
    }
    Ok(())
}

quickcheck! {
    fn no_attempt_goes_where_it_may_not(events: Vec<Event>) -> bool {
        [&[][..], &["a"], &["b", "c"]].iter().all(|homes| play(&events, homes).is_ok())
    }
}
