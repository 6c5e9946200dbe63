//! The table of balancers' leases. It is updated by their reports and by the records of other controllers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use indexmap::IndexMap;

/// The maximum number of balancers that are kept at the same time.
const LEASE_CAPACITY: usize = 4096;

/// The duration of a lease, and the time for which a balancer is counted after its lease has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// The time after its last renewal at which a lease expires, in milliseconds.
    pub lease_ms: u64,
    /// The time for which a balancer with an expired lease is still counted as able to send requests, in
    /// milliseconds.
    pub retention_ms: u64,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        LeaseTiming { lease_ms: 2_000, retention_ms: 30_000 }
    }
}

/// The rate at which a balancer sends requests to the instances of a service in a region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionRequestRate {
    /// The service.
    pub service: String,
    /// The region of the instances.
    pub region: String,
    /// Requests per second.
    pub requests_per_s: f64,
}

/// The recent failures of an instance that a balancer has observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedFailures {
    /// The id of the instance.
    pub instance: String,
    /// The number of failed requests.
    pub failed_requests: u32,
}

/// The lease of a balancer, with the state that the balancer reports at each renewal.
#[derive(Clone, Debug, PartialEq)]
pub struct Lease {
    /// The name of the balancer's node, which identifies the lease.
    pub node: String,
    /// A number that differs for each start of the balancer.
    pub incarnation: u64,
    /// The zone in which the balancer runs.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// The address to which clients connect.
    pub front_address: SocketAddr,
    /// Whether the balancer can handle requests.
    pub ready: bool,
    /// Whether the balancer is in graceful shutdown, which lasts for the rest of the incarnation. New clients
    /// are not directed to it.
    pub shutting_down: bool,
    /// The request rates to the instances of each service and region.
    pub request_rates: Vec<RegionRequestRate>,
    /// The instances that have failed requests of this balancer.
    pub observed_failures: Vec<ObservedFailures>,
}

/// The record of a lease that controllers exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRecord {
    /// The lease at its last renewal.
    pub lease: Lease,
    /// The time since that renewal, in milliseconds.
    pub age_ms: u64,
}

#[derive(Debug)]
struct LeaseEntry {
    lease: Lease,
    renewed_at: u64,
    has_expired: bool,
    /// Whether the lease is known only from the saved state.
    restored: bool,
}

/// The balancers known from reports to this controller and from the records of other controllers.
#[derive(Debug)]
pub struct LeaseTable {
    timing: LeaseTiming,
    entries: IndexMap<String, LeaseEntry>,
    /// The nodes that have renewed their leases at this controller since the last `take_changes`.
    unsent: BTreeSet<String>,
    /// The start of the current partition of this controller from the others; none without a partition.
    isolated_since: Option<u64>,
    version: u64,
}

impl LeaseTable {
    /// Creates an empty table.
    pub fn new(timing: LeaseTiming) -> Self {
        LeaseTable {
            timing,
            entries: IndexMap::new(),
            unsent: BTreeSet::new(),
            isolated_since: None,
            version: 1,
        }
    }

    /// Renews a lease. Returns whether anything other than the request rates and the failures has changed.
    pub fn renew(&mut self, now: u64, lease: Lease) -> bool {
        self.unsent.insert(lease.node.clone());
        self.replace(lease, now)
    }

    /// Merges the record of another controller. Returns the same as [`renew`](Self::renew).
    pub fn merge(&mut self, now: u64, record: LeaseRecord) -> bool {
        let renewed_at = now.saturating_sub(record.age_ms);
        let entry = self.entries.get(&record.lease.node);
        let is_newer = entry.is_none_or(|entry| entry.restored || renewed_at > entry.renewed_at);
        let is_recent = renewed_at + self.timing.lease_ms + self.timing.retention_ms >= now;
        is_newer && is_recent && self.replace(record.lease, renewed_at)
    }

    /// Restores a record of the saved state. A lease that was valid when the state was saved counts as
    /// renewed now. Any report, and any record of another controller, replaces the restored lease. Returns
    /// whether the balancer was added.
    pub fn restore(&mut self, now: u64, record: LeaseRecord) -> bool {
        if self.entries.contains_key(&record.lease.node) || self.entries.len() >= LEASE_CAPACITY {
            return false;
        }
        let was_valid = record.age_ms <= self.timing.lease_ms;
        let renewed_at = if was_valid { now } else { now.saturating_sub(record.age_ms) };
        let node = record.lease.node.clone();
        self.entries.insert(
            node,
            LeaseEntry { lease: record.lease, renewed_at, has_expired: !was_valid, restored: true },
        );
        self.version += 1;
        true
    }

    /// Removes the balancers that are known only from the saved state. The caller ensures that every live
    /// balancer has reported by now.
    pub fn drop_restored(&mut self) {
        let count = self.entries.len();
        self.entries.retain(|_, entry| !entry.restored);
        self.version += (count - self.entries.len()) as u64;
    }

    /// Returns records of the leases that were renewed at this controller since the last call, to be sent to
    /// the other controllers.
    pub fn take_changes(&mut self, now: u64) -> Vec<LeaseRecord> {
        let unsent = std::mem::take(&mut self.unsent);
        unsent.iter().filter_map(|node| self.entries.get(node)).map(|entry| entry.record(now)).collect()
    }

