//! Incremental changes of the endpoint list, as the agent forwards them to its proxy.

mod common;

use common::{Harness, controller, endpoint, instance, instances, proxy_report};
use whinspindle_agent::Input;
use whinspindle_distribution::{Instance, InstanceChanges, Update, Versions};

/// Time after which the agent trusts the linked controller.
const TRUSTED_MS: u64 = 8_000;

fn changes(base: u64, version: u64, changed: Vec<Instance>, removed: &[&str]) -> Update {
    let removed = removed.iter().map(|id| (*id).to_owned()).collect();
    Update { changes: Some(InstanceChanges { base, version, changed, removed }), ..Update::default() }
}

/// Returns the ids in the newest list of the proxy, and whether the instances drain.
fn newest_list(harness: &Harness) -> Vec<(String, bool)> {
    let updates = harness.proxy_updates();
    let list = updates.iter().rev().find_map(|update| update.instances.clone()).expect("a list").list;
    list.into_iter().map(|instance| (instance.id, instance.draining)).collect()
}

fn ids(harness: &Harness) -> Vec<String> {
    newest_list(harness).into_iter().map(|(id, _)| id).collect()
}

fn send_update(harness: &mut Harness, update: Update) {
    harness.send_update(1, update);
    harness.run_until(harness.now + 50);
}

fn trusted_harness() -> Harness {
    let mut harness =
        Harness::new(&[(1, controller("a", "north")), (2, controller("b", "north"))], &[1, 2], 1);
    harness.handle_input(Input::ProxyConnected);
    harness.handle_input(Input::FromProxy(proxy_report(Versions::default())));
    harness.run_until(TRUSTED_MS);
    send_update(&mut harness, instances(900, &["i-1", "i-2"]));
    harness
}

#[test]
fn changes_are_applied_to_the_previous_list() {
    let mut harness = trusted_harness();
    send_update(&mut harness, changes(900, 901, vec![instance("i-3")], &["i-1"]));
    assert_eq!(ids(&harness), ["i-2", "i-3"]);
    send_update(&mut harness, changes(901, 903, vec![Instance { draining: true, ..instance("i-2") }], &[]));
    assert_eq!(newest_list(&harness), [("i-2".to_owned(), true), ("i-3".to_owned(), false)]);
    assert!(
        harness.proxy_updates().iter().all(|update| update.changes.is_none()),
        "the proxy receives only complete lists"
    );
}

#[test]
fn changes_of_another_list_are_dropped_until_a_complete_list_arrives() {
    let mut harness = trusted_harness();
    let update_count = harness.proxy_updates().len();
    send_update(&mut harness, changes(901, 902, vec![instance("i-3")], &["i-1"]));
    assert_eq!(harness.proxy_updates().len(), update_count, "changes of another list are dropped");
    send_update(&mut harness, instances(902, &["i-2", "i-3"]));
    assert_eq!(ids(&harness), ["i-2", "i-3"]);
    send_update(&mut harness, changes(902, 905, vec![], &["i-3"]));
    assert_eq!(ids(&harness), ["i-2"]);
}

#[test]
fn a_deregistration_within_changes_is_applied() {
    let mut harness = trusted_harness();
    send_update(&mut harness, changes(900, 901, vec![Instance::ended("i-1".to_owned())], &["i-1"]));
    assert_eq!(ids(&harness), ["i-2"]);
    send_update(&mut harness, instances(902, &["i-1", "i-2"]));
    assert_eq!(
        newest_list(&harness),
        [("i-1".to_owned(), true), ("i-2".to_owned(), false)],
        "a deregistered instance stays retired"
    );
}

/// Each controller numbers its lists on its own, so that equal versions of two controllers are different
/// lists.
#[test]
fn changes_are_not_applied_to_the_list_of_another_controller() {
    let mut harness = trusted_harness();
    harness.controller(2).update = changes(900, 901, vec![instance("i-9")], &["i-1", "i-2"]);
    harness.controller(1).in_quorum = false;
    harness.run_until(TRUSTED_MS + 6_500);
    assert_eq!(harness.connected_controllers(), [endpoint(2)]);
    assert_eq!(ids(&harness), ["i-1", "i-2"]);
}
