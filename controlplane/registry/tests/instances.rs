//! Tests of the instance registry: heartbeats, records of other controllers, departures and silence timeouts.

use std::net::SocketAddr;

use quickcheck::{Arbitrary, Gen, quickcheck};
use whinspindle_configuration::{Heartbeat, InstanceState};
use whinspindle_registry::{HeartbeatEffect, InstanceRecord, InstanceRegistry, RegistryTiming};

const HEARTBEAT_MS: u64 = 1_000;
const SILENCE_TIMEOUT_MS: u64 = 3_500;

fn registry() -> InstanceRegistry {
    InstanceRegistry::new(RegistryTiming { heartbeat_ms: HEARTBEAT_MS })
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 8080))
}

fn ready(host: u8, sequence: u64) -> Heartbeat {
    Heartbeat {
        backend: "model".into(),
        address: address(host),
        zone: "z1".into(),
        generation: "v1".into(),
        slots: 8,
        state: InstanceState::Ready,
        slow_start_ms: 0,
        remaining_ms: None,
        sequence,
    }
}

fn draining(host: u8, sequence: u64) -> Heartbeat {
    Heartbeat { state: InstanceState::Draining, ..ready(host, sequence) }
}

fn ids(registry: &InstanceRegistry) -> Vec<String> {
    let mut ids: Vec<String> = registry.snapshot(0).into_iter().map(|record| record.id).collect();
    ids.sort();
    ids
}

#[test]
fn first_heartbeat_adds_an_instance() {
    let mut registry = registry();
    let version = registry.version();
    assert_eq!(registry.record_heartbeat(0, "a", &ready(1, 1)), HeartbeatEffect::Accepted { changed: true });
    assert!(registry.version() > version);
    assert_eq!(ids(&registry), ["a"]);
}

#[test]
fn repeated_heartbeat_does_not_change_the_version() {
    let mut registry = registry();
    registry.record_heartbeat(0, "a", &ready(1, 1));
    let version = registry.version();
    assert_eq!(
        registry.record_heartbeat(1_000, "a", &ready(1, 2)),
        HeartbeatEffect::Accepted { changed: false }
    );
    assert_eq!(registry.version(), version);
}

#[test]
fn late_heartbeat_is_stale() {
    let mut registry = registry();
    registry.record_heartbeat(0, "a", &Heartbeat { slots: 9, ..ready(1, 5) });
    assert_eq!(registry.record_heartbeat(10, "a", &ready(1, 4)), HeartbeatEffect::Stale);
    assert_eq!(registry.record_heartbeat(10, "a", &ready(1, 5)), HeartbeatEffect::Stale);
    assert_eq!(registry.snapshot(10)[0].slots, 9);
}

#[test]
fn duplicate_gossip_record_does_not_change_the_version() {
    let mut registry = registry();
    registry.record_heartbeat(0, "a", &ready(1, 5));
    let record = registry.snapshot(0).remove(0);
    let version = registry.version();
    for now in [400, 800, 1_200] {
        assert!(!registry.merge(now, record.clone()), "balancers see no difference");
    }
    assert_eq!(registry.version(), version);
}

#[test]
fn delayed_gossip_records_do_not_change_the_version() {
    let mut registry = registry();
    registry.record_heartbeat(0, "a", &ready(1, 5));
    let mut record = registry.snapshot(0).remove(0);
    let version = registry.version();
    for last_seen_at in [1_000, 2_000, 3_000] {
        record.sequence += 1;
        record.age_ms = 300;
        assert!(!registry.merge(last_seen_at + record.age_ms, record.clone()), "the instance stays warm");
    }
    assert_eq!(registry.version(), version);
}

#[test]
fn drain_is_announced_until_it_is_committed() {
    let mut registry = registry();
    registry.record_heartbeat(0, "a", &ready(1, 1));
    assert_eq!(registry.record_heartbeat(1, "a", &draining(1, 2)), HeartbeatEffect::DrainingAnnounced);
    assert!(registry.snapshot(1)[0].draining, "the drain is published before it is committed");
    assert_eq!(registry.record_heartbeat(2, "a", &draining(1, 3)), HeartbeatEffect::DrainingAnnounced);
    registry.mark_draining("a");
    assert_eq!(
        registry.record_heartbeat(3, "a", &draining(1, 4)),
        HeartbeatEffect::Accepted { changed: false }
    );
}

#[test]
fn late_draining_heartbeat_is_applied() {
    let mut registry = registry();
    registry.record_heartbeat(0, "a", &ready(1, 9));
    assert_eq!(registry.record_heartbeat(1, "a", &draining(1, 8)), HeartbeatEffect::DrainingAnnounced);
    assert!(registry.snapshot(1)[0].draining);
}

