//! The number and size of a controller's messages when many balancers and upstreams connect at once or a peer
//! reconnects.

mod common;

use common::*;
use whinspindle_configuration::InstanceState::Ready;
use whinspindle_controller::Event;
use whinspindle_distribution::{SubscriberId, Update};

const BALANCERS: u8 = 200;

/// The number of updates that include the fleet section.
fn count_fleet_updates(updates: &[(SubscriberId, Update)]) -> usize {
    updates.iter().filter(|(_, update)| update.fleet.is_some()).count()
}

#[test]
fn balancers_that_arrive_together_cause_few_updates() {
    let mut single = Single::in_quorum();
    for number in 1..=BALANCERS {
        single.report(u64::from(number), report(number, "zone-a"));
        if number % 20 == 0 {
            single.pass(TICK_MS);
        }
    }
    let balancers = usize::from(BALANCERS);
    let sent = count_fleet_updates(&single.updates);
    assert!(sent <= 4 * balancers, "{sent} messages to {balancers} balancers");
    single.pass(1_000);
    for number in 1..=BALANCERS {
        let to = SubscriberId(u64::from(number));
        let updates = single.updates.iter().rev().filter(|(subscriber, _)| *subscriber == to);
        let newest =
            updates.filter_map(|(_, update)| update.fleet.as_ref()).next().expect("an update with the fleet");
        assert_eq!(newest.balancers, u32::from(BALANCERS));
    }
}

#[test]
fn new_balancer_gets_all_sections_at_once_without_updates_to_others() {
    let mut single = Single::in_quorum();
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
    let fleet_sizes: Vec<(u64, u32)> = single
        .updates
        .iter()
        .filter_map(|(to, update)| Some((to.0, update.fleet.as_ref()?.balancers)))
        .collect();
    assert_eq!(fleet_sizes, [(1, 2), (2, 2)], "both balancers get the new fleet size soon");
}

#[test]
fn change_of_one_instance_is_sent_without_the_other_instances() {
    let mut single = Single::in_quorum();
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
fn peer_that_reconnects_soon_gets_no_second_snapshot() {
    let peer = "10.0.0.2:7700".parse().unwrap();
    let mut single = Single::in_quorum();
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
    assert_eq!(
        snapshots,
        [true, false, false, true],
        "at most one snapshot per five milliseconds for each instance"
    );
}
