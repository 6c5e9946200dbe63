//! Ends of upstreams, as an agent passes them on to its proxy.

mod common;

use common::{World, controller, endpoint, instance, instances, proxy_report};
use whinspindle_agent::Input;
use whinspindle_distribution::{Instance, Instances, Update, Versions};

/// Long enough for the agent to settle with its controller.
const SETTLED: u64 = 8_000;

fn with_end(version: u64, lives: &str, ended: &str) -> Update {
    let list = vec![instance(lives), Instance::ended(ended.to_owned())];
    Update { instances: Some(Instances { version, list }), ..Update::default() }
}

fn newest_list(world: &World) -> Vec<(String, bool)> {
    let updates = world.proxy_updates();
    let list = updates.iter().rev().find_map(|update| update.instances.clone()).expect("a list").list;
    list.into_iter().map(|instance| (instance.id, instance.draining)).collect()
}

#[test]
fn an_end_is_taken_at_once_from_a_controller_that_has_just_become_the_link() {
    let mut world = World::new(&[(1, controller("a", "north")), (2, controller("b", "north"))], &[1, 2], 1);
    world.give(Input::ProxyConnected);
    world.give(Input::FromProxy(proxy_report(Versions::default())));
    world.run_until(SETTLED);
    world.update(1, instances(900, &["i-1", "i-2"]));
    world.run_until(SETTLED + 500);
    world.controller(2).update = with_end(1, "i-2", "i-1");
    world.controller(1).in_quorum = false;
    world.run_until(SETTLED + 2_500);
    assert_eq!(world.linked_to(), [endpoint(2)]);
    assert_eq!(newest_list(&world), [("i-2".to_owned(), false), ("i-1".to_owned(), true)]);
    world.run_until(SETTLED + 7_000);
    assert_eq!(newest_list(&world), [("i-2".to_owned(), false)], "the end itself is not passed on");
}
