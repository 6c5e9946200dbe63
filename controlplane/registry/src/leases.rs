//! The table of balancers' leases, fed by their reports and by the records of other controllers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use indexmap::IndexMap;

/// The number of balancers that are kept at once.
const LEASE_CAPACITY: usize = 4096;

/// How long a lease lasts, and how long a balancer without one is still counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// A lease ends this long after its last renewal, in milliseconds.
    pub lease_ms: u64,
    /// How long a balancer that lost its lease is still counted as one that may send requests, in milliseconds.
    pub retention_ms: u64,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        LeaseTiming { lease_ms: 2_000, retention_ms: 30_000 }
    }
}

/// The rate of requests that a balancer sends to the instances of a service in a region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionRequestRate {
    /// The service.
    pub service: String,
    /// The region of the instances.
    pub region: String,
    /// Requests a second.
    pub requests_per_s: f64,
}

/// Failures of an instance that a balancer has seen a short while ago.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedFailures {
    /// The id of the instance.
    pub instance: String,
    /// The number of failed requests.
    pub failed_requests: u32,
}

/// What a balancer reports of itself with each renewal.
#[derive(Clone, Debug, PartialEq)]
pub struct Lease {
    /// The name of the balancer's node; the key of its lease.
    pub node: String,
    /// Differs for each start of the balancer.
    pub incarnation: u64,
    /// The zone that it runs in.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// Where clients connect.
    pub front_address: SocketAddr,
    /// It can handle requests.
    pub ready: bool,
    /// It is in graceful shutdown, for the rest of the incarnation: no new clients are sent to it.
    pub shutting_down: bool,
    /// What it sends to the instances of each service and region.
    pub request_rates: Vec<RegionRequestRate>,
    /// Instances that have failed requests of it.
    pub observed_failures: Vec<ObservedFailures>,
}

/// A lease, as controllers send it to each other.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRecord {
    /// The lease as it was last renewed.
    pub lease: Lease,
    /// The time since the renewal, in milliseconds.
    pub age_ms: u64,
}

#[derive(Debug)]
struct LeaseEntry {
    lease: Lease,
    renewed_at: u64,
    lost: bool,
    /// Known from the saved state alone.
    restored: bool,
}

/// The balancers that are known from their reports to this controller and from the records of others.
#[derive(Debug)]
pub struct LeaseTable {
    timing: LeaseTiming,
    entries: IndexMap<String, LeaseEntry>,
    /// Nodes that renewed their leases here since the last `take_changes`.
    unsent: BTreeSet<String>,
    /// Since when this controller is partitioned from the others, if it is.
    isolated_since: Option<u64>,
    version: u64,
}

impl LeaseTable {
    /// An empty table.
    pub fn new(timing: LeaseTiming) -> Self {
        LeaseTable {
            timing,
            entries: IndexMap::new(),
            unsent: BTreeSet::new(),
            isolated_since: None,
            version: 1,
        }
    }

    /// Renews a lease; returns whether anything but the rates of sends has changed.
    pub fn renew(&mut self, now: u64, lease: Lease) -> bool {
        self.unsent.insert(lease.node.clone());
        self.take(lease, now)
    }

    /// Merges the record of another controller; returns the same as `renew`.
    pub fn merge(&mut self, now: u64, record: LeaseRecord) -> bool {
        let renewed_at = now.saturating_sub(record.age_ms);
        let entry = self.entries.get(&record.lease.node);
        let newer = entry.is_none_or(|entry| entry.restored || renewed_at > entry.renewed_at);
        let is_recent = renewed_at + self.timing.lease_ms + self.timing.retention_ms >= now;
        newer && is_recent && self.take(record.lease, renewed_at)
    }

    /// Restores a record of the saved state; a lease that was in force then counts as renewed now. Any report or record
    /// of another controller replaces it. Returns whether the balancer was unknown.
    pub fn restore(&mut self, now: u64, record: LeaseRecord) -> bool {
        if self.entries.contains_key(&record.lease.node) || self.entries.len() >= LEASE_CAPACITY {
            return false;
        }
        let was_live = record.age_ms <= self.timing.lease_ms;
        let renewed_at = if was_live { now } else { now.saturating_sub(record.age_ms) };
        let node = record.lease.node.clone();
        self.entries
            .insert(node, LeaseEntry { lease: record.lease, renewed_at, lost: !was_live, restored: true });
        self.version += 1;
        true
    }

    /// Removes what is known from the saved state alone: by now every live balancer has reported.
    pub fn drop_restored(&mut self) {
        let count = self.entries.len();
        self.entries.retain(|_, entry| !entry.restored);
        self.version += (count - self.entries.len()) as u64;
    }

    /// Records of the renewals here since the last call, for the other controllers.
    pub fn take_changes(&mut self, now: u64) -> Vec<LeaseRecord> {
        let unsent = std::mem::take(&mut self.unsent);
        unsent.iter().filter_map(|node| self.entries.get(node)).map(|entry| entry.record(now)).collect()
    }

