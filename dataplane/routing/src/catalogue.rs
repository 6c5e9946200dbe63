//! Services and regions by number, and the last configurations by their generation.
//!
//! The numbers of services stay as they are when the configuration changes, so that instances, budgets and requests on
//! their way keep their meaning.

use std::collections::VecDeque;

use indexmap::IndexSet;
use whinspindle_configuration::{Configuration, Route, RouteKind};

use crate::RequestFacts;

/// So many configurations are remembered for requests that were matched under them.
const REMEMBERED: usize = 8;

/// Number of a service; the same in all configurations.
pub(crate) type ServiceId = usize;
/// Number of a region.
pub(crate) type RegionId = usize;
/// Number of a zone.
pub(crate) type ZoneId = usize;

/// What routing needs to know of a route.
#[derive(Clone, Debug)]
pub(crate) struct RoutePlan {
    pub(crate) streaming: bool,
    pub(crate) sticky: bool,
    pub(crate) target_ms: u64,
    /// The regions that may serve it; none where all may.
    pub(crate) homes: Option<Vec<RegionId>>,
    /// Index into the configuration's services, number, and weight.
    pub(crate) backends: Vec<(usize, ServiceId, f64)>,
}

#[derive(Debug)]
struct Remembered {
    generation: u64,
    routes: Vec<RoutePlan>,
    services: Vec<ServiceId>,
}

#[derive(Debug, Default)]
pub(crate) struct Catalogue {
    services: IndexSet<String>,
    regions: IndexSet<String>,
    zones: IndexSet<String>,
    /// The newest one last.
    remembered: VecDeque<Remembered>,
}

impl Catalogue {
    pub(crate) fn service(&mut self, name: &str) -> ServiceId {
        intern(&mut self.services, name)
    }

    pub(crate) fn region(&mut self, name: &str) -> RegionId {
        intern(&mut self.regions, name)
    }

    pub(crate) fn zone(&mut self, name: &str) -> ZoneId {
        intern(&mut self.zones, name)
    }

    pub(crate) fn service_name(&self, service: ServiceId) -> &str {
        self.services.get_index(service).map_or("", String::as_str)
    }

    pub(crate) fn region_name(&self, region: RegionId) -> &str {
        self.regions.get_index(region).map_or("", String::as_str)
    }

    pub(crate) fn service_count(&self) -> usize {
        self.services.len()
    }

    pub(crate) fn region_count(&self) -> usize {
        self.regions.len()
    }

    /// Remembers a configuration as the newest one.
    pub(crate) fn remember(&mut self, configuration: &Configuration) {
        let services: Vec<_> =
            configuration.services.iter().map(|service| self.service(&service.name)).collect();
        let routes = configuration.routes.iter().map(|route| self.plan(route, &services)).collect();
        self.remembered.retain(|held| held.generation != configuration.generation);
        if self.remembered.len() >= REMEMBERED {
            self.remembered.pop_front();
        }
        self.remembered.push_back(Remembered { generation: configuration.generation, routes, services });
    }

    /// The route in the newest configuration.
    pub(crate) fn newest_route(&self, route: usize) -> Option<&RoutePlan> {
        self.remembered.back()?.routes.get(route)
    }

    /// The route and the service of a request, by the configuration under which it was matched.
    pub(crate) fn resolve(&self, facts: &RequestFacts) -> Option<(&RoutePlan, ServiceId)> {
        let held = self.remembered.iter().rev().find(|held| held.generation == facts.generation)?;
        Some((held.routes.get(facts.route)?, *held.services.get(facts.service)?))
    }

    fn plan(&mut self, route: &Route, services: &[ServiceId]) -> RoutePlan {
        let homes: Vec<RegionId> = route.home_regions.iter().map(|name| self.region(name)).collect();
        let backend =
            |b: &whinspindle_configuration::Backend| Some((b.service, *services.get(b.service)?, b.weight));
        RoutePlan {
            streaming: route.kind == RouteKind::Streaming,
            sticky: route.sticky,
            target_ms: route.target_ms,
            homes: (!homes.is_empty()).then_some(homes),
            backends: route.backends.iter().filter_map(backend).collect(),
        }
    }
}

impl RoutePlan {
    pub(crate) fn allows(&self, region: RegionId) -> bool {
        self.homes.as_ref().is_none_or(|homes| homes.contains(&region))
    }
}

fn intern(names: &mut IndexSet<String>, name: &str) -> usize {
    match names.get_index_of(name) {
        Some(index) => index,
        None => names.insert_full(name.to_owned()).0,
    }
}
