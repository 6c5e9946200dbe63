//! Updates to the proxy, and reports to the controller.

mod common;

use common::{
    Controller, GRACE_MS, Harness, Mode, configured, controller, endpoint, evacuated, fleet, instances,
    proxy_report,
};
use whinspindle_agent::{Input, Notice};
use whinspindle_distribution::{Link, Report, ToBalancer, Update, Versions};

/// Time after which the agent trusts the linked controller.
const TRUSTED_MS: u64 = 8_000;

fn one_controller() -> Vec<(u8, Controller)> {
    vec![(1, controller("a", "north"))]
}

fn two_controllers() -> Vec<(u8, Controller)> {
    vec![(1, controller("a", "north")), (2, controller("b", "north"))]
}

fn harness_with_proxy(controllers: &[(u8, Controller)]) -> Harness {
    let mut harness = Harness::new(controllers, &[1], 1);
    harness.run_until(100);
    harness.handle_input(Input::ProxyConnected);
    harness.handle_input(Input::FromProxy(proxy_report(Versions::default())));
    harness
}

/// Runs the simulation with a proxy that reports these versions twice per second.
fn run_reporting(harness: &mut Harness, until: u64, applied: Versions) {
    while harness.now < until {
        harness.run_until((harness.now + 500).min(until));
        harness.handle_input(Input::FromProxy(proxy_report(applied)));
    }
}

fn merge(first: Update, second: Update) -> Update {
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
    let mut controllers = one_controller();
    controllers[0].1.update = merge(configured(4), merge(evacuated(5, "b"), instances(1, &["i-1"])));
    let mut harness = Harness::new(&controllers, &[1], 1);
    harness.run_until(1_000);
    assert_eq!(harness.proxy_messages, []);
    harness.handle_input(Input::ProxyConnected);
    let link = Link { in_quorum: true, shutting_down: false, controllers: vec![] };
    let sections = controllers[0].1.update.clone();
    assert_eq!(harness.proxy_messages, [ToBalancer::Link(link), ToBalancer::Update(sections)]);
}

#[test]
fn a_connected_proxy_gets_only_updates() {
    let mut harness = harness_with_proxy(&one_controller());
    harness.send_update(1, configured(4));
    harness.send_update(1, evacuated(5, "b"));
    harness.send_update(1, configured(4));
    harness.send_update(1, configured(3));
    harness.run_until(1_000);
    assert_eq!(harness.proxy_updates(), [configured(4), evacuated(5, "b")]);
}

#[test]
fn a_restarted_proxy_gets_all_sections_while_no_controller_responds() {
    let mut harness = harness_with_proxy(&one_controller());
    harness.send_update(1, configured(4));
    harness.run_until(1_000);
    harness.handle_input(Input::ProxyClosed);
    harness.set_mode(1, Mode::Silent);
    harness.run_until(5_000);
    harness.proxy_messages.clear();
    harness.handle_input(Input::ProxyConnected);
    assert_eq!(harness.proxy_updates(), [configured(4)]);
}

#[test]
fn proxy_reports_are_forwarded_at_once() {
    let mut harness = harness_with_proxy(&one_controller());
    harness.send_update(1, configured(4));
    harness.run_until(1_000);
    let applied = Versions { configured: 4, ..Versions::default() };
    harness.handle_input(Input::FromProxy(proxy_report(applied)));
    let (at, _, report) = harness.reports.last().unwrap();
    assert_eq!((*at, report), (1_000, &proxy_report(applied)));
    assert!(harness.notices.contains(&(1_000, Notice::Applied { configured: 4, evacuations: 0 })));
}

#[test]
fn an_agent_without_a_proxy_reports_not_ready() {
    let mut harness = Harness::new(&one_controller(), &[1], 1);
    harness.run_until(3_000);
    let reports = reports_after(&harness, 500);
    assert!((4..=6).contains(&reports.len()));
    assert!(reports.iter().all(|report| !report.ready && report.node == "edge-1"));
}

