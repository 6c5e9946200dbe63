//! Conversion between the records of the registries and the gossip that controllers exchange.

use whinspindle_distribution::{
    Gossip, GossipInstance, GossipLease, GossipScope, InstanceFailures, RegionLoad, Report, ServiceRegion,
};
use whinspindle_registry::{
    InstanceRecord, InstanceRegistry, Lease, LeaseRecord, LeaseTable, RegionSends, SeenFailures,
};

/// The observations of this controller since the last call.
pub fn changes(now: u64, registry: &mut InstanceRegistry, leases: &mut LeaseTable) -> Gossip {
    gossip(GossipScope::Changes, registry.take_changes(now), leases.take_changes(now))
}

/// Everything that was observed since the start, for a controller that may know nothing yet.
pub fn observed(now: u64, scope: GossipScope, registry: &InstanceRegistry, leases: &LeaseTable) -> Gossip {
    gossip(scope, registry.observed(now), leases.observed(now))
}

/// What is known from the saved state alone, for a controller that lost its own.
pub fn restored(now: u64, registry: &InstanceRegistry, leases: &LeaseTable) -> Gossip {
    gossip(GossipScope::Restored, registry.restored(now), leases.restored(now))
}

/// The state to save for the next start. Rates of sends and failures are left out: they change all the time.
pub fn saved_state(now: u64, registry: &InstanceRegistry, leases: &LeaseTable) -> Gossip {
    let mut leases = leases.snapshot(now);
    leases.iter_mut().for_each(|record| {
        record.lease.sends.clear();
        record.lease.failing.clear();
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
        front: lease.front,
        ready: lease.ready,
        shutting_down: lease.shutting_down,
        sends: lease.sends.into_iter().map(region_sends).collect(),
        failing: lease.failing.into_iter().map(seen_failures).collect(),
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
        front: report.front,
        ready: report.ready,
        shutting_down: report.shutting_down,
        sends: report.sends.iter().cloned().map(region_sends).collect(),
        failing: report.failing.iter().cloned().map(seen_failures).collect(),
    }
}

/// A load of the lease table as balancers are sent it.
pub fn region_load(sends: RegionSends) -> RegionLoad {
    RegionLoad {
        target: ServiceRegion { service: sends.service, region: sends.region },
        requests_per_s: sends.requests_per_s,
    }
}

fn seen_failures(failures: InstanceFailures) -> SeenFailures {
    SeenFailures { instance: failures.id, failures: failures.failures }
}

fn instance_failures(seen: SeenFailures) -> InstanceFailures {
    InstanceFailures { id: seen.instance, failures: seen.failures }
}

fn region_sends(load: RegionLoad) -> RegionSends {
    RegionSends {
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
        front: lease.front,
        ready: lease.ready,
        shutting_down: lease.shutting_down,
        age_ms: record.age_ms,
        sends: lease.sends.into_iter().map(region_load).collect(),
        failing: lease.failing.into_iter().map(instance_failures).collect(),
    }
}
