//! Reachability of failure domains: whether this balancer can connect to a zone or a region at all.
//!
//! If connections to several instances of a domain time out and no data arrives from the domain afterwards,
//! the domain is suspected to be partitioned or without power. Requests then go to other domains or are
//! rejected at once, and only an occasional request probes the domain. A failed probe loses no request, since
//! no connection was established.

use std::collections::BTreeSet;

use crate::InstanceKey;
use crate::catalogue::{RegionId, ZoneId};

/// Number of instances with connect timeouts at which a zone is suspected to be unreachable.
const SUSPECT_ZONE_TIMEOUTS: usize = 2;
/// Number of instances with connect timeouts at which a region is suspected to be unreachable.
const SUSPECT_REGION_TIMEOUTS: usize = 3;
/// Backoff before the first probe of a suspected domain, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 250;
/// Maximum number of times that the backoff doubles with further probes.
const DOUBLINGS: u32 = 2;

/// State of one zone or region.
#[derive(Debug, Default)]
struct FailureDomain {
    /// Instances with connect timeouts since the last data from the domain.
    timed_out_instances: BTreeSet<InstanceKey>,
    /// Number of probes since the last data from the domain.
    probes: u32,
    /// Earliest time of the next probe, in milliseconds.
    next_probe_at: u64,
}

impl FailureDomain {
    fn record_connect_timeout(&mut self, now: u64, instance: InstanceKey) {
        self.timed_out_instances.insert(instance);
        self.next_probe_at = self.next_probe_at.max(now + FIRST_BACKOFF_MS);
    }

    fn record_probe(&mut self, now: u64) {
        self.next_probe_at = self.next_probe_at.max(now + (FIRST_BACKOFF_MS << self.probes.min(DOUBLINGS)));
        self.probes += 1;
    }
}

/// The state of all zones and regions.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    zones: Vec<FailureDomain>,
    regions: Vec<FailureDomain>,
    /// Whether any domain has an instance in `timed_out_instances`.
    has_timeouts: bool,
}

impl Reachability {
    /// Records a connect timeout of an instance.
    pub(crate) fn record_connect_timeout(
        &mut self,
        now: u64,
        zone: ZoneId,
        region: RegionId,
        instance: InstanceKey,
    ) {
        self.has_timeouts = true;
        domain_mut(&mut self.zones, zone).record_connect_timeout(now, instance);
        domain_mut(&mut self.regions, region).record_connect_timeout(now, instance);
    }

    /// Records that data was received from an instance. Returns whether its zone or region was suspected.
    pub(crate) fn record_received(&mut self, zone: ZoneId, region: RegionId) -> bool {
        if !self.has_timeouts {
            return false;
        }
        let was_suspect = self.is_suspect(zone, region);
        *domain_mut(&mut self.zones, zone) = FailureDomain::default();
        *domain_mut(&mut self.regions, region) = FailureDomain::default();
        self.has_timeouts =
            self.zones.iter().chain(&self.regions).any(|domain| !domain.timed_out_instances.is_empty());
        was_suspect
    }

    /// Records the start of an attempt. An attempt in a suspected domain is a probe and schedules the next
    /// probe. Returns whether the attempt is a probe.
    pub(crate) fn record_attempt(&mut self, now: u64, zone: ZoneId, region: RegionId) -> bool {
        if !self.is_suspect(zone, region) {
            return false;
        }
        domain_mut(&mut self.zones, zone).record_probe(now);
        domain_mut(&mut self.regions, region).record_probe(now);
        true
    }

    /// Whether a zone or its region is suspected to be unreachable.
    pub(crate) fn is_suspect(&self, zone: ZoneId, region: RegionId) -> bool {
        self.has_timeouts && (self.is_zone_suspect(zone) || self.is_region_suspect(region))
    }

    /// End of the time in which no requests go to a zone, in milliseconds; 0 while the zone is reachable.
    pub(crate) fn unreachable_until(&self, zone: ZoneId, region: RegionId) -> u64 {
        let until =
            |domains: &[FailureDomain], id: usize| domains.get(id).map_or(0, |domain| domain.next_probe_at);
        let zone_until = if self.is_zone_suspect(zone) { until(&self.zones, zone) } else { 0 };
        let region_until = if self.is_region_suspect(region) { until(&self.regions, region) } else { 0 };
        zone_until.max(region_until)
    }

    /// Whether any instance of a zone or its region has a connect timeout since the last data from there.
    pub(crate) fn may_be_unreachable(&self, zone: ZoneId, region: RegionId) -> bool {
        let has_timeouts = |domains: &[FailureDomain], id: usize| {
            domains.get(id).is_some_and(|domain| !domain.timed_out_instances.is_empty())
        };
        self.has_timeouts && (has_timeouts(&self.zones, zone) || has_timeouts(&self.regions, region))
    }

    fn is_zone_suspect(&self, zone: ZoneId) -> bool {
        self.zones.get(zone).is_some_and(|domain| domain.timed_out_instances.len() >= SUSPECT_ZONE_TIMEOUTS)
    }

    fn is_region_suspect(&self, region: RegionId) -> bool {
        self.regions
            .get(region)
            .is_some_and(|domain| domain.timed_out_instances.len() >= SUSPECT_REGION_TIMEOUTS)
    }
}

fn domain_mut(domains: &mut Vec<FailureDomain>, id: usize) -> &mut FailureDomain {
    if domains.len() <= id {
        domains.resize_with(id + 1, FailureDomain::default);
    }
    &mut domains[id]
}
