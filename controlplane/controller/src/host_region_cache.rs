//! A cache of the regions to whose balancers the clients of a host may be directed, derived from the newest
//! known configuration.

use std::collections::BTreeSet;

use whinspindle_configuration::{Configuration, HostRegions, ServingRegions};
use whinspindle_replica::Records;

use crate::commands::records::CONFIGURATION_KEY;

/// The serving regions of unknown hosts: no region besides the client's own.
static CLIENT_REGION_ONLY: ServingRegions = ServingRegions::Only(BTreeSet::new());

/// The serving regions of hosts. The configuration is parsed again only after it has changed.
#[derive(Debug, Default)]
pub struct HostRegionCache {
    /// The sequence of the configuration record from which `hosts` was read.
    sequence: Option<u64>,
    hosts: HostRegions,
}

impl HostRegionCache {
    /// Updates the cache from the configuration in the records. Without records, which is the case while this
    /// controller may not serve them, the cache is unchanged, so that a partitioned controller still directs
    /// clients to the regions that served them before.
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

    /// The regions, besides the client's own, to whose balancers the clients of a host may be directed.
    pub fn regions_of(&self, host: &str) -> &ServingRegions {
        self.hosts.serving_regions(host).unwrap_or(&CLIENT_REGION_ONLY)
    }
}
