//! Instances that a controller tells by changes, as the agent passes them on to its proxy.

mod common;

use common::{World, controller, endpoint, instance, instances, proxy_report};
use whinspindle_agent::Input;
use whinspindle_distribution::{Instance, InstanceChanges, Update, Versions};

/// Long enough for the agent to settle with its controller.
const SETTLED: u64 = 8_000;

fn changes(base: u64, version: u64, changed: Vec<Instance>, removed: &[&str]) -> Update {
    let removed = removed.iter().map(|id| (*id).to_owned()).collect();
    Update { changes: Some(InstanceChanges { base, version, changed, removed }), ..Update::default() }
}

/// The newest list of the proxy, as ids and whether they drain.
fn newest_list(world: &World) -> Vec<(String, bool)> {
    let updates = world.proxy_updates();
    let list = updates.iter().rev().find_map(|update| update.instances.clone()).expect("a list").list;
    list.into_iter().map(|instance| (instance.id, instance.draining)).collect()
}

fn ids(world: &World) -> Vec<String> {
    newest_list(world).into_iter().map(|(id, _)| id).collect()
}

fn tell(world: &mut World, update: Update) {
    world.update(1, update);
    world.run_until(world.now + 50);
}

fn settled() -> World {
    let mut world = World::new(&[(1, controller("a", "north")), (2, controller("b", "north"))], &[1, 2], 1);
    world.give(Input::ProxyConnected);
    world.give(Input::FromProxy(proxy_report(Versions::default())));
    world.run_until(SETTLED);
    tell(&mut world, instances(900, &["i-1", "i-2"]));
    world
}

#[test]
fn changes_are_put_into_the_list_before() {
    let mut world = settled();
    tell(&mut world, changes(900, 901, vec![instance("i-3")], &["i-1"]));
    assert_eq!(ids(&world), ["i-2", "i-3"]);
    tell(&mut world, changes(901, 903, vec![Instance { draining: true, ..instance("i-2") }], &[]));
    assert_eq!(newest_list(&world), [("i-2".to_owned(), true), ("i-3".to_owned(), false)]);
    assert!(
        world.proxy_updates().iter().all(|update| update.changes.is_none()),
        "a proxy is told whole lists"
    );
}

#[test]
fn changes_of_another_list_are_dropped_until_the_whole_one_comes() {
    let mut world = settled();
    let told = world.proxy_updates().len();
    tell(&mut world, changes(901, 902, vec![instance("i-3")], &["i-1"]));
    assert_eq!(world.proxy_updates().len(), told, "a frame between was lost");
    tell(&mut world, instances(902, &["i-2", "i-3"]));
    assert_eq!(ids(&world), ["i-2", "i-3"]);
    tell(&mut world, changes(902, 905, vec![], &["i-3"]));
    assert_eq!(ids(&world), ["i-2"]);
}

#[test]
fn an_end_that_is_told_by_a_change_is_taken() {
    let mut world = settled();
    tell(&mut world, changes(900, 901, vec![Instance::ended("i-1".to_owned())], &["i-1"]));
    assert_eq!(ids(&world), ["i-2"]);
    tell(&mut world, instances(902, &["i-1", "i-2"]));
    assert_eq!(newest_list(&world), [("i-1".to_owned(), true), ("i-2".to_owned(), false)], "it stays ended");
}

/// Numbers of lists are each controller's own.
#[test]
fn changes_of_another_controller_are_not_put_into_the_list_of_the_one_before() {
    let mut world = settled();
    world.controller(2).update = changes(900, 901, vec![instance("i-9")], &["i-1", "i-2"]);
    world.controller(1).in_quorum = false;
    world.run_until(SETTLED + 6_500);
    assert_eq!(world.linked_to(), [endpoint(2)]);
    assert_eq!(ids(&world), ["i-1", "i-2"]);
}