#[test]
fn a_proxy_disconnect_is_reported_at_once() {
    let mut harness = harness_with_proxy(&one_controller());
    harness.run_until(1_000);
    harness.handle_input(Input::ProxyClosed);
    let (at, _, report) = harness.reports.last().unwrap();
    assert_eq!((*at, report.ready, report.applied), (1_000, false, Versions::default()));
    assert_eq!(report.front, proxy_report(Versions::default()).front);
}

#[test]
fn a_proxy_that_stops_reporting_becomes_not_ready() {
    let mut harness = harness_with_proxy(&one_controller());
    harness.run_until(2_900);
    assert!(reports_after(&harness, 100).is_empty());
    harness.run_until(5_000);
    let reports = reports_after(&harness, 2_900);
    assert!(!reports.is_empty() && reports.iter().all(|report| !report.ready));
    harness.handle_input(Input::FromProxy(proxy_report(Versions::default())));
    assert!(harness.last_report().ready);
}

#[test]
fn sections_missing_from_the_agent_are_not_acknowledged() {
    let applied = Versions { configured: 4, instances: 9, ..Versions::default() };
    let mut harness = Harness::new(&one_controller(), &[1], 1);
    harness.handle_input(Input::ProxyConnected);
    harness.handle_input(Input::FromProxy(proxy_report(applied)));
    harness.run_until(100);
    assert_eq!(harness.last_report().applied, Versions::default());
    harness.send_update(1, configured(4));
    harness.run_until(200);
    assert_eq!(harness.last_report().applied, Versions { configured: 4, ..Versions::default() });
}

#[test]
fn a_new_link_gets_a_complete_report() {
    let mut harness = harness_with_proxy(&two_controllers());
    let applied = Versions { configured: 4, ..Versions::default() };
    harness.send_update(1, configured(4));
    harness.run_until(1_000);
    harness.handle_input(Input::FromProxy(proxy_report(applied)));
    harness.set_mode(1, Mode::Down);
    harness.run_until(1_100);
    let (_, at, report) = harness.reports.last().unwrap();
    assert_eq!((*at, report), (endpoint(2), &proxy_report(applied)));
}

#[test]
fn a_restarted_controller_removes_instances_only_once_trusted() {
    let mut harness = harness_with_proxy(&two_controllers());
    run_reporting(&mut harness, TRUSTED_MS, Versions::default());
    harness.send_update(1, merge(instances(900, &["i-1", "i-2"]), fleet(900, 6)));
    run_reporting(&mut harness, TRUSTED_MS + 500, Versions::default());
    harness.controller(2).update = merge(instances(1, &["i-2", "i-3"]), fleet(1, 1));
    harness.proxy_messages.clear();
    harness.set_mode(1, Mode::Down);
    run_reporting(&mut harness, TRUSTED_MS + 1_500, Versions::default());
    assert_eq!(harness.proxy_updates(), [merge(instances(1, &["i-2", "i-3", "i-1"]), fleet(1, 6))]);
    run_reporting(&mut harness, TRUSTED_MS + 5_000, Versions::default());
    assert_eq!(harness.proxy_updates()[1], merge(instances(1, &["i-2", "i-3"]), fleet(1, 1)));
}

#[test]
fn a_controller_without_a_quorum_adds_but_does_not_remove_instances() {
    let mut harness = harness_with_proxy(&one_controller());
    run_reporting(&mut harness, TRUSTED_MS, Versions::default());
    harness.send_update(1, instances(5, &["i-1"]));
    run_reporting(&mut harness, TRUSTED_MS + 500, Versions::default());
    harness.controller(1).in_quorum = false;
    run_reporting(&mut harness, TRUSTED_MS + 1_000, Versions::default());
    harness.send_update(1, instances(6, &["i-2"]));
    run_reporting(&mut harness, TRUSTED_MS + 10_000, Versions::default());
    assert_eq!(harness.proxy_updates().last(), Some(&instances(6, &["i-2", "i-1"])));
    harness.controller(1).in_quorum = true;
    run_reporting(&mut harness, TRUSTED_MS + 11_000, Versions::default());
    assert_eq!(harness.proxy_updates().last(), Some(&instances(6, &["i-2"])));
}

