//! Deregistered instances, as an agent forwards them to its proxy.

mod common;

use common::{Harness, controller, endpoint, instance, instances, proxy_report};
use whinspindle_agent::Input;
use whinspindle_distribution::{Instance, Instances, Update, Versions};

/// Time after which the agent trusts the linked controller.
const TRUSTED_MS: u64 = 8_000;

fn list_with_deregistration(version: u64, active_id: &str, deregistered_id: &str) -> Update {
    let list = vec![instance(active_id), Instance::ended(deregistered_id.to_owned())];
    Update { instances: Some(Instances { version, list }), ..Update::default() }
}

fn newest_list(harness: &Harness) -> Vec<(String, bool)> {
    let updates = harness.proxy_updates();
    let list = updates.iter().rev().find_map(|update| update.instances.clone()).expect("a list").list;
    list.into_iter().map(|instance| (instance.id, instance.draining)).collect()
}

#[test]
fn a_deregistration_from_a_new_link_is_applied_at_once() {
    let mut harness =
        Harness::new(&[(1, controller("a", "north")), (2, controller("b", "north"))], &[1, 2], 1);
    harness.handle_input(Input::ProxyConnected);
    harness.handle_input(Input::FromProxy(proxy_report(Versions::default())));
    harness.run_until(TRUSTED_MS);
    harness.send_update(1, instances(900, &["i-1", "i-2"]));
    harness.run_until(TRUSTED_MS + 500);
    harness.controller(2).update = list_with_deregistration(1, "i-2", "i-1");
    harness.controller(1).in_quorum = false;
    harness.run_until(TRUSTED_MS + 2_500);
    assert_eq!(harness.connected_controllers(), [endpoint(2)]);
    assert_eq!(newest_list(&harness), [("i-2".to_owned(), false), ("i-1".to_owned(), true)]);
    harness.run_until(TRUSTED_MS + 7_000);
    assert_eq!(newest_list(&harness), [("i-2".to_owned(), false)], "the deregistration is not forwarded");
}
