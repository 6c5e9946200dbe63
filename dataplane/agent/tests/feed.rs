//! What the proxy is fed, and what is reported of it.

mod common;

use common::{
    Controller, GRACE_MS, Mode, World, configured, controller, endpoint, evacuated, fleet, instances,
    proxy_report,
};
use whinspindle_agent::{Input, Notice};
use whinspindle_distribution::{Link, Report, ToBalancer, Update, Versions};

/// Long enough for the agent to settle with its controller.
const SETTLED: u64 = 8_000;

fn one() -> Vec<(u8, Controller)> {
    vec![(1, controller("a", "north"))]
}

fn two() -> Vec<(u8, Controller)> {
    vec![(1, controller("a", "north")), (2, controller("b", "north"))]
}

fn with_proxy(controllers: &[(u8, Controller)]) -> World {
    let mut world = World::new(controllers, &[1], 1);
    world.run_until(100);
    world.give(Input::ProxyConnected);
    world.give(Input::FromProxy(proxy_report(Versions::default())));
    world
}

/// Plays with a proxy that reports these versions twice a second.
fn run_reporting(world: &mut World, until: u64, applied: Versions) {
    while world.now < until {
        world.run_until((world.now + 500).min(until));
        world.give(Input::FromProxy(proxy_report(applied)));
    }
}

fn merged(first: Update, second: Update) -> Update {
    Update {
        configured: second.configured.or(first.configured),
        evacuations: second.evacuations.or(first.evacuations),
        instances: second.instances.or(first.instances),
        fleet: second.fleet.or(first.fleet),
        changes: second.changes.or(first.changes),
    }
}

fn reports_after(world: &World, after: u64) -> Vec<&Report> {
    world.reports.iter().filter(|(at, ..)| *at > after).map(|(.., report)| report).collect()
}

#[test]
fn a_proxy_that_connects_gets_the_link_and_all_that_is_held() {
    let mut controllers = one();
    controllers[0].1.update = merged(configured(4), merged(evacuated(5, "b"), instances(1, &["i-1"])));
    let mut world = World::new(&controllers, &[1], 1);
    world.run_until(1_000);
    assert_eq!(world.to_proxy, []);
    world.give(Input::ProxyConnected);
    let link = Link { in_quorum: true, shutting_down: false, controllers: vec![] };
    let held = controllers[0].1.update.clone();
    assert_eq!(world.to_proxy, [ToBalancer::Link(link), ToBalancer::Update(held)]);
}

#[test]
fn a_proxy_that_is_connected_gets_only_news() {
    let mut world = with_proxy(&one());
    world.update(1, configured(4));
    world.update(1, evacuated(5, "b"));
    world.update(1, configured(4));
    world.update(1, configured(3));
    world.run_until(1_000);
    assert_eq!(world.proxy_updates(), [configured(4), evacuated(5, "b")]);
}

#[test]
fn a_restarted_proxy_is_fed_without_a_controller() {
    let mut world = with_proxy(&one());
    world.update(1, configured(4));
    world.run_until(1_000);
    world.give(Input::ProxyClosed);
    world.set_mode(1, Mode::Silent);
    world.run_until(5_000);
    world.to_proxy.clear();
    world.give(Input::ProxyConnected);
    assert_eq!(world.proxy_updates(), [configured(4)]);
}

#[test]
fn reports_of_the_proxy_go_up_as_they_come() {
    let mut world = with_proxy(&one());
    world.update(1, configured(4));
    world.run_until(1_000);
    let applied = Versions { configured: 4, ..Versions::default() };
    world.give(Input::FromProxy(proxy_report(applied)));
    let (at, _, report) = world.reports.last().unwrap();
    assert_eq!((*at, report), (1_000, &proxy_report(applied)));
    assert!(world.notices.contains(&(1_000, Notice::Applied { configured: 4, evacuations: 0 })));
}

#[test]
fn without_a_proxy_the_agent_reports_that_none_is_ready() {
    let mut world = World::new(&one(), &[1], 1);
    world.run_until(3_000);
    let reports = reports_after(&world, 500);
    assert!((4..=6).contains(&reports.len()));
    assert!(reports.iter().all(|report| !report.ready && report.node == "edge-1"));
}

#[test]
fn the_end_of_the_proxy_is_reported_at_once() {
    let mut world = with_proxy(&one());
    world.run_until(1_000);
    world.give(Input::ProxyClosed);
    let (at, _, report) = world.reports.last().unwrap();
    assert_eq!((*at, report.ready, report.applied), (1_000, false, Versions::default()));
    assert_eq!(report.front, proxy_report(Versions::default()).front);
}

#[test]
fn a_proxy_that_stops_reporting_is_not_ready() {
    let mut world = with_proxy(&one());
    world.run_until(2_900);
    assert!(reports_after(&world, 100).is_empty());
    world.run_until(5_000);
    let reports = reports_after(&world, 2_900);
    assert!(!reports.is_empty() && reports.iter().all(|report| !report.ready));
    world.give(Input::FromProxy(proxy_report(Versions::default())));
    assert!(world.last_report().ready);
}

#[test]
fn what_the_agent_lacks_is_not_acknowledged_though_the_proxy_has_it() {
    let applied = Versions { configured: 4, instances: 9, ..Versions::default() };
    let mut world = World::new(&one(), &[1], 1);
    world.give(Input::ProxyConnected);
    world.give(Input::FromProxy(proxy_report(applied)));
    world.run_until(100);
    assert_eq!(world.last_report().applied, Versions::default());
    world.update(1, configured(4));
    world.run_until(200);
    assert_eq!(world.last_report().applied, Versions { configured: 4, ..Versions::default() });
}

