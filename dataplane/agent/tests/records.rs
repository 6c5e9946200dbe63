//! Which configuration and evacuations an agent takes from a controller that may know old ones alone.

mod common;

use common::{World, configured, controller, endpoint, evacuated, proxy_report};
use whinspindle_agent::Input;
use whinspindle_distribution::{Update, Versions};

/// An agent that has nothing waits so long for a controller in a quorum.
const RECORDS_PATIENCE_MS: u64 = 3_000;

fn with_proxy(controllers: &[(u8, common::Controller)], seeds: &[u8]) -> World {
    let mut world = World::new(controllers, seeds, 1);
    world.give(Input::ProxyConnected);
    world.give(Input::FromProxy(proxy_report(Versions::default())));
    world
}

fn cut_off(update: Update) -> common::Controller {
    common::Controller { in_quorum: false, update, ..controller("a", "north") }
}

fn applied(sequence: u64) -> Versions {
    Versions { configured: sequence, ..Versions::default() }
}

#[test]
fn an_agent_without_records_waits_for_a_controller_in_a_quorum() {
    let newest = common::Controller { update: configured(13), ..controller("b", "north") };
    let mut world = with_proxy(&[(1, cut_off(configured(10))), (2, newest)], &[1]);
    world.run_until(RECORDS_PATIENCE_MS + 1_000);
    assert_eq!(world.linked_to(), [endpoint(2)]);
    assert_eq!(world.proxy_updates(), [configured(13)], "never the old one");
}

#[test]
fn with_a_cut_off_controller_alone_its_records_are_taken_after_a_while() {
    let old = Update { evacuations: evacuated(9, "b").evacuations, ..configured(10) };
    let mut world = with_proxy(&[(1, cut_off(old.clone()))], &[1]);
    world.run_until(RECORDS_PATIENCE_MS - 100);
    assert_eq!(world.proxy_updates(), []);
    world.run_until(RECORDS_PATIENCE_MS + 100);
    assert_eq!(world.proxy_updates(), [old]);
}

#[test]
fn records_that_wait_are_taken_once_their_controller_is_in_a_quorum() {
    let mut world = with_proxy(&[(1, cut_off(configured(10)))], &[1]);
    world.run_until(1_000);
    assert_eq!(world.proxy_updates(), []);
    world.controller(1).in_quorum = true;
    world.run_until(1_400);
    assert_eq!(world.proxy_updates(), [configured(10)]);
}

#[test]
fn an_agent_that_holds_records_takes_newer_ones_from_any_controller() {
    let mut world = with_proxy(&[(1, controller("a", "north"))], &[1]);
    world.run_until(500);
    world.update(1, configured(10));
    world.run_until(1_000);
    world.controller(1).in_quorum = false;
    world.run_until(1_500);
    world.update(1, configured(11));
    world.update(1, configured(9));
    world.run_until(1_600);
    assert_eq!(world.proxy_updates(), [configured(10), configured(11)]);
}

#[test]
fn a_restarted_agent_takes_nothing_older_than_its_proxy_has_in_force() {
    let mut world = with_proxy(&[(1, cut_off(configured(10)))], &[1]);
    world.give(Input::FromProxy(proxy_report(applied(13))));
    world.run_until(RECORDS_PATIENCE_MS + 1_000);
    world.give(Input::ProxyClosed);
    world.give(Input::ProxyConnected);
    world.run_until(RECORDS_PATIENCE_MS + 2_000);
    assert_eq!(world.proxy_updates(), [], "the restarted proxy had 13 before");
    world.controller(1).in_quorum = true;
    world.update(1, configured(13));
    world.run_until(RECORDS_PATIENCE_MS + 3_000);
    assert_eq!(world.proxy_updates(), [configured(13)]);
}
