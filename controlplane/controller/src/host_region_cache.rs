//! The regions in which clients of a host may be sent to balancers, derived from the newest known configuration.

use std::collections::BTreeSet;

use whinspindle_configuration::{Configuration, HostRegions, ServingRegions};
use whinspindle_replica::Records;

use crate::commands::records::CONFIGURATION_KEY;

/// No region but the client's own: the rule for unknown hosts.
static OWN_REGION_ONLY: ServingRegions = ServingRegions::Only(BTreeSet::new());

/// The serving regions of hosts; the configuration is parsed again only when it has changed.
#[derive(Debug, Default)]
pub struct HostRegionCache {
    /// The sequence of the record that `hosts` was read from.
    sequence: Option<u64>,
    hosts: HostRegions,
}

impl HostRegionCache {
    /// Takes the configuration of these records. None are given while this controller may not serve records; the cache
    /// then stays as it is, so that a partitioned controller directs clients to the regions that served them before.
    pub fn refresh(&mut self, records: Option<&Records>) {
        let Some(records) = records else { return };
        let record = records.get(CONFIGURATION_KEY);
        let sequence = record.map(|record| record.sequence);
        if sequence == self.sequence {
            return;
        }
        self.sequence = sequence;
        let configuration = record.and_then(|record| Configuration::parse(&record.value).ok());
        self.hosts = configuration.as_ref().map(HostRegions::new).unwrap_or_default();
    }

    /// The regions, beside the client's own, of the balancers that may be named to clients of a host.
    pub fn regions_of(&self, host: &str) -> &ServingRegions {
        self.hosts.serving_regions(host).unwrap_or(&OWN_REGION_ONLY)
    }
}