    /// Whether `take_changes` would return any record.
    pub fn has_changes(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Records of all balancers that are counted.
    pub fn snapshot(&self, now: u64) -> Vec<LeaseRecord> {
        self.entries.values().map(|entry| entry.record(now)).collect()
    }

    /// The records of `snapshot` that have been renewed since this process started.
    pub fn observed_records(&self, now: u64) -> Vec<LeaseRecord> {
        self.entries.values().filter(|entry| !entry.restored).map(|entry| entry.record(now)).collect()
    }

    /// The records of `snapshot` that are known from the saved state alone.
    pub fn restored_records(&self, now: u64) -> Vec<LeaseRecord> {
        self.entries.values().filter(|entry| entry.restored).map(|entry| entry.record(now)).collect()
    }

    /// While this controller is partitioned from the others it keeps counting the balancers that it can't reach.
    pub fn set_isolated(&mut self, now: u64, isolated: bool) {
        self.isolated_since = isolated.then(|| self.isolated_since.unwrap_or(now));
    }

    /// Ends leases that were not renewed and removes balancers after the retention time; returns whether there were any.
    pub fn expire(&mut self, now: u64) -> bool {
        let version = self.version;
        for entry in self.entries.values_mut().filter(|entry| !entry.lost) {
            entry.lost = !entry.is_live(now, &self.timing);
            self.version += u64::from(entry.lost);
        }
        if self.isolated_since.is_none() {
            let removed_after = self.timing.lease_ms + self.timing.retention_ms;
            let count = self.entries.len();
            self.entries.retain(|_, entry| entry.renewed_at + removed_after >= now);
            self.version += (count - self.entries.len()) as u64;
        }
        self.version != version
    }

    /// The leases in force.
    pub fn live_leases(&self, now: u64) -> impl Iterator<Item = &Lease> {
        self.entries.values().filter(move |entry| entry.is_live(now, &self.timing)).map(|entry| &entry.lease)
    }

    /// The leases in force, and those that were in force when this controller was partitioned from the others: it does
    /// not receive the reports of these balancers, but clients may reach them.
    pub fn presumed_live_leases(&self, now: u64) -> impl Iterator<Item = &Lease> {
        let was_live_at_partition = move |entry: &LeaseEntry| {
            self.isolated_since.is_some_and(|since| entry.renewed_at + 2 * self.timing.lease_ms >= since)
        };
        let presumed =
            move |entry: &&LeaseEntry| entry.is_live(now, &self.timing) || was_live_at_partition(entry);
        self.entries.values().filter(presumed).map(|entry| &entry.lease)
    }

    /// The number of balancers that may send requests: those with a lease, and those that lost theirs less than the
    /// retention time ago. A node that has restarted counts once.
    pub fn balancer_count(&self, now: u64) -> u32 {
        let removed_after = self.timing.lease_ms + self.timing.retention_ms;
        let counted =
            |entry: &&LeaseEntry| self.isolated_since.is_some() || entry.renewed_at + removed_after >= now;
        self.entries.values().filter(counted).count() as u32
    }

    /// The rates of requests of all balancers with a lease, summed by service and region.
    pub fn request_rates(&self, now: u64) -> Vec<RegionRequestRate> {
        let mut sums: BTreeMap<(&str, &str), f64> = BTreeMap::new();
        for sends in self.live_leases(now).flat_map(|lease| &lease.request_rates) {
            *sums.entry((&sends.service, &sends.region)).or_default() += sends.requests_per_s;
        }
        let load = |((service, region), requests_per_s): ((&str, &str), f64)| RegionRequestRate {
            service: service.to_owned(),
            region: region.to_owned(),
            requests_per_s,
        };
        sums.into_iter().map(load).collect()
    }

    /// Rises when a balancer is added or removed, or changes anything but its rates.
    pub fn version(&self) -> u64 {
        self.version
    }

    fn take(&mut self, mut lease: Lease, renewed_at: u64) -> bool {
        let entry = self.entries.get(&lease.node);
        let same_incarnation = entry.filter(|entry| entry.lease.incarnation == lease.incarnation);
        lease.shutting_down |= same_incarnation.is_some_and(|entry| entry.lease.shutting_down);
        let changed = entry.is_none_or(|entry| entry.lost || entry.lease.differs_beyond_sends(&lease));
        if entry.is_none() && self.entries.len() >= LEASE_CAPACITY {
            return false;
        }
        self.entries
            .insert(lease.node.clone(), LeaseEntry { lease, renewed_at, lost: false, restored: false });
        self.version += u64::from(changed);
        changed
    }
}

impl Lease {
    fn differs_beyond_sends(&self, other: &Lease) -> bool {
        self.incarnation != other.incarnation
            || self.ready != other.ready
            || self.shutting_down != other.shutting_down
            || self.front_address != other.front_address
            || self.zone != other.zone
            || self.region != other.region
    }
}

impl LeaseEntry {
    fn is_live(&self, now: u64, timing: &LeaseTiming) -> bool {
        self.renewed_at + timing.lease_ms >= now
    }

    fn record(&self, now: u64) -> LeaseRecord {
        LeaseRecord { lease: self.lease.clone(), age_ms: now.saturating_sub(self.renewed_at) }
    }
}
