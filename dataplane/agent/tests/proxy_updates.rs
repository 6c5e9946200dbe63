//! Updates to the proxy, and reports of it to the controller.

mod common;

use common::{
    Controller, GRACE_MS, Harness, Mode, configured, controller, endpoint, evacuated, fleet, instances,
    proxy_report,
};
use whinspindle_agent::{Input, Notice};
use whinspindle_distribution::{Link, Report, ToBalancer, Update, Versions};

/// Long enough for the agent to trust the controller of its link.
const TRUSTED_MS: u64 = 8_000;

fn one() -> Vec<(u8, Controller)> {
    vec![(1, controller("a", "north"))]
}

fn two() -> Vec<(u8, Controller)> {
    vec![(1, controller("a", "north")), (2, controller("b", "north"))]
}

fn with_proxy(controllers: &[(u8, Controller)]) -> Harness {
    let mut harness = Harness::new(controllers, &[1], 1);
    harness.run_until(100);
    harness.give(Input::ProxyConnected);
    harness.give(Input::FromProxy(proxy_report(Versions::default())));
    harness
}

/// Plays with a proxy that reports these versions twice a second.
fn run_reporting(harness: &mut Harness, until: u64, applied: Versions) {
    while harness.now < until {
        harness.run_until((harness.now + 500).min(until));
        harness.give(Input::FromProxy(proxy_report(applied)));
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

fn reports_after(harness: &Harness, after: u64) -> Vec<&Report> {
    harness.reports.iter().filter(|(at, ..)| *at > after).map(|(.., report)| report).collect()
}

#[test]
fn a_proxy_that_connects_gets_the_link_and_all_sections() {
    let mut controllers = one();
    controllers[0].1.update = merged(configured(4), merged(evacuated(5, "b"), instances(1, &["i-1"])));
    let mut harness = Harness::new(&controllers, &[1], 1);
    harness.run_until(1_000);
    assert_eq!(harness.to_proxy, []);
    harness.give(Input::ProxyConnected);
    let link = Link { in_quorum: true, shutting_down: false, controllers: vec![] };
    let held = controllers[0].1.update.clone();
    assert_eq!(harness.to_proxy, [ToBalancer::Link(link), ToBalancer::Update(held)]);
}

#[test]
fn a_connected_proxy_gets_only_updates() {
    let mut harness = with_proxy(&one());
    harness.update(1, configured(4));
    harness.update(1, evacuated(5, "b"));
    harness.update(1, configured(4));
    harness.update(1, configured(3));
    harness.run_until(1_000);
    assert_eq!(harness.proxy_updates(), [configured(4), evacuated(5, "b")]);
}

#[test]
fn a_restarted_proxy_gets_all_sections_without_a_controller() {
    let mut harness = with_proxy(&one());
    harness.update(1, configured(4));
    harness.run_until(1_000);
    harness.give(Input::ProxyClosed);
    harness.set_mode(1, Mode::Silent);
    harness.run_until(5_000);
    harness.to_proxy.clear();
    harness.give(Input::ProxyConnected);
    assert_eq!(harness.proxy_updates(), [configured(4)]);
}

#[test]
fn reports_of_the_proxy_are_forwarded_as_they_arrive() {
    let mut harness = with_proxy(&one());
    harness.update(1, configured(4));
    harness.run_until(1_000);
    let applied = Versions { configured: 4, ..Versions::default() };
    harness.give(Input::FromProxy(proxy_report(applied)));
    let (at, _, report) = harness.reports.last().unwrap();
    assert_eq!((*at, report), (1_000, &proxy_report(applied)));
    assert!(harness.notices.contains(&(1_000, Notice::Applied { configured: 4, evacuations: 0 })));
}

#[test]
fn without_a_proxy_the_agent_reports_that_none_is_ready() {
    let mut harness = Harness::new(&one(), &[1], 1);
    harness.run_until(3_000);
    let reports = reports_after(&harness, 500);
    assert!((4..=6).contains(&reports.len()));
    assert!(reports.iter().all(|report| !report.ready && report.node == "edge-1"));
}

#[test]
fn the_end_of_the_proxy_is_reported_at_once() {
    let mut harness = with_proxy(&one());
    harness.run_until(1_000);
    harness.give(Input::ProxyClosed);
    let (at, _, report) = harness.reports.last().unwrap();
    assert_eq!((*at, report.ready, report.applied), (1_000, false, Versions::default()));
    assert_eq!(report.front, proxy_report(Versions::default()).front);
}

#[test]
fn a_proxy_that_stops_reporting_is_not_ready() {
    let mut harness = with_proxy(&one());
    harness.run_until(2_900);
    assert!(reports_after(&harness, 100).is_empty());
    harness.run_until(5_000);
    let reports = reports_after(&harness, 2_900);
    assert!(!reports.is_empty() && reports.iter().all(|report| !report.ready));
    harness.give(Input::FromProxy(proxy_report(Versions::default())));
    assert!(harness.last_report().ready);
}

#[test]
fn sections_that_the_agent_lacks_are_not_acknowledged() {
    let applied = Versions { configured: 4, instances: 9, ..Versions::default() };
    let mut harness = Harness::new(&one(), &[1], 1);
    harness.give(Input::ProxyConnected);
    harness.give(Input::FromProxy(proxy_report(applied)));
    harness.run_until(100);
    assert_eq!(harness.last_report().applied, Versions::default());
    harness.update(1, configured(4));
    harness.run_until(200);
    assert_eq!(harness.last_report().applied, Versions { configured: 4, ..Versions::default() });
}

#[test]
fn a_new_link_gets_a_complete_report() {
    let mut harness = with_proxy(&two());
    let applied = Versions { configured: 4, ..Versions::default() };
    harness.update(1, configured(4));
    harness.run_until(1_000);
    harness.give(Input::FromProxy(proxy_report(applied)));
    harness.set_mode(1, Mode::Down);
    harness.run_until(1_100);
    let (_, at, report) = harness.reports.last().unwrap();
    assert_eq!((*at, report), (endpoint(2), &proxy_report(applied)));
}

#[test]
fn a_controller_that_has_just_started_removes_no_instances_at_once() {
    let mut harness = with_proxy(&two());
    run_reporting(&mut harness, TRUSTED_MS, Versions::default());
    harness.update(1, merged(instances(900, &["i-1", "i-2"]), fleet(900, 6)));
    run_reporting(&mut harness, TRUSTED_MS + 500, Versions::default());
    harness.controller(2).update = merged(instances(1, &["i-2", "i-3"]), fleet(1, 1));
    harness.to_proxy.clear();
    harness.set_mode(1, Mode::Down);
    run_reporting(&mut harness, TRUSTED_MS + 1_500, Versions::default());
    assert_eq!(harness.proxy_updates(), [merged(instances(1, &["i-2", "i-3", "i-1"]), fleet(1, 6))]);
    run_reporting(&mut harness, TRUSTED_MS + 5_000, Versions::default());
    assert_eq!(harness.proxy_updates()[1], merged(instances(1, &["i-2", "i-3"]), fleet(1, 1)));
}

#[test]
fn a_controller_without_a_quorum_adds_instances_and_removes_none() {
    let mut harness = with_proxy(&one());
    run_reporting(&mut harness, TRUSTED_MS, Versions::default());
    harness.update(1, instances(5, &["i-1"]));
    run_reporting(&mut harness, TRUSTED_MS + 500, Versions::default());
    harness.controller(1).in_quorum = false;
    run_reporting(&mut harness, TRUSTED_MS + 1_000, Versions::default());
    harness.update(1, instances(6, &["i-2"]));
    run_reporting(&mut harness, TRUSTED_MS + 10_000, Versions::default());
    assert_eq!(harness.proxy_updates().last(), Some(&instances(6, &["i-2", "i-1"])));
    harness.controller(1).in_quorum = true;
    run_reporting(&mut harness, TRUSTED_MS + 11_000, Versions::default());
    assert_eq!(harness.proxy_updates().last(), Some(&instances(6, &["i-2"])));
}

#[test]
fn the_proxy_is_notified_when_the_quorum_is_lost_and_regained() {
    let mut harness = with_proxy(&one());
    run_reporting(&mut harness, 1_000, Versions::default());
    harness.to_proxy.clear();
    harness.controller(1).in_quorum = false;
    run_reporting(&mut harness, 2_000, Versions::default());
    harness.controller(1).in_quorum = true;
    run_reporting(&mut harness, 3_000, Versions::default());
    let mut links = harness.to_proxy.clone();
    links.dedup();
    assert_eq!(links, [false, true].map(|in_quorum| ToBalancer::Link(Link { in_quorum, ..Link::default() })));
}

#[test]
fn a_proxy_that_reports_gets_the_link_every_second() {
    let mut harness = with_proxy(&one());
    run_reporting(&mut harness, 2_000, Versions::default());
    harness.to_proxy.clear();
    run_reporting(&mut harness, 12_000, Versions::default());
    let link = Link { in_quorum: true, ..Link::default() };
    assert_eq!(harness.to_proxy, vec![ToBalancer::Link(link); 10]);
}

#[test]
fn an_agent_that_shuts_down_alone_does_not_report_the_incarnation_of_its_proxy() {
    let mut harness = with_proxy(&one());
    harness.run_until(1_000);
    harness.give(Input::Terminate);
    assert!(harness.last_report().shutting_down);
    assert_ne!(harness.last_report().incarnation, proxy_report(Versions::default()).incarnation);
    harness.give(Input::FromProxy(Report { shutting_down: true, ..proxy_report(Versions::default()) }));
    assert!(harness.last_report().shutting_down);
    assert_eq!(harness.last_report().incarnation, proxy_report(Versions::default()).incarnation);
}

#[test]
fn a_shutdown_is_reported_at_once_and_the_proxy_gets_further_updates() {
    let mut harness = with_proxy(&one());
    harness.run_until(1_000);
    harness.give(Input::Terminate);
    assert!(harness.last_report().shutting_down && harness.last_report().ready);
    run_reporting(&mut harness, 3_000, Versions::default());
    harness.update(1, configured(4));
    run_reporting(&mut harness, 4_000, Versions::default());
    assert_eq!(harness.proxy_updates(), [configured(4)]);
    assert!(harness.last_report().shutting_down);
    assert_eq!(harness.exited_at, None);
    harness.give(Input::ProxyClosed);
    assert_eq!(harness.exited_at, Some(4_000));
    assert!(harness.last_report().shutting_down && !harness.last_report().ready);
}

#[test]
fn the_agent_ends_within_the_grace_period_though_the_proxy_stays() {
    let mut harness = with_proxy(&one());
    harness.run_until(1_000);
    harness.give(Input::Terminate);
    run_reporting(&mut harness, 1_000 + GRACE_MS, Versions::default());
    let exited_at = harness.exited_at.unwrap();
    assert!((GRACE_MS - 1_000..=GRACE_MS).contains(&exited_at), "{exited_at}");
}

#[test]
fn without_a_proxy_the_agent_ends_at_once() {
    let mut harness = Harness::new(&one(), &[1], 1);
    harness.run_until(1_000);
    harness.give(Input::Terminate);
    assert_eq!(harness.exited_at, Some(1_000));
    assert!(harness.last_report().shutting_down);
}