    /// Whether [`take_changes`](Self::take_changes) would return any record.
    pub fn has_changes(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Records of all known balancers.
    pub fn snapshot(&self, now: u64) -> Vec<LeaseRecord> {
        self.entries.values().map(|entry| entry.record(now)).collect()
    }

    /// Records of the leases that were renewed since this process started.
    pub fn observed_records(&self, now: u64) -> Vec<LeaseRecord> {
        self.entries.values().filter(|entry| !entry.restored).map(|entry| entry.record(now)).collect()
    }

    /// Records of the leases that are known only from the saved state.
    pub fn restored_records(&self, now: u64) -> Vec<LeaseRecord> {
        self.entries.values().filter(|entry| entry.restored).map(|entry| entry.record(now)).collect()
    }

    /// Sets whether this controller is partitioned from the others. During a partition unreachable balancers
    /// are still counted.
    pub fn set_isolated(&mut self, now: u64, isolated: bool) {
        self.isolated_since = isolated.then(|| self.isolated_since.unwrap_or(now));
    }

    /// Marks leases that were not renewed as expired, and removes balancers after the retention time. Returns
    /// whether any lease has expired or any balancer was removed.
    pub fn expire(&mut self, now: u64) -> bool {
        let version = self.version;
        for entry in self.entries.values_mut().filter(|entry| !entry.has_expired) {
            entry.has_expired = !entry.is_valid(now, &self.timing);
            self.version += u64::from(entry.has_expired);
        }
        if self.isolated_since.is_none() {
            let removal_delay_ms = self.timing.lease_ms + self.timing.retention_ms;
            let count = self.entries.len();
            self.entries.retain(|_, entry| entry.renewed_at + removal_delay_ms >= now);
            self.version += (count - self.entries.len()) as u64;
        }
        self.version != version
    }

    /// The leases that have not expired.
    pub fn live_leases(&self, now: u64) -> impl Iterator<Item = &Lease> {
        self.entries.values().filter(move |entry| entry.is_valid(now, &self.timing)).map(|entry| &entry.lease)
    }

    /// The leases that have not expired, and those that were valid when the current partition began. This
    /// controller does not receive reports of the latter balancers, but clients may still reach them.
    pub fn presumed_live_leases(&self, now: u64) -> impl Iterator<Item = &Lease> {
        let was_valid_at_partition = move |entry: &LeaseEntry| {
            self.isolated_since.is_some_and(|since| entry.renewed_at + 2 * self.timing.lease_ms >= since)
        };
        let is_presumed_live =
            move |entry: &&LeaseEntry| entry.is_valid(now, &self.timing) || was_valid_at_partition(entry);
        self.entries.values().filter(is_presumed_live).map(|entry| &entry.lease)
    }

    /// The number of balancers that may send requests: those with a valid lease, and those whose lease
    /// expired less than the retention time ago. A restarted node counts once.
    pub fn balancer_count(&self, now: u64) -> u32 {
        let removal_delay_ms = self.timing.lease_ms + self.timing.retention_ms;
        let is_counted =
            |entry: &&LeaseEntry| self.isolated_since.is_some() || entry.renewed_at + removal_delay_ms >= now;
        self.entries.values().filter(is_counted).count() as u32
    }

    /// The request rates of all balancers with a valid lease, summed by service and region.
    pub fn request_rates(&self, now: u64) -> Vec<RegionRequestRate> {
        let mut sums: BTreeMap<(&str, &str), f64> = BTreeMap::new();
        for rate in self.live_leases(now).flat_map(|lease| &lease.request_rates) {
            *sums.entry((&rate.service, &rate.region)).or_default() += rate.requests_per_s;
        }
        let request_rate = |((service, region), requests_per_s): ((&str, &str), f64)| RegionRequestRate {
            service: service.to_owned(),
            region: region.to_owned(),
            requests_per_s,
        };
        sums.into_iter().map(request_rate).collect()
    }

    /// The version of the table. It increases when a balancer is added or removed, or changes anything other
    /// than its request rates and failures.
    pub fn version(&self) -> u64 {
        self.version
    }

    fn replace(&mut self, mut lease: Lease, renewed_at: u64) -> bool {
        let entry = self.entries.get(&lease.node);
        let same_incarnation_entry = entry.filter(|entry| entry.lease.incarnation == lease.incarnation);
        lease.shutting_down |= same_incarnation_entry.is_some_and(|entry| entry.lease.shutting_down);
        let changed = entry.is_none_or(|entry| entry.has_expired || entry.lease.differs_beyond_rates(&lease));
        if entry.is_none() && self.entries.len() >= LEASE_CAPACITY {
            return false;
        }
        self.entries.insert(
            lease.node.clone(),
            LeaseEntry { lease, renewed_at, has_expired: false, restored: false },
        );
        self.version += u64::from(changed);
        changed
    }
}

impl Lease {
    /// Whether the leases differ in anything other than the node, the request rates and the failures.
    fn differs_beyond_rates(&self, other: &Lease) -> bool {
        self.incarnation != other.incarnation
            || self.ready != other.ready
            || self.shutting_down != other.shutting_down
            || self.front_address != other.front_address
            || self.zone != other.zone
            || self.region != other.region
    }
}

impl LeaseEntry {
    fn is_valid(&self, now: u64, timing: &LeaseTiming) -> bool {
        self.renewed_at + timing.lease_ms >= now
    }

    fn record(&self, now: u64) -> LeaseRecord {
        LeaseRecord { lease: self.lease.clone(), age_ms: now.saturating_sub(self.renewed_at) }
    }
}
