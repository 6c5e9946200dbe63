//! The regions in which the requests of each host may be served.

use std::collections::{BTreeSet, HashMap};

use crate::configuration::{Configuration, normalize_host};

/// The regions in which a host's requests may be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServingRegions {
    /// All regions: none of the host's routes has home regions.
    Any,
    /// The regions that are home regions of every route of the host that has any; may be empty.
    Only(BTreeSet<String>),
}

/// The serving regions of the hosts of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostRegions {
    by_host: HashMap<String, ServingRegions>,
}

impl ServingRegions {
    /// Whether requests may be served in this region.
    pub fn contains(&self, region: &str) -> bool {
        match self {
            ServingRegions::Any => true,
            ServingRegions::Only(regions) => regions.contains(region),
        }
    }

    /// The regions in which both may be served.
    fn intersection(self, homes: &[String]) -> ServingRegions {
        match self {
            _ if homes.is_empty() => self,
            ServingRegions::Any => ServingRegions::Only(homes.iter().cloned().collect()),
            ServingRegions::Only(regions) => {
                let is_home = |region: &String| homes.contains(region);
                ServingRegions::Only(regions.into_iter().filter(is_home).collect())
            }
        }
    }
}

impl HostRegions {
    /// The serving regions of all hosts of a configuration.
    pub fn new(configuration: &Configuration) -> HostRegions {
        let mut by_host: HashMap<String, ServingRegions> = HashMap::new();
        for route in &configuration.routes {
            let host = normalize_host(&route.host).into_owned();
            let regions = by_host.remove(&host).unwrap_or(ServingRegions::Any);
            by_host.insert(host, regions.intersection(&route.home_regions));
        }
        HostRegions { by_host }
    }

    /// The regions in which requests of a host may be served, whichever route they take; none for a host without routes. The
    /// host may have a port.
    pub fn serving_regions(&self, host: &str) -> Option<&ServingRegions> {
        self.by_host.get(normalize_host(host).as_ref())
    }
}
