//! Lists of instances sent as changes: the lists they produce, and when the complete list is sent instead.

mod common;

use common::Any;
use quickcheck::quickcheck;
use whinspindle_distribution::{
    Instance, InstanceChanges, Instances, Publisher, SubscriberId, Update, Versions,
};

const FIRST: SubscriberId = SubscriberId(1);
const SECOND: SubscriberId = SubscriberId(2);

fn instance(number: u64, slow_start_ms: u64) -> Instance {
    Instance {
        id: format!("i-{number}"),
        service: "model".to_owned(),
        address: "10.9.0.1:80".parse().unwrap(),
        zone: "a".to_owned(),
        slots: 4,
        draining: false,
        slow_start_ms,
    }
}

/// Instances from one number up to another.
fn listed(version: u64, first: u64, end: u64) -> Instances {
    Instances { version, list: (first..end).map(|number| instance(number, 0)).collect() }
}

fn by_id(mut section: Instances) -> Instances {
    section.list.sort_by(|one, other| one.id.cmp(&other.id));
    section
}

/// Ids are unique in a list.
fn deduplicated(mut section: Instances, version: u64) -> Instances {
    section.version = version;
    let mut section = by_id(section);
    section.list.dedup_by(|one, other| one.id == other.id);
    section
}

fn acknowledge(publisher: &mut Publisher, now: u64, instances: u64) {
    publisher.acknowledge(now, FIRST, Versions { instances, ..Versions::default() });
}

fn subscribed() -> Publisher {
    let mut publisher = Publisher::new();
    publisher.set_instances(0, listed(1, 0, 20));
    publisher.subscribe(FIRST, Versions::default());
    let update = publisher.update_for(0, FIRST).expect("the first list");
    assert_eq!(update.instances, Some(listed(1, 0, 20)), "whole to a connection that has been sent none");
    publisher
}

fn changes_sent(update: Option<Update>) -> InstanceChanges {
    let update = update.expect("an update");
    assert_eq!(update.instances, None);
    update.changes.expect("changes")
}

quickcheck! {
    fn changes_turn_one_list_into_the_other(older: Any<Instances>, newer: Any<Instances>, shared: Any<Instances>) -> bool {
        let mut both = [older.0, newer.0];
        both.iter_mut().for_each(|section| section.list.extend(shared.0.list.clone()));
        let [older, newer] = both;
        let (mut older, newer) = (deduplicated(older, 7), deduplicated(newer, 9));
        let changes = InstanceChanges::between(&older, &newer);
        changes.apply_to(&mut older) && by_id(older) == newer
    }
}

#[test]
fn connection_with_the_previous_list_is_sent_the_changes() {
    let mut publisher = subscribed();
    acknowledge(&mut publisher, 100, 1);
    publisher.set_instances(300, listed(2, 1, 21));
    let changes = changes_sent(publisher.update_for(300, FIRST));
    assert_eq!((changes.base, changes.version), (1, 2));
    assert_eq!(changes.changed, [instance(20, 0)]);
    assert_eq!(changes.removed, ["i-0"]);
    publisher.set_instances(600, listed(3, 1, 22));
    let changes = changes_sent(publisher.update_for(600, FIRST));
    assert_eq!((changes.base, changes.version), (2, 3), "the one before need not be acknowledged yet");
}

#[test]
fn connection_that_missed_a_list_is_sent_the_complete_one() {
    let mut publisher = subscribed();
    publisher.set_instances(300, listed(2, 1, 21));
    publisher.set_instances(600, listed(3, 1, 22));
    let update = publisher.update_for(600, FIRST).expect("an update");
    assert_eq!((update.instances, update.changes), (Some(listed(3, 1, 22)), None));
    publisher.subscribe(SECOND, Versions { instances: 2, ..Versions::default() });
    publisher.set_instances(900, listed(4, 1, 23));
    let update = publisher.update_for(900, SECOND).expect("an update");
    assert_eq!(update.instances, Some(listed(4, 1, 23)), "its number may be another controller's");
}

#[test]
fn connection_without_acknowledgements_is_sent_the_complete_list_again() {
    let mut publisher = subscribed();
    for (now, version) in [(300, 2), (600, 3), (900, 4)] {
        publisher.set_instances(now, listed(version, 0, 20 + version));
        changes_sent(publisher.update_for(now, FIRST));
    }
    publisher.set_instances(1_200, listed(5, 0, 25));
    let update = publisher.update_for(1_200, FIRST).expect("an update");
    assert_eq!((update.instances, update.changes), (Some(listed(5, 0, 25)), None));
    acknowledge(&mut publisher, 1_250, 5);
    publisher.set_instances(1_500, listed(6, 0, 26));
    changes_sent(publisher.update_for(1_500, FIRST));
}

#[test]
fn unacknowledged_changes_are_followed_by_the_complete_list() {
    let mut publisher = subscribed();
    acknowledge(&mut publisher, 100, 1);
    publisher.set_instances(300, listed(2, 0, 21));
    changes_sent(publisher.update_for(300, FIRST));
    assert_eq!(publisher.update_for(900, FIRST), None);
    let update = publisher.update_for(1_300, FIRST).expect("sent again");
    assert_eq!((update.instances, update.changes), (Some(listed(2, 0, 21)), None));
}

#[test]
fn elapsed_slow_start_is_not_a_change() {
    let mut publisher = Publisher::new();
    let cold = |version, slow_start_ms| {
        let list = (0..10).map(|number| instance(number, slow_start_ms)).collect();
        Instances { version, list }
    };
    publisher.set_instances(0, cold(1, 3_000));
    publisher.subscribe(FIRST, Versions::default());
    publisher.update_for(0, FIRST);
    let mut newer = cold(2, 2_700);
    newer.list.push(instance(10, 500));
    publisher.set_instances(300, newer);
    let changes = changes_sent(publisher.update_for(300, FIRST));
    assert_eq!(changes.changed, [instance(10, 500)]);
}

/// A second's worth of lists and what was stored up goes at once; then connections wait for their turn.
#[test]
fn lists_to_many_new_connections_are_spread_over_time() {
    let mut publisher = Publisher::new();
    publisher.set_instances(10_000, listed(1, 0, 3_000));
    let connections: Vec<SubscriberId> = (1..=100).map(SubscriberId).collect();
    for &connection in &connections {
        publisher.subscribe(connection, Versions::default());
    }
    let mut sent = Vec::new();
    for now in (10_000..20_000).step_by(100) {
        let lists = connections.iter().filter(|&&to| publisher.update_for(now, to).is_some()).count();
        connections.iter().for_each(|&to| {
            publisher.acknowledge(now, to, Versions { instances: 1, ..Versions::default() });
        });
        sent.push(lists);
    }
    assert!(sent.iter().all(|&lists| lists <= 21), "{sent:?}");
    assert!(sent[..10].iter().sum::<usize>() <= 31, "{sent:?}");
    assert_eq!(sent.iter().sum::<usize>(), 100, "each gets its list: {sent:?}");
}
