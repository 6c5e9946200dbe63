//! Tests of changes to the list of instances: their computation and application, and the choice between
//! sending changes and sending the complete list.

mod common;

use common::Random;
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

/// Returns a list of the instances with numbers from `start` up to, but not including, `end`.
fn instance_list(version: u64, start: u64, end: u64) -> Instances {
    Instances { version, list: (start..end).map(|number| instance(number, 0)).collect() }
}

fn sorted_by_id(mut section: Instances) -> Instances {
    section.list.sort_by(|one, other| one.id.cmp(&other.id));
    section
}

/// Sorts a list and removes instances with duplicate IDs, because the IDs in a list are unique.
fn deduplicated(mut section: Instances, version: u64) -> Instances {
    section.version = version;
    let mut section = sorted_by_id(section);
    section.list.dedup_by(|one, other| one.id == other.id);
    section
}

fn acknowledge_instances(publisher: &mut Publisher, now: u64, instances: u64) {
    publisher.acknowledge(now, FIRST, Versions { instances, ..Versions::default() });
}

fn publisher_with_subscriber() -> Publisher {
    let mut publisher = Publisher::new();
    publisher.set_instances(0, instance_list(1, 0, 20));
    publisher.subscribe(FIRST, Versions::default());
    let update = publisher.update_for(0, FIRST).expect("the first list");
    assert_eq!(update.instances, Some(instance_list(1, 0, 20)), "a new connection is sent the complete list");
    publisher
}

fn expect_changes(update: Option<Update>) -> InstanceChanges {
    let update = update.expect("an update");
    assert_eq!(update.instances, None);
    update.changes.expect("changes")
}

quickcheck! {
    fn applying_changes_to_the_older_list_gives_the_newer_list(
        older: Random<Instances>,
        newer: Random<Instances>,
        shared: Random<Instances>
    ) -> bool {
        let mut lists = [older.0, newer.0];
        lists.iter_mut().for_each(|section| section.list.extend(shared.0.list.clone()));
        let [older, newer] = lists;
        let (mut older, newer) = (deduplicated(older, 7), deduplicated(newer, 9));
        let changes = InstanceChanges::between(&older, &newer);
        changes.apply_to(&mut older) && sorted_by_id(older) == newer
    }
}

#[test]
fn connection_with_the_previous_list_is_sent_changes() {
    let mut publisher = publisher_with_subscriber();
    acknowledge_instances(&mut publisher, 100, 1);
    publisher.set_instances(300, instance_list(2, 1, 21));
    let changes = expect_changes(publisher.update_for(300, FIRST));
    assert_eq!((changes.base, changes.version), (1, 2));
    assert_eq!(changes.changed, [instance(20, 0)]);
    assert_eq!(changes.removed, ["i-0"]);
    publisher.set_instances(600, instance_list(3, 1, 22));
    let changes = expect_changes(publisher.update_for(600, FIRST));
    assert_eq!((changes.base, changes.version), (2, 3), "the base list need not be acknowledged");
}

#[test]
fn connection_that_missed_a_list_is_sent_the_complete_one() {
    let mut publisher = publisher_with_subscriber();
    publisher.set_instances(300, instance_list(2, 1, 21));
    publisher.set_instances(600, instance_list(3, 1, 22));
    let update = publisher.update_for(600, FIRST).expect("an update");
    assert_eq!((update.instances, update.changes), (Some(instance_list(3, 1, 22)), None));
    publisher.subscribe(SECOND, Versions { instances: 2, ..Versions::default() });
    publisher.set_instances(900, instance_list(4, 1, 23));
    let update = publisher.update_for(900, SECOND).expect("an update");
    assert_eq!(update.instances, Some(instance_list(4, 1, 23)), "the version may be another controller's");
}

#[test]
fn connection_without_acknowledgements_is_sent_the_complete_list_again() {
    let mut publisher = publisher_with_subscriber();
    for (now, version) in [(300, 2), (600, 3), (900, 4)] {
        publisher.set_instances(now, instance_list(version, 0, 20 + version));
        expect_changes(publisher.update_for(now, FIRST));
    }
    publisher.set_instances(1_200, instance_list(5, 0, 25));
    let update = publisher.update_for(1_200, FIRST).expect("an update");
    assert_eq!((update.instances, update.changes), (Some(instance_list(5, 0, 25)), None));
    acknowledge_instances(&mut publisher, 1_250, 5);
    publisher.set_instances(1_500, instance_list(6, 0, 26));
    expect_changes(publisher.update_for(1_500, FIRST));
}

#[test]
fn unacknowledged_changes_are_followed_by_the_complete_list() {
    let mut publisher = publisher_with_subscriber();
    acknowledge_instances(&mut publisher, 100, 1);
    publisher.set_instances(300, instance_list(2, 0, 21));
    expect_changes(publisher.update_for(300, FIRST));
    assert_eq!(publisher.update_for(900, FIRST), None);
    let update = publisher.update_for(1_300, FIRST).expect("sent again");
    assert_eq!((update.instances, update.changes), (Some(instance_list(2, 0, 21)), None));
}

#[test]
fn elapsed_slow_start_is_not_sent_as_a_change() {
    let mut publisher = Publisher::new();
    let instances = |version, slow_start_ms| {
        let list = (0..10).map(|number| instance(number, slow_start_ms)).collect();
        Instances { version, list }
    };
    publisher.set_instances(0, instances(1, 3_000));
    publisher.subscribe(FIRST, Versions::default());
    publisher.update_for(0, FIRST);
    let mut newer = instances(2, 2_700);
    newer.list.push(instance(10, 500));
    publisher.set_instances(300, newer);
    let changes = expect_changes(publisher.update_for(300, FIRST));
    assert_eq!(changes.changed, [instance(10, 500)]);
}

/// Complete lists are rate-limited. The burst is the accumulated budget; later connections wait for new
/// budget.
#[test]
fn complete_lists_are_rate_limited() {
    let mut publisher = Publisher::new();
    publisher.set_instances(10_000, instance_list(1, 0, 3_000));
    let connections: Vec<SubscriberId> = (1..=100).map(SubscriberId).collect();
    for &connection in &connections {
        publisher.subscribe(connection, Versions::default());
    }
    let mut lists_per_step = Vec::new();
    for now in (10_000..20_000).step_by(100) {
        let lists = connections.iter().filter(|&&id| publisher.update_for(now, id).is_some()).count();
        connections.iter().for_each(|&id| {
            publisher.acknowledge(now, id, Versions { instances: 1, ..Versions::default() });
        });
        lists_per_step.push(lists);
    }
    assert!(lists_per_step.iter().all(|&lists| lists <= 21), "{lists_per_step:?}");
    assert!(lists_per_step[..10].iter().sum::<usize>() <= 31, "{lists_per_step:?}");
    assert_eq!(lists_per_step.iter().sum::<usize>(), 100, "one list for each: {lists_per_step:?}");
}
