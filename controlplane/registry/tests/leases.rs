//! Tests of the table of balancers' leases.

use std::net::SocketAddr;

use quickcheck::quickcheck;
use whinspindle_registry::{Lease, LeaseRecord, LeaseTable, LeaseTiming, RegionRequestRate};

const LEASE_MS: u64 = 2_000;
const RETENTION_MS: u64 = 30_000;

fn table() -> LeaseTable {
    LeaseTable::new(LeaseTiming { lease_ms: LEASE_MS, retention_ms: RETENTION_MS })
}

fn front_address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 8000))
}

fn lease(number: u8, zone: &str, region: &str) -> Lease {
    Lease {
        node: format!("edge-{number}"),
        incarnation: 1,
        zone: zone.into(),
        region: region.into(),
        front_address: front_address(number),
        ready: true,
        shutting_down: false,
        request_rates: vec![RegionRequestRate {
            service: "model".into(),
            region: "north".into(),
            requests_per_s: 2.5,
        }],
        observed_failures: vec![],
    }
}

#[test]
fn balancer_with_an_expired_lease_is_still_counted() {
    let mut table = table();
    table.renew(0, lease(1, "z1", "r1"));
    assert_eq!(table.live_leases(LEASE_MS).count(), 1);
    assert_eq!(table.live_leases(LEASE_MS + 1).count(), 0);
    assert!(table.expire(LEASE_MS + 1));
    assert!(!table.expire(LEASE_MS + 2), "the expiry is reported once");
    assert_eq!(table.balancer_count(LEASE_MS + RETENTION_MS), 1);
    assert_eq!(table.balancer_count(LEASE_MS + RETENTION_MS + 1), 0);
    assert!(table.expire(LEASE_MS + RETENTION_MS + 1));
}

#[test]
fn restarted_balancer_counts_once() {
    let mut table = table();
    table.renew(0, lease(1, "z1", "r1"));
    assert!(table.renew(5_000, Lease { incarnation: 2, ..lease(1, "z1", "r1") }));
    assert_eq!(table.balancer_count(5_000), 1);
}

#[test]
fn isolated_controller_keeps_counting_balancers() {
    let mut table = table();
    table.renew(0, lease(1, "z1", "r1"));
    table.set_isolated(0, true);
    table.expire(100_000);
    assert_eq!(table.balancer_count(100_000), 1);
    assert_eq!(table.live_leases(100_000).count(), 0);
    table.set_isolated(0, false);
    table.expire(100_001);
    assert_eq!(table.balancer_count(100_001), 0);
}

#[test]
fn shutdown_lasts_for_the_rest_of_an_incarnation() {
    let mut table = table();
    table.renew(100, Lease { shutting_down: true, ..lease(1, "z1", "r1") });
    table.merge(105, LeaseRecord { lease: lease(1, "z1", "r1"), age_ms: 0 });
    assert!(table.live_leases(105).all(|lease| lease.shutting_down));
    table.renew(200, Lease { incarnation: 2, ..lease(1, "z1", "r1") });
    assert!(table.live_leases(200).all(|lease| !lease.shutting_down));
}

#[test]
fn older_record_is_ignored() {
    let mut table = table();
    table.renew(1_000, Lease { incarnation: 2, ..lease(1, "z1", "r1") });
    assert!(!table.merge(1_100, LeaseRecord { lease: lease(1, "z1", "r1"), age_ms: 500 }));
    assert!(table.live_leases(1_100).all(|lease| lease.incarnation == 2));
}

#[test]
fn changed_request_rates_do_not_change_the_version() {
    let mut table = table();
    assert!(table.renew(0, lease(1, "z1", "r1")));
    let version = table.version();
    assert!(!table.renew(250, Lease { request_rates: vec![], ..lease(1, "z1", "r1") }));
    assert_eq!(table.version(), version);
    assert!(table.renew(500, Lease { ready: false, ..lease(1, "z1", "r1") }));
}

#[test]
fn loads_are_sums_over_live_leases() {
    let mut table = table();
    table.renew(0, lease(1, "z1", "r1"));
    table.renew(3_000, lease(2, "z1", "r1"));
    table.renew(3_000, lease(3, "z2", "r2"));
    assert_eq!(
        table.request_rates(3_000),
        [RegionRequestRate { service: "model".into(), region: "north".into(), requests_per_s: 5.0 }]
    );
}

#[test]
fn changes_contain_each_local_renewal_once() {
    let mut table = table();
    table.renew(0, lease(1, "z1", "r1"));
    table.merge(0, LeaseRecord { lease: lease(2, "z1", "r1"), age_ms: 0 });
    let changes = table.take_changes(40);
    assert_eq!(changes, [LeaseRecord { lease: lease(1, "z1", "r1"), age_ms: 40 }]);
    assert!(table.take_changes(41).is_empty());
}

quickcheck! {
    fn merge_is_idempotent(nodes: Vec<(u8, u16)>) -> bool {
        let (mut source, mut copy) = (table(), table());
        let mut renewals = nodes;
        renewals.sort_by_key(|&(_, at)| at);
        for &(node, at) in &renewals {
            source.renew(u64::from(at), lease(node, "z1", "r1"));
        }
        let now = 70_000;
        let records = source.snapshot(now);
        records.iter().for_each(|record| { copy.merge(now, record.clone()); });
        let merged_once = copy.snapshot(now);
        let has_changed_again = records.into_iter().any(|record| copy.merge(now, record));
        !has_changed_again && merged_once == copy.snapshot(now) && copy.balancer_count(now) == source.balancer_count(now)
    }
}

#[test]
fn restored_lease_is_valid_for_a_full_term() {
    let mut table = table();
    let lease = lease(1, "z1", "r1");
    assert!(table.restore(10_000, LeaseRecord { lease: lease.clone(), age_ms: 1_500 }));
    assert_eq!(table.live_leases(10_000 + LEASE_MS).count(), 1);
    assert!(table.observed_records(10_000).is_empty());
    assert!(!table.restore(10_000, LeaseRecord { lease, age_ms: 0 }), "the lease is already known");
    table.expire(10_001 + LEASE_MS);
    assert_eq!(
        (table.live_leases(10_001 + LEASE_MS).count(), table.balancer_count(10_001 + LEASE_MS)),
        (0, 1)
    );
}

#[test]
fn restored_expired_lease_is_only_counted() {
    let mut table = table();
    table.restore(40_000, LeaseRecord { lease: lease(1, "z1", "r1"), age_ms: LEASE_MS + 1 });
    assert_eq!((table.live_leases(40_000).count(), table.balancer_count(40_000)), (0, 1));
}

#[test]
fn remote_renewal_replaces_a_restored_lease() {
    let mut table = table();
    table.restore(10_000, LeaseRecord { lease: lease(1, "z1", "r1"), age_ms: 0 });
    table.restore(10_000, LeaseRecord { lease: lease(2, "z1", "r1"), age_ms: 0 });
    let shutting_down = Lease { shutting_down: true, ..lease(1, "z1", "r1") };
    assert!(table.merge(10_100, LeaseRecord { lease: shutting_down, age_ms: 1_000 }));
    assert!(table.live_leases(10_100).any(|lease| lease.shutting_down));
    table.drop_restored();
    assert_eq!(table.balancer_count(10_100), 1);
}
