//! Interned names of services, regions and zones, and the last configurations by their generation.
//!
//! The number of a service stays the same when the configuration changes, so that instances, budgets and requests in
//! flight keep referring to it.

use std::collections::VecDeque;

use indexmap::IndexSet;
use whinspindle_configuration::{Configuration, Route, RouteKind};

use crate::RequestInfo;

/// Number of configurations kept for requests that were matched under them.
const CONFIGURATIONS_KEPT: usize = 8;

/// Number of a service; the same in all configurations.
pub(crate) type ServiceId = usize;
/// Number of a region.
pub(crate) type RegionId = usize;
/// Number of a zone.
pub(crate) type ZoneId = usize;

/// What routing needs to know of a route.
#[derive(Clone, Debug)]
pub(crate) struct RoutePlan {
    /// Answers are streams; latency is the time to their first event.
    pub(crate) streaming: bool,
    /// Requests with a common prefix go to one instance.
    pub(crate) sticky: bool,
    /// Latency target, in milliseconds.
    pub(crate) target_ms: u64,
    /// The regions that may serve it; none if all may.
    pub(crate) home_regions: Option<Vec<RegionId>>,
    /// Index into the configuration's services, number, and weight.
    pub(crate) backends: Vec<(usize, ServiceId, f64)>,
}

/// What is kept of a configuration.
#[derive(Debug)]
struct KnownConfiguration {
    generation: u64,
    routes: Vec<RoutePlan>,
    services: Vec<ServiceId>,
}

/// Numbers of names, and routes by the generation of their configuration.
#[derive(Debug, Default)]
pub(crate) struct Catalogue {
    services: IndexSet<String>,
    regions: IndexSet<String>,
    zones: IndexSet<String>,
    /// Oldest first.
    configurations: VecDeque<KnownConfiguration>,
}

impl Catalogue {
    /// The number of a service, a new one for a new name.
    pub(crate) fn service(&mut self, name: &str) -> ServiceId {
        intern(&mut self.services, name)
    }

    /// The number of a region, a new one for a new name.
    pub(crate) fn region(&mut self, name: &str) -> RegionId {
        intern(&mut self.regions, name)
    }

    /// The number of a zone, a new one for a new name.
    pub(crate) fn zone(&mut self, name: &str) -> ZoneId {
        intern(&mut self.zones, name)
    }

    /// The name of a service; empty for an unknown number.
    pub(crate) fn service_name(&self, service: ServiceId) -> &str {
        self.services.get_index(service).map_or("", String::as_str)
    }

    /// The name of a region; empty for an unknown number.
    pub(crate) fn region_name(&self, region: RegionId) -> &str {
        self.regions.get_index(region).map_or("", String::as_str)
    }

    /// Number of known services.
    pub(crate) fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Number of known regions.
    pub(crate) fn region_count(&self) -> usize {
        self.regions.len()
    }

    /// Adds a configuration as the newest one, in place of one of the same generation.
    pub(crate) fn add_configuration(&mut self, configuration: &Configuration) {
        let services: Vec<_> =
            configuration.services.iter().map(|service| self.service(&service.name)).collect();
        let routes = configuration.routes.iter().map(|route| self.plan(route, &services)).collect();
        self.configurations.retain(|known| known.generation != configuration.generation);
        if self.configurations.len() >= CONFIGURATIONS_KEPT {
            self.configurations.pop_front();
        }
        self.configurations.push_back(KnownConfiguration {
            generation: configuration.generation,
            routes,
            services,
        });
    }

    /// A route of the newest configuration.
    pub(crate) fn newest_route(&self, route: usize) -> Option<&RoutePlan> {
        self.configurations.back()?.routes.get(route)
    }

    /// The route and the service of a request in the configuration under which it was matched.
    pub(crate) fn resolve(&self, facts: &RequestInfo) -> Option<(&RoutePlan, ServiceId)> {
        let known = self.configurations.iter().rev().find(|known| known.generation == facts.generation)?;
        Some((known.routes.get(facts.route)?, *known.services.get(facts.service)?))
    }

    fn plan(&mut self, route: &Route, services: &[ServiceId]) -> RoutePlan {
        let home_regions: Vec<RegionId> = route.home_regions.iter().map(|name| self.region(name)).collect();
        let backend =
            |b: &whinspindle_configuration::Backend| Some((b.service, *services.get(b.service)?, b.weight));
        RoutePlan {
            streaming: route.kind == RouteKind::Streaming,
            sticky: route.sticky,
            target_ms: route.target_ms,
            home_regions: (!home_regions.is_empty()).then_some(home_regions),
            backends: route.backends.iter().filter_map(backend).collect(),
        }
    }
}

impl RoutePlan {
    /// Whether instances of the region may serve the route.
    pub(crate) fn allows(&self, region: RegionId) -> bool {
        self.home_regions.as_ref().is_none_or(|home_regions| home_regions.contains(&region))
    }
}

fn intern(names: &mut IndexSet<String>, name: &str) -> usize {
    match names.get_index_of(name) {
        Some(index) => index,
        None => names.insert_full(name.to_owned()).0,
    }
}