#[test]
fn draining_instance_never_becomes_ready_again() {
    let mut registry = registry();
    registry.record_heartbeat(0, "a", &draining(1, 1));
    registry.record_heartbeat(1, "a", &ready(1, 2));
    assert!(registry.snapshot(1)[0].draining);
    registry.expire(100_000);
    registry.record_heartbeat(100_001, "a", &ready(1, 3));
    assert!(registry.snapshot(100_001)[0].draining, "a removed instance stays draining");
}

#[test]
fn committed_drain_applies_to_an_instance_observed_later() {
    let mut registry = registry();
    registry.mark_draining("a");
    registry.record_heartbeat(0, "a", &ready(1, 1));
    assert!(registry.snapshot(0)[0].draining);
}

#[test]
fn deregistered_instance_is_not_added_again() {
    let mut registry = registry();
    registry.record_heartbeat(0, "a", &ready(1, 1));
    let mut record = registry.snapshot(0).remove(0);
    registry.mark_deregistered("a");
    assert!(ids(&registry).is_empty());
    assert_eq!(registry.record_heartbeat(1, "a", &ready(1, 2)), HeartbeatEffect::Stale);
    record.sequence = 7;
    assert!(!registry.merge(2, record));
    assert!(ids(&registry).is_empty());
}

#[test]
fn newer_instance_takes_over_the_address() {
    let mut registry = registry();
    registry.record_heartbeat(0, "old", &ready(1, 40));
    registry.record_heartbeat(2_000, "new", &ready(1, 1));
    assert_eq!(ids(&registry), ["new"]);
}

#[test]
fn older_record_does_not_reclaim_the_address() {
    let mut registry = registry();
    registry.record_heartbeat(0, "old", &ready(1, 40));
    let record = registry.snapshot(1_500).remove(0);
    registry.record_heartbeat(1_000, "new", &ready(1, 1));
    assert!(!registry.merge(1_500, record));
    assert_eq!(ids(&registry), ["new"]);
}

#[test]
fn displaced_instance_is_added_again_by_its_next_heartbeat() {
    let mut registry = registry();
    registry.record_heartbeat(0, "new", &ready(1, 3));
    registry.record_heartbeat(10, "old", &ready(1, 40));
    registry.record_heartbeat(1_000, "new", &ready(1, 4));
    assert_eq!(ids(&registry), ["new"]);
}

#[test]
fn instance_is_removed_after_the_silence_timeout() {
    let mut registry = registry();
    registry.record_heartbeat(0, "a", &ready(1, 1));
    for now in (0..=SILENCE_TIMEOUT_MS).step_by(500) {
        assert!(!registry.expire(now));
    }
    assert!(registry.expire(SILENCE_TIMEOUT_MS + 1));
    assert!(ids(&registry).is_empty());
}

#[test]
fn newest_heartbeat_at_any_controller_restarts_the_silence_timeout() {
    let mut registry = registry();
    registry.record_heartbeat(0, "a", &ready(1, 1));
    let mut record = registry.snapshot(0).remove(0);
    record.sequence = 3;
    record.age_ms = 200;
    registry.merge(2_200, record);
    for now in (0..=2_000 + SILENCE_TIMEOUT_MS).step_by(500) {
        assert!(!registry.expire(now));
    }
    assert!(registry.expire(2_000 + SILENCE_TIMEOUT_MS + 1));
}

#[test]
fn record_older_than_the_silence_timeout_is_ignored() {
    let mut registry = registry();
    registry.record_heartbeat(0, "a", &ready(1, 1));
    let record = InstanceRecord {
        id: "b".into(),
        address: address(2),
        age_ms: SILENCE_TIMEOUT_MS + 1,
        ..registry.snapshot(0).remove(0)
    };
    assert!(!registry.merge(10_000, record));
    assert_eq!(ids(&registry), ["a"]);
}

#[test]
fn isolated_controller_removes_no_instance() {
    let mut registry = registry();
    registry.record_heartbeat(0, "a", &ready(1, 1));
    registry.set_isolated(100, true);
    for now in (0..20_000).step_by(500) {
        assert!(!registry.expire(now));
    }
    registry.set_isolated(20_000, false);
    assert!(!registry.expire(20_500));
    for now in (20_500..=20_000 + SILENCE_TIMEOUT_MS).step_by(500) {
        assert!(!registry.expire(now));
    }
    assert!(registry.expire(20_000 + SILENCE_TIMEOUT_MS + 1));
}

#[test]
fn pause_of_the_controller_does_not_count_as_silence() {
    let mut registry = registry();
    registry.record_heartbeat(0, "a", &ready(1, 1));
    registry.expire(500);
    assert!(!registry.expire(30_500));
    assert_eq!(ids(&registry), ["a"]);
}

