//! Whether the instances of a zone, or of a whole region, can be reached from this balancer at all.
//!
//! Connections to several instances of a place that are neither taken nor turned down, with nothing heard from the
//! place since, mean that it is cut off or without power. Requests then go elsewhere, or are refused at once, and only
//! one now and then tries whether the place is back. A try is a connection that does not come up: nothing is lost by it.

use std::collections::BTreeSet;

use crate::InstanceKey;
use crate::catalogue::{RegionId, ZoneId};

/// A place is suspect once connections to so many of its instances fell silent.
const SILENT_IN_ZONE: usize = 2;
const SILENT_IN_REGION: usize = 3;
/// The time between two tries of a suspect place; it doubles so many times.
const FIRST_PAUSE_MS: u64 = 250;
const DOUBLINGS: u32 = 2;

/// What is known of one place.
#[derive(Debug, Default)]
struct Reach {
    /// Instances whose connections fell silent since anything was heard from the place.
    silent: BTreeSet<InstanceKey>,
    tries: u32,
    next_try: u64,
}

impl Reach {
    fn note_silence(&mut self, now: u64, instance: InstanceKey) {
        self.silent.insert(instance);
        self.next_try = self.next_try.max(now + FIRST_PAUSE_MS);
    }

    fn note_try(&mut self, now: u64) {
        self.next_try = self.next_try.max(now + (FIRST_PAUSE_MS << self.tries.min(DOUBLINGS)));
        self.tries += 1;
    }
}

/// The suspect zones and regions.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    zones: Vec<Reach>,
    regions: Vec<Reach>,
    /// Something is held against some place.
    has_silence: bool,
}

impl Reachability {
    /// A connection to an instance was neither taken nor turned down in time.
    pub(crate) fn note_silence(&mut self, now: u64, zone: ZoneId, region: RegionId, instance: InstanceKey) {
        self.has_silence = true;
        place(&mut self.zones, zone).note_silence(now, instance);
        place(&mut self.regions, region).note_silence(now, instance);
    }

    /// Anything has come from an instance; answers whether its zone or its region was suspect.
    pub(crate) fn note_heard(&mut self, zone: ZoneId, region: RegionId) -> bool {
        if !self.has_silence {
            return false;
        }
        let was_suspect = self.is_suspect(zone, region);
        *place(&mut self.zones, zone) = Reach::default();
        *place(&mut self.regions, region) = Reach::default();
        self.has_silence = self.zones.iter().chain(&self.regions).any(|reach| !reach.silent.is_empty());
        was_suspect
    }

    /// A send to an instance begins: in a suspect place it is the try, and the next one waits. Answers whether it is.
    pub(crate) fn note_send(&mut self, now: u64, zone: ZoneId, region: RegionId) -> bool {
        if !self.is_suspect(zone, region) {
            return false;
        }
        place(&mut self.zones, zone).note_try(now);
        place(&mut self.regions, region).note_try(now);
        true
    }

    /// Whether a zone, or its region, is taken to be out of reach.
    pub(crate) fn is_suspect(&self, zone: ZoneId, region: RegionId) -> bool {
        self.has_silence && (self.is_zone_suspect(zone) || self.is_region_suspect(region))
    }

    /// Until when nothing is to be sent to a zone; 0 while it is within reach.
    pub(crate) fn closed_until(&self, zone: ZoneId, region: RegionId) -> u64 {
        let until = |places: &[Reach], id: usize| places.get(id).map_or(0, |reach| reach.next_try);
        let zone_until = if self.is_zone_suspect(zone) { until(&self.zones, zone) } else { 0 };
        let region_until = if self.is_region_suspect(region) { until(&self.regions, region) } else { 0 };
        zone_until.max(region_until)
    }

    /// Whether anything fell silent in a zone or its region, and nothing was heard from there since.
    pub(crate) fn is_in_doubt(&self, zone: ZoneId, region: RegionId) -> bool {
        let has_silence =
            |places: &[Reach], id: usize| places.get(id).is_some_and(|reach| !reach.silent.is_empty());
        self.has_silence && (has_silence(&self.zones, zone) || has_silence(&self.regions, region))
    }

    fn is_zone_suspect(&self, zone: ZoneId) -> bool {
        self.zones.get(zone).is_some_and(|reach| reach.silent.len() >= SILENT_IN_ZONE)
    }

    fn is_region_suspect(&self, region: RegionId) -> bool {
        self.regions.get(region).is_some_and(|reach| reach.silent.len() >= SILENT_IN_REGION)
    }
}

fn place(places: &mut Vec<Reach>, id: usize) -> &mut Reach {
    if places.len() <= id {
        places.resize_with(id + 1, Reach::default);
    }
    &mut places[id]
}
