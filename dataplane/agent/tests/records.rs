//! Configurations and evacuations from controllers with possibly old records.

mod common;

use common::{Harness, configured, controller, endpoint, evacuated, proxy_report};
use whinspindle_agent::Input;
use whinspindle_distribution::{Update, Versions};

/// Time for which an agent without records waits for a controller in a quorum.
const RECORDS_WAIT_MS: u64 = 3_000;

fn harness_with_proxy(controllers: &[(u8, common::Controller)], seeds: &[u8]) -> Harness {
    let mut harness = Harness::new(controllers, seeds, 1);
    harness.handle_input(Input::ProxyConnected);
    harness.handle_input(Input::FromProxy(proxy_report(Versions::default())));
    harness
}

fn partitioned_controller(update: Update) -> common::Controller {
    common::Controller { in_quorum: false, update, ..controller("a", "north") }
}

fn configured_version(sequence: u64) -> Versions {
    Versions { configured: sequence, ..Versions::default() }
}

#[test]
fn an_agent_without_records_waits_for_a_controller_in_a_quorum() {
    let newest = common::Controller { update: configured(13), ..controller("b", "north") };
    let mut harness = harness_with_proxy(&[(1, partitioned_controller(configured(10))), (2, newest)], &[1]);
    harness.run_until(RECORDS_WAIT_MS + 1_000);
    assert_eq!(harness.connected_controllers(), [endpoint(2)]);
    assert_eq!(harness.proxy_updates(), [configured(13)], "the old configuration is never applied");
}

#[test]
fn records_of_a_single_partitioned_controller_are_accepted_after_a_wait() {
    let old_records = Update { evacuations: evacuated(9, "b").evacuations, ..configured(10) };
    let mut harness = harness_with_proxy(&[(1, partitioned_controller(old_records.clone()))], &[1]);
    harness.run_until(RECORDS_WAIT_MS - 100);
    assert_eq!(harness.proxy_updates(), []);
    harness.run_until(RECORDS_WAIT_MS + 100);
    assert_eq!(harness.proxy_updates(), [old_records]);
}

#[test]
fn pending_records_are_accepted_once_the_controller_is_in_a_quorum() {
    let mut harness = harness_with_proxy(&[(1, partitioned_controller(configured(10)))], &[1]);
    harness.run_until(1_000);
    assert_eq!(harness.proxy_updates(), []);
    harness.controller(1).in_quorum = true;
    harness.run_until(1_400);
    assert_eq!(harness.proxy_updates(), [configured(10)]);
}

#[test]
fn an_agent_with_records_accepts_newer_records_from_any_controller() {
    let mut harness = harness_with_proxy(&[(1, controller("a", "north"))], &[1]);
    harness.run_until(500);
    harness.send_update(1, configured(10));
    harness.run_until(1_000);
    harness.controller(1).in_quorum = false;
    harness.run_until(1_500);
    harness.send_update(1, configured(11));
    harness.send_update(1, configured(9));
    harness.run_until(1_600);
    assert_eq!(harness.proxy_updates(), [configured(10), configured(11)]);
}

#[test]
fn a_restarted_agent_rejects_records_older_than_those_of_its_proxy() {
    let mut harness = harness_with_proxy(&[(1, partitioned_controller(configured(10)))], &[1]);
    harness.handle_input(Input::FromProxy(proxy_report(configured_version(13))));
    harness.run_until(RECORDS_WAIT_MS + 1_000);
    harness.handle_input(Input::ProxyClosed);
    harness.handle_input(Input::ProxyConnected);
    harness.run_until(RECORDS_WAIT_MS + 2_000);
    assert_eq!(harness.proxy_updates(), [], "the proxy had applied 13 before its restart");
    harness.controller(1).in_quorum = true;
    harness.send_update(1, configured(13));
    harness.run_until(RECORDS_WAIT_MS + 3_000);
    assert_eq!(harness.proxy_updates(), [configured(13)]);
}
