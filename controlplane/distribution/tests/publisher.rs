//! Tests of the selection of sections for each subscriber, of acknowledgements and of resends.

use bytes::Bytes;
use whinspindle_distribution::{
    Configured, Evacuations, Fleet, Instance, Instances, Lag, Publisher, Section, SubscriberId, Update,
    Versions,
};

const FIRST: SubscriberId = SubscriberId(1);
const SECOND: SubscriberId = SubscriberId(2);

fn configured(sequence: u64) -> Configured {
    Configured { sequence, body: Bytes::from(sequence.to_string()) }
}

fn fleet(version: u64) -> Fleet {
    Fleet { version, balancers: 3, loads: vec![], failing: vec![] }
}

fn applied_configured(configured: u64) -> Versions {
    Versions { configured, ..Versions::default() }
}

fn only_configured(sequence: u64) -> Option<Update> {
    Some(Update { configured: Some(configured(sequence)), ..Update::default() })
}

fn subscribe_first(publisher: &mut Publisher) {
    publisher.subscribe(FIRST, Versions::default());
}

#[test]
fn section_is_sent_once_to_each_subscriber() {
    let mut publisher = Publisher::new();
    publisher.set_configured(configured(4));
    subscribe_first(&mut publisher);
    publisher.subscribe(SECOND, Versions::default());
    assert_eq!(publisher.update_for(0, FIRST), only_configured(4));
    assert_eq!(publisher.update_for(10, FIRST), None);
    assert_eq!(publisher.update_for(10, SECOND), only_configured(4));
}

#[test]
fn older_sections_are_rejected() {
    let mut publisher = Publisher::new();
    assert!(publisher.set_configured(configured(4)));
    assert!(!publisher.set_configured(configured(4)));
    assert!(!publisher.set_configured(configured(3)));
    assert!(publisher.set_evacuations(Evacuations { sequence: 5, zones: vec![] }));
    assert!(!publisher.set_evacuations(Evacuations { sequence: 5, zones: vec!["a".to_owned()] }));
    assert_eq!(publisher.versions(), Versions { configured: 4, evacuations: 5, ..Versions::default() });
}

#[test]
fn only_changed_sections_are_sent() {
    let mut publisher = Publisher::new();
    publisher.set_configured(configured(4));
    subscribe_first(&mut publisher);
    publisher.update_for(0, FIRST);
    publisher.set_fleet(fleet(1));
    let update = Update { fleet: Some(fleet(1)), ..Update::default() };
    assert_eq!(publisher.update_for(10, FIRST), Some(update));
}

#[test]
fn configuration_that_a_balancer_has_applied_is_not_sent() {
    let mut publisher = Publisher::new();
    publisher.set_configured(configured(4));
    publisher.set_fleet(fleet(4));
    let applied = Versions { configured: 4, fleet: 4, ..Versions::default() };
    publisher.subscribe(FIRST, applied);
    let update = publisher.update_for(0, FIRST).unwrap();
    assert_eq!(update.configured, None);
    // The reported version of the fleet may be from another controller, so the fleet must be sent.
    assert_eq!(update.fleet, Some(fleet(4)));
}

#[test]
fn unacknowledged_section_is_resent_with_exponential_backoff() {
    let mut publisher = Publisher::new();
    publisher.set_configured(configured(4));
    subscribe_first(&mut publisher);
    let send_times = (0..40_000).step_by(10).filter(|&now| publisher.update_for(now, FIRST).is_some());
    assert_eq!(send_times.collect::<Vec<_>>(), [0, 1_000, 3_000, 7_000, 15_000, 23_000, 31_000, 39_000]);
}

#[test]
fn acknowledged_section_is_not_resent() {
    let mut publisher = Publisher::new();
    publisher.set_configured(configured(4));
    subscribe_first(&mut publisher);
    publisher.update_for(0, FIRST);
    publisher.acknowledge(100, FIRST, applied_configured(4));
    assert!((0..40_000).step_by(10).all(|now| publisher.update_for(now, FIRST).is_none()));
    assert_eq!(publisher.lags(40_000), []);
}

#[test]
fn lagging_subscriber_is_listed_with_its_section() {
    let mut publisher = Publisher::new();
    publisher.set_configured(configured(4));
    subscribe_first(&mut publisher);
    publisher.subscribe(SECOND, Versions::default());
    publisher.update_for(0, FIRST);
    publisher.update_for(0, SECOND);
    publisher.acknowledge(100, SECOND, applied_configured(4));
    let lag = Lag { subscriber: FIRST, section: Section::Configured, version: 4, waiting_ms: 600 };
    assert_eq!(publisher.lags(600), [lag]);
    assert!(!publisher.is_configured_everywhere(4));
    publisher.acknowledge(700, FIRST, applied_configured(4));
    assert!(publisher.is_configured_everywhere(4));
}

#[test]
fn waiting_time_starts_at_the_oldest_unacknowledged_version() {
    let mut publisher = Publisher::new();
    subscribe_first(&mut publisher);
    for (now, version) in [(0, 1), (100, 2), (200, 3)] {
        publisher.set_fleet(fleet(version));
        publisher.update_for(now, FIRST);
    }
    assert_eq!(publisher.lags(500)[0].waiting_ms, 500);
    publisher.acknowledge(500, FIRST, Versions { fleet: 2, ..Versions::default() });
    assert_eq!(publisher.lags(600)[0].waiting_ms, 100);
    publisher.acknowledge(700, FIRST, Versions { fleet: 3, ..Versions::default() });
    assert_eq!(publisher.lags(700), []);
}

#[test]
fn version_of_another_controller_is_not_an_acknowledgement() {
    let mut publisher = Publisher::new();
    publisher.set_fleet(fleet(5));
    subscribe_first(&mut publisher);
    publisher.update_for(0, FIRST);
    publisher.acknowledge(100, FIRST, Versions { fleet: 900, ..Versions::default() });
    assert_eq!(publisher.lags(200).len(), 1);
}

#[test]
fn new_connection_is_sent_all_sections() {
    let mut publisher = Publisher::new();
    publisher.set_fleet(fleet(5));
    subscribe_first(&mut publisher);
    publisher.update_for(0, FIRST);
    publisher.unsubscribe(FIRST);
    assert_eq!(publisher.update_for(10, FIRST), None);
    publisher.subscribe(SECOND, Versions::default());
    assert_eq!(publisher.update_for(10, SECOND).unwrap().fleet, Some(fleet(5)));
    assert_eq!(publisher.subscribers().collect::<Vec<_>>(), [SECOND]);
}

#[test]
fn remaining_slow_start_is_reduced_until_it_is_sent() {
    let mut publisher = Publisher::new();
    let instance = Instance {
        id: "i-1".to_owned(),
        service: "model".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".to_owned(),
        slots: 4,
        draining: false,
        slow_start_ms: 3_000,
    };
    publisher.set_instances(1_000, Instances { version: 1, list: vec![instance] });
    subscribe_first(&mut publisher);
    let update = publisher.update_for(1_800, FIRST).unwrap();
    assert_eq!(update.instances.unwrap().list[0].slow_start_ms, 2_200);
}