#[test]
fn exported_age_includes_silence_during_a_partition() {
    let mut rejoined = registry();
    rejoined.record_heartbeat(0, "a", &ready(1, 1));
    rejoined.set_isolated(100, true);
    rejoined.expire(20_000);
    rejoined.set_isolated(20_000, false);
    assert_eq!(ids(&rejoined), ["a"], "it may have sent heartbeats to other controllers");
    assert_eq!(rejoined.snapshot(20_100)[0].age_ms, 20_100);
    let mut other = registry();
    for record in rejoined.observed_records(20_100) {
        assert!(!other.merge(20_100, record), "it has been silent for too long");
    }
    rejoined.record_heartbeat(21_000, "a", &ready(1, 2));
    assert_eq!(rejoined.snapshot(21_000)[0].age_ms, 0);
}

#[test]
fn exported_age_includes_silence_during_a_pause() {
    let mut paused = registry();
    paused.record_heartbeat(0, "a", &ready(1, 1));
    paused.expire(500);
    assert!(!paused.expire(30_500));
    assert_eq!(paused.snapshot(30_500)[0].age_ms, 30_500);
    let pause_end = 30_500;
    for now in (pause_end..=pause_end + SILENCE_TIMEOUT_MS - 500).step_by(500) {
        assert!(!paused.expire(now));
    }
    assert!(
        paused.expire(pause_end + SILENCE_TIMEOUT_MS),
        "half a second of silence before the pause counts"
    );
}

#[test]
fn address_taken_over_during_a_partition_stays_taken() {
    let mut rejoined = registry();
    rejoined.record_heartbeat(0, "a", &ready(1, 1));
    rejoined.set_isolated(100, true);
    rejoined.set_isolated(20_000, false);
    let mut other = registry();
    other.record_heartbeat(19_000, "b", &ready(1, 1));
    for record in other.observed_records(20_100) {
        assert!(rejoined.merge(20_100, record), "the other controller has received a later heartbeat");
    }
    assert_eq!(ids(&rejoined), ["b"]);
}

#[test]
fn slow_start_is_exported_as_remaining_time() {
    let mut registry = registry();
    registry.record_heartbeat(1_000, "a", &Heartbeat { slow_start_ms: 3_000, ..ready(1, 1) });
    assert_eq!(registry.snapshot(1_500)[0].slow_start_ms, 2_500);
    let version = registry.version();
    registry.record_heartbeat(2_000, "a", &Heartbeat { slow_start_ms: 2_010, ..ready(1, 2) });
    assert_eq!(registry.version(), version, "the slow start ends at the expected time");
    registry.record_heartbeat(3_000, "a", &Heartbeat { slow_start_ms: 3_000, ..ready(1, 3) });
    assert!(registry.version() > version, "the slow start has restarted");
    assert_eq!(registry.snapshot(3_000)[0].slow_start_ms, 3_000);
}

#[test]
fn changes_contain_each_local_heartbeat_once() {
    let mut registry = registry();
    registry.record_heartbeat(0, "a", &ready(1, 1));
    registry.record_heartbeat(0, "a", &ready(1, 2));
    let record = InstanceRecord { id: "b".into(), address: address(2), ..registry.snapshot(0).remove(0) };
    registry.merge(0, record);
    let changes = registry.take_changes(5);
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].id.as_str(), changes[0].sequence, changes[0].age_ms), ("a", 2, 5));
    assert!(registry.take_changes(6).is_empty());
}

/// A random heartbeat of one of four instances.
#[derive(Clone, Debug)]
struct RandomHeartbeat {
    instance: u8,
    sequence: u64,
    draining: bool,
    slow_start_ms: u64,
}

impl Arbitrary for RandomHeartbeat {
    fn arbitrary(g: &mut Gen) -> Self {
        RandomHeartbeat {
            instance: u8::arbitrary(g) % 4,
            sequence: u64::arbitrary(g) % 16,
            draining: u8::arbitrary(g) % 8 == 0,
            slow_start_ms: u64::arbitrary(g) % 3 * 1_000,
        }
    }
}

fn apply(registry: &mut InstanceRegistry, now: u64, random: &RandomHeartbeat) {
    let state = if random.draining { InstanceState::Draining } else { InstanceState::Ready };
    let heartbeat =
        Heartbeat { state, slow_start_ms: random.slow_start_ms, ..ready(random.instance, random.sequence) };
    registry.record_heartbeat(now, &format!("i{}", random.instance), &heartbeat);
}

fn sorted_records(registry: &InstanceRegistry, now: u64) -> Vec<InstanceRecord> {
    let mut records = registry.snapshot(now);
    records.sort_by(|a, b| a.id.cmp(&b.id));
    records
}

