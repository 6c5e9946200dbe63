//! Conversion between the records of the registries and the gossip that controllers exchange.

use whinspindle_distribution::{
    Gossip, GossipInstance, GossipLease, GossipScope, InstanceFailures, RegionLoad, Report, ServiceRegion,
};
use whinspindle_registry::{
    InstanceRecord, InstanceRegistry, Lease, LeaseRecord, LeaseTable, ObservedFailures, RegionRequestRate,
};

/// The observations of this controller since the last call.
pub fn changes(now: u64, registry: &mut InstanceRegistry, leases: &mut LeaseTable) -> Gossip {
    gossip(GossipScope::Changes, registry.take_changes(now), leases.take_changes(now))
}

/// Everything that was observed since the start, for a controller that may know nothing yet.
pub fn observed(now: u64, scope: GossipScope, registry: &InstanceRegistry, leases: &LeaseTable) -> Gossip {
    gossip(scope, registry.observed_records(now), leases.observed_records(now))
}

/// What is known from the saved state alone, for a controller that lost its own.
pub fn restored(now: u64, registry: &InstanceRegistry, leases: &LeaseTable) -> Gossip {
    gossip(GossipScope::Restored, registry.restored_records(now), leases.restored_records(now))
}

/// The state to save for the next start. Rates of sends and failures are left out: they change all the time.
pub fn saved_state(now: u64, registry: &InstanceRegistry, leases: &LeaseTable) -> Gossip {
    let mut leases = leases.snapshot(now);
    leases.iter_mut().for_each(|record| {
        record.lease.request_rates.clear();
        record.lease.observed_failures.clear();
    });
    gossip(GossipScope::Restored, registry.snapshot(now), leases)
}

/// The registry's record of an instance.
pub fn instance_record(instance: GossipInstance) -> InstanceRecord {
    InstanceRecord {
        id: instance.id,
        service: instance.service,
        address: instance.address,
        zone: instance.zone,
        generation: String::new(),
        slots: instance.slots,
        sequence: instance.sequence,
        draining: instance.draining,
        slow_start_ms: instance.slow_start_ms,
        age_ms: instance.age_ms,
    }
}

/// The table's record of a lease.
pub fn lease_record(lease: GossipLease) -> LeaseRecord {
    let age_ms = lease.age_ms;
    let lease = Lease {
        node: lease.node,
        incarnation: lease.incarnation,
        zone: lease.zone,
        region: lease.region,
        front_address: lease.front,
        ready: lease.ready,
        shutting_down: lease.shutting_down,
        request_rates: lease.sends.into_iter().map(region_request_rate).collect(),
        observed_failures: lease.failing.into_iter().map(observed_failures).collect(),
    };
    LeaseRecord { lease, age_ms }
}

/// The lease that a balancer's report renews.
pub fn lease_of(report: &Report) -> Lease {
    Lease {
        node: report.node.clone(),
        incarnation: report.incarnation,
        zone: report.zone.clone(),
        region: report.region.clone(),
        front_address: report.front,
        ready: report.ready,
        shutting_down: report.shutting_down,
        request_rates: report.sends.iter().cloned().map(region_request_rate).collect(),
        observed_failures: report.failing.iter().cloned().map(observed_failures).collect(),
    }
}

/// A load of the lease table as balancers are sent it.
pub fn region_load(rate: RegionRequestRate) -> RegionLoad {
    RegionLoad {
        target: ServiceRegion { service: rate.service, region: rate.region },
        requests_per_s: rate.requests_per_s,
    }
}

fn observed_failures(failures: InstanceFailures) -> ObservedFailures {
    ObservedFailures { instance: failures.id, failed_requests: failures.failures }
}

fn instance_failures(observed: ObservedFailures) -> InstanceFailures {
    InstanceFailures { id: observed.instance, failures: observed.failed_requests }
}

fn region_request_rate(load: RegionLoad) -> RegionRequestRate {
    RegionRequestRate {
        service: load.target.service,
        region: load.target.region,
        requests_per_s: load.requests_per_s,
    }
}

fn gossip(scope: GossipScope, instances: Vec<InstanceRecord>, leases: Vec<LeaseRecord>) -> Gossip {
    Gossip {
        scope,
        instances: instances.into_iter().map(gossip_instance).collect(),
        leases: leases.into_iter().map(gossip_lease).collect(),
    }
}

fn gossip_instance(record: InstanceRecord) -> GossipInstance {
    GossipInstance {
        id: record.id,
        service: record.service,
        address: record.address,
        zone: record.zone,
        slots: record.slots,
        sequence: record.sequence,
        draining: record.draining,
        deregistered: false,
        slow_start_ms: record.slow_start_ms,
        age_ms: record.age_ms,
    }
}

fn gossip_lease(record: LeaseRecord) -> GossipLease {
    let lease = record.lease;
    GossipLease {
        node: lease.node,
        incarnation: lease.incarnation,
        zone: lease.zone,
        region: lease.region,
        front: lease.front_address,
        ready: lease.ready,
        shutting_down: lease.shutting_down,
        age_ms: record.age_ms,
        sends: lease.request_rates.into_iter().map(region_load).collect(),
        failing: lease.observed_failures.into_iter().map(instance_failures).collect(),
    }
}
