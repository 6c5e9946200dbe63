//! In which regions clients of a host may be sent to balancers: a view of the newest configuration that is known here.

use std::collections::BTreeSet;

use whinspindle_configuration::{Configuration, HostRegions, ServingRegions};
use whinspindle_replica::Records;

use crate::orders::CONFIGURATION;

/// No region but the client's own: what holds for a host of which nothing is known.
static OWN_REGION_ALONE: ServingRegions = ServingRegions::Only(BTreeSet::new());

/// The serving regions of hosts, read anew only when the configuration has changed.
#[derive(Debug, Default)]
pub struct Residency {
    /// The sequence of the record that `hosts` was read from.
    sequence: Option<u64>,
    hosts: HostRegions,
}

impl Residency {
    /// Takes the configuration of these records. While the records aren't worth telling there are none, and what was
    /// worth it last stays: a controller that is cut off leads clients to the regions that could serve them before.
    pub fn refresh(&mut self, records: Option<&Records>) {
        let Some(records) = records else { return };
        let record = records.get(CONFIGURATION);
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
        self.hosts.of(host).unwrap_or(&OWN_REGION_ALONE)
    }
}
