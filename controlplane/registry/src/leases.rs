//! The balancers that hold a lease.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use indexmap::IndexMap;

/// How many balancers are held at once.
const LEASE_CAPACITY: usize = 4096;

/// How long a lease lasts, and how long a lost balancer is still counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// A lease ends this long after its last renewal.
    pub lease_ms: u64,
    /// A balancer that lost its lease counts this long as one that may still send.
    pub hold_ms: u64,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        LeaseTiming { lease_ms: 2_000, hold_ms: 30_000 }
    }
}

/// Requests a second that a balancer sends to the instances of a service in a region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionSends {
    pub service: String,
    pub region: String,
    pub requests_per_s: f64,
}

/// Failures of an instance that a balancer has seen a short while ago.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenFailures {
    pub instance: String,
    pub failures: u32,
}

/// What a balancer says of itself with each renewal.
#[derive(Clone, Debug, PartialEq)]
pub struct Lease {
    pub node: String,
    /// Differs for each start of the balancer.
    pub incarnation: u64,
    pub zone: String,
    pub region: String,
    /// Where clients connect.
    pub front: SocketAddr,
    pub ready: bool,
    /// No new clients are to be sent to it; holds for the rest of the incarnation.
    pub shutting_down: bool,
    pub sends: Vec<RegionSends>,
    pub failing: Vec<SeenFailures>,
}

/// A lease, as controllers tell it to each other.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRecord {
    pub lease: Lease,
    /// Time since the renewal.
    pub age_ms: u64,
}

#[derive(Debug)]
struct Held {
    lease: Lease,
    renewed_at: u64,
    lost: bool,
    /// Known from before the start of this controller alone.
    recalled: bool,
}

/// Knows the balancers from their renewals here and from the records of other controllers.
#[derive(Debug)]
pub struct LeaseTable {
    timing: LeaseTiming,
    held: IndexMap<String, Held>,
    /// Nodes that renewed here since the last `take_changes`.
    unsent: BTreeSet<String>,
    /// Since when this controller is cut off from the others, if it is.
    isolated_since: Option<u64>,
    version: u64,
}

impl LeaseTable {
    pub fn new(timing: LeaseTiming) -> Self {
        LeaseTable {
            timing,
            held: IndexMap::new(),
            unsent: BTreeSet::new(),
            isolated_since: None,
            version: 1,
        }
    }

    /// Takes a renewal; answers whether anything but the rates of sends is new.
    pub fn renew(&mut self, now: u64, lease: Lease) -> bool {
        self.unsent.insert(lease.node.clone());
        self.take(lease, now)
    }

    /// Takes what another controller knows of a balancer; answers as `renew`.
    pub fn merge(&mut self, now: u64, record: LeaseRecord) -> bool {
        let renewed_at = now.saturating_sub(record.age_ms);
        let held = self.held.get(&record.lease.node);
        let newer = held.is_none_or(|held| held.recalled || renewed_at > held.renewed_at);
        let remembered = renewed_at + self.timing.lease_ms + self.timing.hold_ms >= now;
        newer && remembered && self.take(record.lease, renewed_at)
    }

    /// Takes what was known before this controller started; a lease that held then is as good as renewed now. Anything
    /// that is heard takes its place. Answers whether the balancer was unknown.
    pub fn recall(&mut self, now: u64, record: LeaseRecord) -> bool {
        if self.held.contains_key(&record.lease.node) || self.held.len() >= LEASE_CAPACITY {
            return false;
        }
        let held_then = record.age_ms <= self.timing.lease_ms;
        let renewed_at = if held_then { now } else { now.saturating_sub(record.age_ms) };
        let node = record.lease.node.clone();
        self.held.insert(node, Held { lease: record.lease, renewed_at, lost: !held_then, recalled: true });
        self.version += 1;
        true
    }

    /// All balancers have been heard of: those known from before the start alone have ended.
    pub fn drop_recalled(&mut self) {
        let count = self.held.len();
        self.held.retain(|_, held| !held.recalled);
        self.version += (count - self.held.len()) as u64;
    }

    /// Records of the renewals since the last call, for the other controllers.
    pub fn take_changes(&mut self, now: u64) -> Vec<LeaseRecord> {
        let unsent = std::mem::take(&mut self.unsent);
        unsent.iter().filter_map(|node| self.held.get(node)).map(|held| held.record(now)).collect()
    }

