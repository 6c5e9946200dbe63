//! The regions in which requests for each host may be served.

use std::collections::{BTreeSet, HashMap};

use crate::configuration::{Configuration, normalize_host};

/// The regions in which requests for a host may be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServingRegions {
    /// All regions, because no route of the host has home regions.
    Any,
    /// The intersection of the home regions of all routes of the host that have home regions. It may be
    /// empty.
    Only(BTreeSet<String>),
}

/// The serving regions of each host of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostRegions {
    by_host: HashMap<String, ServingRegions>,
}

impl ServingRegions {
    /// Whether requests may be served in the given region.
    pub fn contains(&self, region: &str) -> bool {
        match self {
            ServingRegions::Any => true,
            ServingRegions::Only(regions) => regions.contains(region),
        }
    }

    /// Restricts the regions to the home regions of a route. A route without home regions restricts nothing.
    fn restrict_to(self, home_regions: &[String]) -> ServingRegions {
        match self {
            _ if home_regions.is_empty() => self,
            ServingRegions::Any => ServingRegions::Only(home_regions.iter().cloned().collect()),
            ServingRegions::Only(regions) => {
                let is_home = |region: &String| home_regions.contains(region);
                ServingRegions::Only(regions.into_iter().filter(is_home).collect())
            }
        }
    }
}

impl HostRegions {
    /// Computes the serving regions of all hosts of a configuration.
    pub fn new(configuration: &Configuration) -> HostRegions {
        let mut by_host: HashMap<String, ServingRegions> = HashMap::new();
        for route in &configuration.routes {
            let host = normalize_host(&route.host).into_owned();
            let regions = by_host.remove(&host).unwrap_or(ServingRegions::Any);
            by_host.insert(host, regions.restrict_to(&route.home_regions));
        }
        HostRegions { by_host }
    }

    /// Returns the regions in which requests for a host may be served on any of its routes, or `None` for a
    /// host without routes. A port in `host` is ignored.
    pub fn serving_regions(&self, host: &str) -> Option<&ServingRegions> {
        self.by_host.get(normalize_host(host).as_ref())
    }
}
