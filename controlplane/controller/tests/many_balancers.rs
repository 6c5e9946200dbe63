//! What a controller sends when very many balancers and upstreams come together, and what it sends again to peers.

mod common;

use common::*;
use whinspindle_configuration::InstanceState::Ready;
use whinspindle_controller::Event;
use whinspindle_distribution::{SubscriberId, Update};

const BALANCERS: u8 = 200;

fn fleet_updates(updates: &[(SubscriberId, Update)]) -> usize {
    updates.iter().filter(|(_, update)| update.fleet.is_some()).count()
}

#[test]
fn balancers_that_come_together_are_told_of_each_other_a_few_times() {
    let mut single = Single::settled();
    for number in 1..=BALANCERS {
        single.report(u64::from(number), report(number, "zone-a"));
        if number % 20 == 0 {
            single.pass(TICK_MS);
        }
    }
    let balancers = usize::from(BALANCERS);
    let sent = fleet_updates(&single.updates);
    assert!(sent <= 4 * balancers, "{sent} messages to {balancers} balancers");
    single.pass(1_000);
    for number in 1..=BALANCERS {
        let to = SubscriberId(u64::from(number));
        let told = single.updates.iter().rev().filter(|(subscriber, _)| *subscriber == to);
        let newest = told.filter_map(|(_, update)| update.fleet.as_ref()).next().expect("it is told");
        assert_eq!(newest.balancers, u32::from(BALANCERS));
    }
}

#[test]
fn a_new_balancer_is_told_all_at_once_and_others_nothing_by_it() {
    let mut single = Single::settled();
    single.status(replace(0, 3));
    single.status(heartbeat("i-1", 1, Ready));
    single.report(1, report(1, "zone-a"));
    single.updates.clear();
    single.report(2, report(2, "zone-a"));
    let update = match single.updates.as_slice() {
        [(SubscriberId(2), update)] => update,
        others => panic!("one update to the new balancer: {others:?}"),
    };
    assert!(update.configured.is_some() && update.instances.is_some() && update.fleet.is_some());
    single.updates.clear();
    single.pass(2 * TICK_MS);
    let told: Vec<(u64, u32)> = single
        .updates
        .iter()
        .filter_map(|(to, update)| Some((to.0, update.fleet.as_ref()?.balancers)))
        .collect();
    assert_eq!(told, [(1, 2), (2, 2)], "both are told of both soon");
}

#[test]
fn a_change_of_one_instance_is_told_without_the_others() {
    let mut single = Single::settled();
    for number in 1..=100 {
        single.status(heartbeat_at(&format!("i-{number}"), number));
    }
    single.pass(500);
    single.report(1, report(1, "zone-a"));
    single.status(heartbeat_at("i-new", 101));
    single.pass(500);
    let [changes] = single.changes_sent.as_slice() else { panic!("one change: {:?}", single.changes_sent) };
    assert_eq!((changes.changed.len(), changes.removed.len()), (1, 0));
    assert_eq!(changes.changed[0].id, "i-new");
    let newest = single.updates.iter().rev().find_map(|(_, update)| update.instances.as_ref());
    assert_eq!(newest.map(|section| section.list.len()), Some(101));
}

#[test]
fn a_peer_that_connects_again_soon_is_not_sent_all_again() {
    let peer = "10.0.0.2:7700".parse().unwrap();
    let mut single = Single::settled();
    for number in 1..=600 {
        single.status(heartbeat_at(&format!("i-{number}"), number));
    }
    let mut snapshots = Vec::new();
    for _ in 0..4 {
        single.peer_bytes = 0;
        single.handle(Event::PeerConnected { peer });
        snapshots.push(single.peer_bytes > 0);
        single.pass(1_000);
    }
    assert_eq!(snapshots, [true, false, false, true], "five milliseconds for each instance");
}
