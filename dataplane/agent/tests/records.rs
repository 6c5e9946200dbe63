//! Configurations and evacuations of controllers that may have only old ones.

mod common;

use common::{Harness, configured, controller, endpoint, evacuated, proxy_report};
use whinspindle_agent::Input;
use whinspindle_distribution::{Update, Versions};

/// An agent without records waits this long for a controller in a quorum.
const RECORDS_PATIENCE_MS: u64 = 3_000;

fn with_proxy(controllers: &[(u8, common::Controller)], seeds: &[u8]) -> Harness {
    let mut harness = Harness::new(controllers, seeds, 1);
    harness.give(Input::ProxyConnected);
    harness.give(Input::FromProxy(proxy_report(Versions::default())));
    harness
}

fn partitioned(update: Update) -> common::Controller {
    common::Controller { in_quorum: false, update, ..controller("a", "north") }
}

fn applied(sequence: u64) -> Versions {
    Versions { configured: sequence, ..Versions::default() }
}

#[test]
fn an_agent_without_records_waits_for_a_controller_in_a_quorum() {
    let newest = common::Controller { update: configured(13), ..controller("b", "north") };
    let mut harness = with_proxy(&[(1, partitioned(configured(10))), (2, newest)], &[1]);
    harness.run_until(RECORDS_PATIENCE_MS + 1_000);
    assert_eq!(harness.linked_to(), [endpoint(2)]);
    assert_eq!(harness.proxy_updates(), [configured(13)], "never the old one");
}

#[test]
fn with_a_partitioned_controller_alone_its_records_are_taken_after_a_wait() {
    let old = Update { evacuations: evacuated(9, "b").evacuations, ..configured(10) };
    let mut harness = with_proxy(&[(1, partitioned(old.clone()))], &[1]);
    harness.run_until(RECORDS_PATIENCE_MS - 100);
    assert_eq!(harness.proxy_updates(), []);
    harness.run_until(RECORDS_PATIENCE_MS + 100);
    assert_eq!(harness.proxy_updates(), [old]);
}

#[test]
fn pending_records_are_taken_once_their_controller_is_in_a_quorum() {
    let mut harness = with_proxy(&[(1, partitioned(configured(10)))], &[1]);
    harness.run_until(1_000);
    assert_eq!(harness.proxy_updates(), []);
    harness.controller(1).in_quorum = true;
    harness.run_until(1_400);
    assert_eq!(harness.proxy_updates(), [configured(10)]);
}

#[test]
fn an_agent_with_records_takes_newer_ones_from_any_controller() {
    let mut harness = with_proxy(&[(1, controller("a", "north"))], &[1]);
    harness.run_until(500);
    harness.update(1, configured(10));
    harness.run_until(1_000);
    harness.controller(1).in_quorum = false;
    harness.run_until(1_500);
    harness.update(1, configured(11));
    harness.update(1, configured(9));
    harness.run_until(1_600);
    assert_eq!(harness.proxy_updates(), [configured(10), configured(11)]);
}

#[test]
fn a_restarted_agent_takes_nothing_older_than_its_proxy_has_in_force() {
    let mut harness = with_proxy(&[(1, partitioned(configured(10)))], &[1]);
    harness.give(Input::FromProxy(proxy_report(applied(13))));
    harness.run_until(RECORDS_PATIENCE_MS + 1_000);
    harness.give(Input::ProxyClosed);
    harness.give(Input::ProxyConnected);
    harness.run_until(RECORDS_PATIENCE_MS + 2_000);
    assert_eq!(harness.proxy_updates(), [], "the restarted proxy had 13 before");
    harness.controller(1).in_quorum = true;
    harness.update(1, configured(13));
    harness.run_until(RECORDS_PATIENCE_MS + 3_000);
    assert_eq!(harness.proxy_updates(), [configured(13)]);
}
