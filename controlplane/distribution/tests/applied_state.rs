//! A receiver keeps the newest sections and never goes back.

mod common;

use bytes::Bytes;
use common::Any;
use quickcheck::quickcheck;
use whinspindle_distribution::{AppliedState, Configured, Evacuations, Instance, Instances, Update};

fn configured(sequence: u64) -> Update {
    let body = Bytes::from(sequence.to_string());
    Update { configured: Some(Configured { sequence, body }), ..Update::default() }
}

fn evacuations(sequence: u64, zones: &[&str]) -> Update {
    let zones = zones.iter().map(ToString::to_string).collect();
    Update { evacuations: Some(Evacuations { sequence, zones }), ..Update::default() }
}

fn instance(id: &str, draining: bool, slow_start_ms: u64) -> Instance {
    Instance {
        id: id.to_owned(),
        service: "model".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".to_owned(),
        slots: 4,
        draining,
        slow_start_ms,
    }
}

fn instances(version: u64, list: Vec<Instance>) -> Update {
    Update { instances: Some(Instances { version, list }), ..Update::default() }
}

quickcheck! {
    fn replicated_sections_never_go_back(updates: Vec<Any<Update>>) -> bool {
        let mut holder = AppliedState::new();
        updates.into_iter().all(|update| {
            let before = holder.versions();
            let news = holder.apply(0, update.0);
            let after = holder.versions();
            let configured = news.configured.is_none_or(|section| section.sequence == after.configured);
            let evacuations = news.evacuations.is_none_or(|section| section.sequence == after.evacuations);
            after.configured >= before.configured && after.evacuations >= before.evacuations && configured && evacuations
        })
    }

    fn snapshot_brings_another_receiver_to_the_same_state(updates: Vec<Any<Update>>) -> bool {
        let mut holder = AppliedState::new();
        for update in updates {
            holder.apply(0, update.0);
        }
        let mut other = AppliedState::new();
        other.apply(0, holder.snapshot(0));
        other.snapshot(0) == holder.snapshot(0) && other.versions() == holder.versions()
    }
}

#[test]
fn an_older_configuration_is_dropped() {
    let mut holder = AppliedState::new();
    assert_eq!(holder.apply(0, configured(7)), configured(7));
    assert_eq!(holder.apply(0, configured(6)), Update::default());
    assert_eq!(holder.apply(0, configured(7)), Update::default());
    assert_eq!(holder.configured().unwrap().body, "7");
}

#[test]
fn an_older_evacuation_is_dropped() {
    let mut holder = AppliedState::new();
    holder.apply(0, evacuations(3, &["a"]));
    assert_eq!(holder.apply(0, evacuations(2, &[])), Update::default());
    assert_eq!(holder.evacuations().unwrap().zones, ["a"]);
    assert_eq!(holder.apply(0, evacuations(4, &[])), evacuations(4, &[]));
}

#[test]
fn instances_of_another_controller_apply_despite_lower_versions() {
    let mut holder = AppliedState::new();
    holder.apply(0, instances(900, vec![instance("i-1", false, 0)]));
    holder.apply(0, instances(5, vec![instance("i-2", false, 0)]));
    assert_eq!(holder.versions().instances, 5);
    assert_eq!(holder.instances().unwrap().list, [instance("i-2", false, 0)]);
}

#[test]
fn draining_instance_stays_draining_for_every_controller() {
    let mut holder = AppliedState::new();
    holder.apply(0, instances(1, vec![instance("i-1", true, 0)]));
    holder.apply(0, instances(2, vec![]));
    let news = holder.apply(0, instances(1, vec![instance("i-1", false, 0), instance("i-2", false, 0)]));
    assert_eq!(news, instances(1, vec![instance("i-1", true, 0), instance("i-2", false, 0)]));
}

#[test]
fn snapshot_counts_slow_starts_down() {
    let mut holder = AppliedState::new();
    holder.apply(1_000, instances(1, vec![instance("i-1", false, 700), instance("i-2", false, 100)]));
    let list = vec![instance("i-1", false, 400), instance("i-2", false, 0)];
    assert_eq!(holder.snapshot(1_300), instances(1, list));
}
