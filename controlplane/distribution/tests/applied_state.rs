//! Tests of the state of a receiver of updates.

mod common;

use bytes::Bytes;
use common::Random;
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
    fn replicated_sections_never_revert_to_older_versions(updates: Vec<Random<Update>>) -> bool {
        let mut state = AppliedState::new();
        updates.into_iter().all(|update| {
            let before = state.versions();
            let applied = state.apply(0, update.0);
            let after = state.versions();
            let configured = applied.configured.is_none_or(|section| section.sequence == after.configured);
            let evacuations = applied.evacuations.is_none_or(|section| section.sequence == after.evacuations);
            after.configured >= before.configured && after.evacuations >= before.evacuations && configured && evacuations
        })
    }

    fn snapshot_reproduces_the_state_in_another_receiver(updates: Vec<Random<Update>>) -> bool {
        let mut state = AppliedState::new();
        for update in updates {
            state.apply(0, update.0);
        }
        let mut other = AppliedState::new();
        other.apply(0, state.snapshot(0));
        other.snapshot(0) == state.snapshot(0) && other.versions() == state.versions()
    }
}

#[test]
fn older_configuration_is_ignored() {
    let mut state = AppliedState::new();
    assert_eq!(state.apply(0, configured(7)), configured(7));
    assert_eq!(state.apply(0, configured(6)), Update::default());
    assert_eq!(state.apply(0, configured(7)), Update::default());
    assert_eq!(state.configured().unwrap().body, "7");
}

#[test]
fn older_evacuations_are_ignored() {
    let mut state = AppliedState::new();
    state.apply(0, evacuations(3, &["a"]));
    assert_eq!(state.apply(0, evacuations(2, &[])), Update::default());
    assert_eq!(state.evacuations().unwrap().zones, ["a"]);
    assert_eq!(state.apply(0, evacuations(4, &[])), evacuations(4, &[]));
}

#[test]
fn instances_from_another_controller_apply_despite_a_lower_version() {
    let mut state = AppliedState::new();
    state.apply(0, instances(900, vec![instance("i-1", false, 0)]));
    state.apply(0, instances(5, vec![instance("i-2", false, 0)]));
    assert_eq!(state.versions().instances, 5);
    assert_eq!(state.instances().unwrap().list, [instance("i-2", false, 0)]);
}

#[test]
fn draining_instance_stays_draining_in_lists_of_other_controllers() {
    let mut state = AppliedState::new();
    state.apply(0, instances(1, vec![instance("i-1", true, 0)]));
    state.apply(0, instances(2, vec![]));
    let applied = state.apply(0, instances(1, vec![instance("i-1", false, 0), instance("i-2", false, 0)]));
    assert_eq!(applied, instances(1, vec![instance("i-1", true, 0), instance("i-2", false, 0)]));
}

#[test]
fn snapshot_reduces_remaining_slow_starts() {
    let mut state = AppliedState::new();
    state.apply(1_000, instances(1, vec![instance("i-1", false, 700), instance("i-2", false, 100)]));
    let list = vec![instance("i-1", false, 400), instance("i-2", false, 0)];
    assert_eq!(state.snapshot(1_300), instances(1, list));
}