#[test]
fn the_proxy_is_notified_when_the_quorum_is_lost_and_regained() {
    let mut harness = harness_with_proxy(&one_controller());
    run_reporting(&mut harness, 1_000, Versions::default());
    harness.proxy_messages.clear();
    harness.controller(1).in_quorum = false;
    run_reporting(&mut harness, 2_000, Versions::default());
    harness.controller(1).in_quorum = true;
    run_reporting(&mut harness, 3_000, Versions::default());
    let mut links = harness.proxy_messages.clone();
    links.dedup();
    assert_eq!(links, [false, true].map(|in_quorum| ToBalancer::Link(Link { in_quorum, ..Link::default() })));
}

#[test]
fn a_reporting_proxy_gets_the_link_every_second() {
    let mut harness = harness_with_proxy(&one_controller());
    run_reporting(&mut harness, 2_000, Versions::default());
    harness.proxy_messages.clear();
    run_reporting(&mut harness, 12_000, Versions::default());
    let link = Link { in_quorum: true, ..Link::default() };
    assert_eq!(harness.proxy_messages, vec![ToBalancer::Link(link); 10]);
}

#[test]
fn a_shutdown_of_the_agent_alone_does_not_report_the_incarnation_of_the_proxy() {
    let mut harness = harness_with_proxy(&one_controller());
    harness.run_until(1_000);
    harness.handle_input(Input::Terminate);
    assert!(harness.last_report().shutting_down);
    assert_ne!(harness.last_report().incarnation, proxy_report(Versions::default()).incarnation);
    harness
        .handle_input(Input::FromProxy(Report { shutting_down: true, ..proxy_report(Versions::default()) }));
    assert!(harness.last_report().shutting_down);
    assert_eq!(harness.last_report().incarnation, proxy_report(Versions::default()).incarnation);
}

#[test]
fn a_shutdown_is_reported_at_once_and_the_proxy_gets_further_updates() {
    let mut harness = harness_with_proxy(&one_controller());
    harness.run_until(1_000);
    harness.handle_input(Input::Terminate);
    assert!(harness.last_report().shutting_down && harness.last_report().ready);
    run_reporting(&mut harness, 3_000, Versions::default());
    harness.send_update(1, configured(4));
    run_reporting(&mut harness, 4_000, Versions::default());
    assert_eq!(harness.proxy_updates(), [configured(4)]);
    assert!(harness.last_report().shutting_down);
    assert_eq!(harness.exited_at, None);
    harness.handle_input(Input::ProxyClosed);
    assert_eq!(harness.exited_at, Some(4_000));
    assert!(harness.last_report().shutting_down && !harness.last_report().ready);
}

#[test]
fn the_agent_exits_within_the_grace_period_if_the_proxy_stays() {
    let mut harness = harness_with_proxy(&one_controller());
    harness.run_until(1_000);
    harness.handle_input(Input::Terminate);
    run_reporting(&mut harness, 1_000 + GRACE_MS, Versions::default());
    let exited_at = harness.exited_at.unwrap();
    assert!((GRACE_MS - 1_000..=GRACE_MS).contains(&exited_at), "{exited_at}");
}

#[test]
fn an_agent_without_a_proxy_exits_at_once() {
    let mut harness = Harness::new(&one_controller(), &[1], 1);
    harness.run_until(1_000);
    harness.handle_input(Input::Terminate);
    assert_eq!(harness.exited_at, Some(1_000));
    assert!(harness.last_report().shutting_down);
}
