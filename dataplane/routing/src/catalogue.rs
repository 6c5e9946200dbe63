//! Interned names of services, regions and zones, and the last configurations by generation.
//!
//! A service keeps its id when the configuration changes, so that instances, budgets and requests in flight
//! keep referring to it.

use std::collections::VecDeque;

use indexmap::IndexSet;
use whinspindle_configuration::{Configuration, Route, RouteKind};

use crate::RequestInfo;

/// Number of configurations that are kept for requests that were matched under them.
const RETAINED_CONFIGURATIONS: usize = 8;

/// Id of a service; the same in all configurations.
pub(crate) type ServiceId = usize;
/// Id of a region.
pub(crate) type RegionId = usize;
/// Id of a zone.
pub(crate) type ZoneId = usize;

/// Properties of a route that routing needs.
#[derive(Clone, Debug)]
pub(crate) struct RoutePlan {
    /// Whether responses are streams, whose latency is the time to the first event.
    pub(crate) is_streaming: bool,
    /// Whether the route has prefix affinity.
    pub(crate) is_sticky: bool,
    /// Latency target, in milliseconds.
    pub(crate) target_ms: u64,
    /// Regions that may serve the route; `None` if all may.
    pub(crate) home_regions: Option<Vec<RegionId>>,
    /// Index into the services of the configuration, service id and weight of each backend.
    pub(crate) backends: Vec<(usize, ServiceId, f64)>,
}

/// Routes and services of a configuration.
#[derive(Debug)]
struct KnownConfiguration {
    generation: u64,
    routes: Vec<RoutePlan>,
    services: Vec<ServiceId>,
}

/// Ids of names, and routes by the generation of their configuration.
#[derive(Debug, Default)]
pub(crate) struct Catalogue {
    services: IndexSet<String>,
    regions: IndexSet<String>,
    zones: IndexSet<String>,
    /// The last configurations, oldest first.
    configurations: VecDeque<KnownConfiguration>,
}

impl Catalogue {
    /// Returns the id of a service; a new name gets a new id.
    pub(crate) fn service(&mut self, name: &str) -> ServiceId {
        intern(&mut self.services, name)
    }

    /// Returns the id of a region; a new name gets a new id.
    pub(crate) fn region(&mut self, name: &str) -> RegionId {
        intern(&mut self.regions, name)
    }

    /// Returns the id of a zone; a new name gets a new id.
    pub(crate) fn zone(&mut self, name: &str) -> ZoneId {
        intern(&mut self.zones, name)
    }

    /// Returns the name of a service, or an empty string for an unknown id.
    pub(crate) fn service_name(&self, service: ServiceId) -> &str {
        self.services.get_index(service).map_or("", String::as_str)
    }

    /// Returns the name of a region, or an empty string for an unknown id.
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

    /// Adds a configuration as the newest one and replaces a configuration of the same generation.
    pub(crate) fn add_configuration(&mut self, configuration: &Configuration) {
        let services: Vec<_> =
            configuration.services.iter().map(|service| self.service(&service.name)).collect();
        let routes = configuration.routes.iter().map(|route| self.plan(route, &services)).collect();
        self.configurations.retain(|known| known.generation != configuration.generation);
        if self.configurations.len() >= RETAINED_CONFIGURATIONS {
            self.configurations.pop_front();
        }
        self.configurations.push_back(KnownConfiguration {
            generation: configuration.generation,
            routes,
            services,
        });
    }

    /// Returns a route of the newest configuration.
    pub(crate) fn newest_route(&self, route: usize) -> Option<&RoutePlan> {
        self.configurations.back()?.routes.get(route)
    }

    /// Returns the route and the service of a request in the configuration under which it was matched.
    pub(crate) fn resolve(&self, request: &RequestInfo) -> Option<(&RoutePlan, ServiceId)> {
        let known = self.configurations.iter().rev().find(|known| known.generation == request.generation)?;
        Some((known.routes.get(request.route)?, *known.services.get(request.service)?))
    }

    fn plan(&mut self, route: &Route, services: &[ServiceId]) -> RoutePlan {
        let home_regions: Vec<RegionId> = route.home_regions.iter().map(|name| self.region(name)).collect();
        let backend =
            |b: &whinspindle_configuration::Backend| Some((b.service, *services.get(b.service)?, b.weight));
        RoutePlan {
            is_streaming: route.kind == RouteKind::Streaming,
            is_sticky: route.sticky,
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