#[test]
fn a_new_link_is_greeted_with_a_whole_report() {
    let mut world = with_proxy(&two());
    let applied = Versions { configured: 4, ..Versions::default() };
    world.update(1, configured(4));
    world.run_until(1_000);
    world.give(Input::FromProxy(proxy_report(applied)));
    world.set_mode(1, Mode::Down);
    world.run_until(1_100);
    let (_, at, report) = world.reports.last().unwrap();
    assert_eq!((*at, report), (endpoint(2), &proxy_report(applied)));
}

#[test]
fn a_controller_that_has_just_started_takes_no_instances_away_at_once() {
    let mut world = with_proxy(&two());
    run_reporting(&mut world, SETTLED, Versions::default());
    world.update(1, merged(instances(900, &["i-1", "i-2"]), fleet(900, 6)));
    run_reporting(&mut world, SETTLED + 500, Versions::default());
    world.controller(2).update = merged(instances(1, &["i-2", "i-3"]), fleet(1, 1));
    world.to_proxy.clear();
    world.set_mode(1, Mode::Down);
    run_reporting(&mut world, SETTLED + 1_500, Versions::default());
    assert_eq!(world.proxy_updates(), [merged(instances(1, &["i-2", "i-3", "i-1"]), fleet(1, 6))]);
    run_reporting(&mut world, SETTLED + 5_000, Versions::default());
    assert_eq!(world.proxy_updates()[1], merged(instances(1, &["i-2", "i-3"]), fleet(1, 1)));
}

#[test]
fn a_controller_without_a_quorum_adds_instances_and_takes_none_away() {
    let mut world = with_proxy(&one());
    run_reporting(&mut world, SETTLED, Versions::default());
    world.update(1, instances(5, &["i-1"]));
    run_reporting(&mut world, SETTLED + 500, Versions::default());
    world.controller(1).in_quorum = false;
    run_reporting(&mut world, SETTLED + 1_000, Versions::default());
    world.update(1, instances(6, &["i-2"]));
    run_reporting(&mut world, SETTLED + 10_000, Versions::default());
    assert_eq!(world.proxy_updates().last(), Some(&instances(6, &["i-2", "i-1"])));
    world.controller(1).in_quorum = true;
    run_reporting(&mut world, SETTLED + 11_000, Versions::default());
    assert_eq!(world.proxy_updates().last(), Some(&instances(6, &["i-2"])));
}

#[test]
fn the_proxy_is_told_when_the_quorum_is_lost_and_found() {
    let mut world = with_proxy(&one());
    run_reporting(&mut world, 1_000, Versions::default());
    world.to_proxy.clear();
    world.controller(1).in_quorum = false;
    run_reporting(&mut world, 2_000, Versions::default());
    world.controller(1).in_quorum = true;
    run_reporting(&mut world, 3_000, Versions::default());
    let mut told = world.to_proxy.clone();
    told.dedup();
    assert_eq!(told, [false, true].map(|in_quorum| ToBalancer::Link(Link { in_quorum, ..Link::default() })));
}

#[test]
fn a_proxy_that_reports_hears_of_the_link_every_second() {
    let mut world = with_proxy(&one());
    run_reporting(&mut world, 2_000, Versions::default());
    world.to_proxy.clear();
    run_reporting(&mut world, 12_000, Versions::default());
    let link = Link { in_quorum: true, ..Link::default() };
    assert_eq!(world.to_proxy, vec![ToBalancer::Link(link); 10]);
}

#[test]
fn an_agent_that_leaves_alone_does_not_speak_for_the_life_of_its_proxy() {
    let mut world = with_proxy(&one());
    world.run_until(1_000);
    world.give(Input::Terminate);
    assert!(world.last_report().shutting_down);
    assert_ne!(world.last_report().incarnation, proxy_report(Versions::default()).incarnation);
    world.give(Input::FromProxy(Report { shutting_down: true, ..proxy_report(Versions::default()) }));
    assert!(world.last_report().shutting_down);
    assert_eq!(world.last_report().incarnation, proxy_report(Versions::default()).incarnation);
}

#[test]
fn an_order_to_stop_is_reported_at_once_and_the_proxy_is_fed_on() {
    let mut world = with_proxy(&one());
    world.run_until(1_000);
    world.give(Input::Terminate);
    assert!(world.last_report().shutting_down && world.last_report().ready);
    run_reporting(&mut world, 3_000, Versions::default());
    world.update(1, configured(4));
    run_reporting(&mut world, 4_000, Versions::default());
    assert_eq!(world.proxy_updates(), [configured(4)]);
    assert!(world.last_report().shutting_down);
    assert_eq!(world.exited_at, None);
    world.give(Input::ProxyClosed);
    assert_eq!(world.exited_at, Some(4_000));
    assert!(world.last_report().shutting_down && !world.last_report().ready);
}

#[test]
fn the_agent_ends_within_the_grace_though_the_proxy_stays() {
    let mut world = with_proxy(&one());
    world.run_until(1_000);
    world.give(Input::Terminate);
    run_reporting(&mut world, 1_000 + GRACE_MS, Versions::default());
    let exited_at = world.exited_at.unwrap();
    assert!((GRACE_MS - 1_000..=GRACE_MS).contains(&exited_at), "{exited_at}");
}

#[test]
fn without_a_proxy_the_agent_ends_at_once() {
    let mut world = World::new(&one(), &[1], 1);
    world.run_until(1_000);
    world.give(Input::Terminate);
    assert_eq!(world.exited_at, Some(1_000));
    assert!(world.last_report().shutting_down);
}