quickcheck! {
    fn merge_is_idempotent(heartbeats: Vec<RandomHeartbeat>) -> bool {
        let (mut source, mut copy) = (registry(), registry());
        heartbeats.iter().for_each(|random| apply(&mut source, 100, random));
        let records = source.snapshot(100);
        for record in &records {
            copy.merge(100, record.clone());
        }
        let merged_once = sorted_records(&copy, 100);
        let has_changed_again = records.into_iter().any(|record| copy.merge(100, record));
        !has_changed_again && merged_once == sorted_records(&copy, 100) && merged_once == sorted_records(&source, 100)
    }

    fn exchange_of_all_changes_converges_on_sequences_and_drains(first: Vec<RandomHeartbeat>, second: Vec<RandomHeartbeat>) -> bool {
        let (mut a, mut b) = (registry(), registry());
        first.iter().for_each(|random| apply(&mut a, 100, random));
        second.iter().for_each(|random| apply(&mut b, 100, random));
        let (from_a, from_b) = (a.take_changes(100), b.take_changes(100));
        from_a.into_iter().for_each(|record| { b.merge(100, record); });
        from_b.into_iter().for_each(|record| { a.merge(100, record); });
        let sequences_and_drains = |registry: &InstanceRegistry| -> Vec<(String, u64, bool)> {
            sorted_records(registry, 100).into_iter().map(|record| (record.id, record.sequence, record.draining)).collect()
        };
        sequences_and_drains(&a) == sequences_and_drains(&b)
    }

    fn drain_is_never_reverted(heartbeats: Vec<RandomHeartbeat>) -> bool {
        let mut registry = registry();
        let mut drained = std::collections::BTreeSet::new();
        heartbeats.iter().all(|random| {
            apply(&mut registry, 100, random);
            if random.draining {
                drained.insert(format!("i{}", random.instance));
            }
            registry.snapshot(100).iter().all(|record| record.draining == drained.contains(&record.id))
        })
    }
}

/// A record of the saved state.
fn record(host: u8, id: &str, sequence: u64) -> InstanceRecord {
    InstanceRecord {
        id: id.into(),
        service: "model".into(),
        address: address(host),
        zone: "z1".into(),
        generation: "v1".into(),
        slots: 8,
        sequence,
        draining: false,
        slow_start_ms: 0,
        age_ms: 0,
    }
}

#[test]
fn restored_instance_is_kept_until_the_silence_timeout() {
    let mut registry = registry();
    assert!(registry.restore(0, record(1, "a", 3)));
    assert_eq!(ids(&registry), ["a"]);
    assert!(registry.observed_records(0).is_empty());
    assert_eq!(registry.restored_records(0).len(), 1);
    for now in [1_000, 2_000, 3_000, SILENCE_TIMEOUT_MS] {
        registry.expire(now);
    }
    assert_eq!(ids(&registry), ["a"]);
    registry.expire(SILENCE_TIMEOUT_MS + 1);
    assert!(ids(&registry).is_empty());
}

#[test]
fn heartbeat_confirms_a_restored_instance() {
    let mut registry = registry();
    registry.restore(0, record(1, "a", 3));
    registry.restore(0, record(2, "b", 3));
    registry.record_heartbeat(100, "a", &ready(1, 4));
    assert_eq!(registry.observed_records(100).len(), 1);
    registry.drop_restored();
    assert_eq!(ids(&registry), ["a"]);
}

#[test]
fn remote_record_confirms_a_restored_instance_at_its_age() {
    let mut registry = registry();
    registry.restore(5_000, record(1, "a", 3));
    registry.merge(5_000, InstanceRecord { age_ms: 3_000, ..record(1, "a", 3) });
    registry.drop_restored();
    registry.expire(5_400);
    assert_eq!(ids(&registry), ["a"]);
    registry.expire(5_600);
    assert!(ids(&registry).is_empty(), "the last heartbeat was long before the restore");
}

#[test]
fn restored_instance_yields_its_address_to_another_one() {
    let mut registry = registry();
    registry.restore(5_000, record(1, "a", 3));
    registry.merge(5_000, InstanceRecord { age_ms: 1_000, ..record(1, "b", 1) });
    assert_eq!(ids(&registry), ["b"]);
    assert!(!registry.restore(5_000, record(1, "a", 3)), "the observed instance keeps the address");
}

#[test]
fn departed_instance_is_not_restored_as_ready() {
    let mut registry = registry();
    registry.mark_deregistered("a");
    registry.mark_draining("b");
    assert!(!registry.restore(0, record(1, "a", 3)));
    assert!(registry.restore(0, record(2, "b", 3)));
    assert!(registry.snapshot(0)[0].draining);
}

#[test]
fn restored_slow_start_counts_from_the_restore() {
    let mut registry = registry();
    registry.restore(1_000, InstanceRecord { slow_start_ms: 2_000, ..record(1, "a", 3) });
    assert_eq!(registry.snapshot(1_500)[0].slow_start_ms, 1_500);
}
