//! Reachability of failure domains: whether this balancer can connect to a zone or a region at all.
//!
//! If connecting to several instances of a domain times out and nothing is received from the domain since, it is taken to
//! be partitioned or without power. Requests then go elsewhere or are rejected at once, and only an occasional one probes
//! the domain. A failed probe is a connection that does not come up: no request is lost by it.

use std::collections::BTreeSet;

use crate::InstanceKey;
use crate::catalogue::{RegionId, ZoneId};

/// A zone is suspected once connecting to so many of its instances has timed out.
const TIMED_OUT_IN_ZONE: usize = 2;
/// The same for a region.
const TIMED_OUT_IN_REGION: usize = 3;
/// Backoff before the first probe of a suspected domain, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 250;
/// The backoff doubles with each probe, at most this many times.
const DOUBLINGS: u32 = 2;

/// What is known of one zone or region.
#[derive(Debug, Default)]
struct FailureDomain {
    /// Instances to which connecting has timed out since anything was received from the domain.
    timed_out: BTreeSet<InstanceKey>,
    /// Probes since then.
    probes: u32,
    /// Earliest time of the next probe, in milliseconds.
    next_probe: u64,
}

impl FailureDomain {
    fn record_time_out(&mut self, now: u64, instance: InstanceKey) {
        self.timed_out.insert(instance);
        self.next_probe = self.next_probe.max(now + FIRST_BACKOFF_MS);
    }

    fn record_probe(&mut self, now: u64) {
        self.next_probe = self.next_probe.max(now + (FIRST_BACKOFF_MS << self.probes.min(DOUBLINGS)));
        self.probes += 1;
    }
}

/// The state of all zones and regions.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    zones: Vec<FailureDomain>,
    regions: Vec<FailureDomain>,
    /// Some domain has an instance in `timed_out`.
    has_time_outs: bool,
}

impl Reachability {
    /// Records that connecting to an instance has timed out.
    pub(crate) fn record_time_out(
        &mut self,
        now: u64,
        zone: ZoneId,
        region: RegionId,
        instance: InstanceKey,
    ) {
        self.has_time_outs = true;
        domain_mut(&mut self.zones, zone).record_time_out(now, instance);
        domain_mut(&mut self.regions, region).record_time_out(now, instance);
    }

    /// Records that something was received from an instance. Returns whether its zone or region was suspected.
    pub(crate) fn record_received(&mut self, zone: ZoneId, region: RegionId) -> bool {
        if !self.has_time_outs {
            return false;
        }
        let was_suspect = self.is_suspect(zone, region);
        *domain_mut(&mut self.zones, zone) = FailureDomain::default();
        *domain_mut(&mut self.regions, region) = FailureDomain::default();
        self.has_time_outs =
            self.zones.iter().chain(&self.regions).any(|domain| !domain.timed_out.is_empty());
        was_suspect
    }

    /// Records the begin of an attempt. In a suspected domain it is the probe, and the next one is scheduled; returns whether
    /// it is.
    pub(crate) fn record_attempt(&mut self, now: u64, zone: ZoneId, region: RegionId) -> bool {
        if !self.is_suspect(zone, region) {
            return false;
        }
        domain_mut(&mut self.zones, zone).record_probe(now);
        domain_mut(&mut self.regions, region).record_probe(now);
        true
    }

    /// Whether a zone or its region is suspected of being unreachable.
    pub(crate) fn is_suspect(&self, zone: ZoneId, region: RegionId) -> bool {
        self.has_time_outs && (self.is_zone_suspect(zone) || self.is_region_suspect(region))
    }

    /// Until when nothing is to be sent to a zone, in milliseconds; 0 while it is reachable.
    pub(crate) fn unreachable_until(&self, zone: ZoneId, region: RegionId) -> u64 {
        let until =
            |domains: &[FailureDomain], id: usize| domains.get(id).map_or(0, |domain| domain.next_probe);
        let zone_until = if self.is_zone_suspect(zone) { until(&self.zones, zone) } else { 0 };
        let region_until = if self.is_region_suspect(region) { until(&self.regions, region) } else { 0 };
        zone_until.max(region_until)
    }

    /// Whether connecting to any instance of a zone or its region has timed out and nothing was received from there since.
    pub(crate) fn may_be_unreachable(&self, zone: ZoneId, region: RegionId) -> bool {
        let has_time_outs = |domains: &[FailureDomain], id: usize| {
            domains.get(id).is_some_and(|domain| !domain.timed_out.is_empty())
        };
        self.has_time_outs && (has_time_outs(&self.zones, zone) || has_time_outs(&self.regions, region))
    }

    fn is_zone_suspect(&self, zone: ZoneId) -> bool {
        self.zones.get(zone).is_some_and(|domain| domain.timed_out.len() >= TIMED_OUT_IN_ZONE)
    }

    fn is_region_suspect(&self, region: RegionId) -> bool {
        self.regions.get(region).is_some_and(|domain| domain.timed_out.len() >= TIMED_OUT_IN_REGION)
    }
}

fn domain_mut(domains: &mut Vec<FailureDomain>, id: usize) -> &mut FailureDomain {
    if domains.len() <= id {
        domains.resize_with(id + 1, FailureDomain::default);
    }
    &mut domains[id]
}