    /// Whether something waits for `take_changes`.
    pub fn has_changes(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// All balancers that are counted, with the age of their last renewal.
    pub fn snapshot(&self, now: u64) -> Vec<LeaseRecord> {
        self.held.values().map(|held| held.record(now)).collect()
    }

    /// Those of `snapshot` that were heard of since this controller started.
    pub fn heard(&self, now: u64) -> Vec<LeaseRecord> {
        self.held.values().filter(|held| !held.recalled).map(|held| held.record(now)).collect()
    }

    /// Those of `snapshot` that are known from before the start alone.
    pub fn recalled(&self, now: u64) -> Vec<LeaseRecord> {
        self.held.values().filter(|held| held.recalled).map(|held| held.record(now)).collect()
    }

    /// While this controller is cut off from the others it keeps counting the balancers that it can't hear.
    pub fn set_isolated(&mut self, now: u64, isolated: bool) {
        self.isolated_since = isolated.then(|| self.isolated_since.unwrap_or(now));
    }

    /// Ends leases that were not renewed and forgets the long lost; answers whether there were any.
    pub fn expire(&mut self, now: u64) -> bool {
        let version = self.version;
        for held in self.held.values_mut().filter(|held| !held.lost) {
            held.lost = !held.is_live(now, &self.timing);
            self.version += u64::from(held.lost);
        }
        if self.isolated_since.is_none() {
            let forgotten_after = self.timing.lease_ms + self.timing.hold_ms;
            let count = self.held.len();
            self.held.retain(|_, held| held.renewed_at + forgotten_after >= now);
            self.version += (count - self.held.len()) as u64;
        }
        self.version != version
    }

    /// The leases that hold.
    pub fn live(&self, now: u64) -> impl Iterator<Item = &Lease> {
        self.held.values().filter(move |held| held.is_live(now, &self.timing)).map(|held| &held.lease)
    }

    /// The leases that hold, and those that held when this controller was cut off from the others: their balancers
    /// can't be heard here, but clients may reach them.
    pub fn presumed(&self, now: u64) -> impl Iterator<Item = &Lease> {
        let held_at_cut = move |held: &Held| {
            self.isolated_since.is_some_and(|since| held.renewed_at + 2 * self.timing.lease_ms >= since)
        };
        let presumed = move |held: &&Held| held.is_live(now, &self.timing) || held_at_cut(held);
        self.held.values().filter(presumed).map(|held| &held.lease)
    }

    /// How many balancers may be sending: those with a lease, and those that lost theirs a short while ago. A node
    /// that has started anew counts once.
    pub fn balancers(&self, now: u64) -> u32 {
        let forgotten_after = self.timing.lease_ms + self.timing.hold_ms;
        let counted =
            |held: &&Held| self.isolated_since.is_some() || held.renewed_at + forgotten_after >= now;
        self.held.values().filter(counted).count() as u32
    }

    /// Requests a second that the balancers with a lease send, by service and region.
    pub fn loads(&self, now: u64) -> Vec<RegionSends> {
        let mut sums: BTreeMap<(&str, &str), f64> = BTreeMap::new();
        for sends in self.live(now).flat_map(|lease| &lease.sends) {
            *sums.entry((&sends.service, &sends.region)).or_default() += sends.requests_per_s;
        }
        let load = |((service, region), requests_per_s): ((&str, &str), f64)| RegionSends {
            service: service.to_owned(),
            region: region.to_owned(),
            requests_per_s,
        };
        sums.into_iter().map(load).collect()
    }

    /// Rises when a balancer comes, goes, or changes anything but its rates.
    pub fn version(&self) -> u64 {
        self.version
    }

    fn take(&mut self, mut lease: Lease, renewed_at: u64) -> bool {
        let held = self.held.get(&lease.node);
        let same_life = held.filter(|held| held.lease.incarnation == lease.incarnation);
        lease.shutting_down |= same_life.is_some_and(|held| held.lease.shutting_down);
        let changed = held.is_none_or(|held| held.lost || held.lease.differs_beyond_sends(&lease));
        if held.is_none() && self.held.len() >= LEASE_CAPACITY {
            return false;
        }
        self.held.insert(lease.node.clone(), Held { lease, renewed_at, lost: false, recalled: false });
        self.version += u64::from(changed);
        changed
    }
}

impl Lease {
    fn differs_beyond_sends(&self, other: &Lease) -> bool {
        self.incarnation != other.incarnation
            || self.ready != other.ready
            || self.shutting_down != other.shutting_down
            || self.front != other.front
            || self.zone != other.zone
            || self.region != other.region
    }
}

impl Held {
    fn is_live(&self, now: u64, timing: &LeaseTiming) -> bool {
        self.renewed_at + timing.lease_ms >= now
    }

    fn record(&self, now: u64) -> LeaseRecord {
        LeaseRecord { lease: self.lease.clone(), age_ms: now.saturating_sub(self.renewed_at) }
    }
}
