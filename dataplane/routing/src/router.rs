//! The router: the state machine that decides where a request goes.

mod attempts;
mod choice;
mod evidence;
mod membership;
mod rejections;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexSet;
use whinspindle::pcg::Pcg;
use whinspindle_configuration::{Bounds, Configuration, Mechanism, Mechanisms};
use whinspindle_distribution::{Fleet, RegionLoad, ServiceRegion};

use self::attempts::Attempt;
use crate::balancer_count::BalancerCount;
use crate::catalogue::{Catalogue, RegionId, ServiceId};
use crate::even_draw::EvenDraw;
use crate::instance::InstanceState;
use crate::reachability::Reachability;
use crate::region::CHECK_MS;
use crate::service::{RoutingContext, Service};
use crate::slow_start::SlowStartPace;
use crate::{AttemptId, InstanceKey};

/// How often open attempts are checked against the silence limit.
const SILENCE_CHECK_MS: u64 = 500;
/// The most open attempts; requests beyond it are rejected as [`RejectionReason::Full`](crate::RejectionReason::Full).
const ATTEMPT_CAPACITY: usize = 1 << 16;
/// An attempt that is not ended is forgotten after this time.
const ATTEMPT_RETENTION_MS: u64 = 900_000;

/// Where a router runs and the limits that it keeps to.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Zone of this balancer.
    pub zone: String,
    /// Region of this balancer.
    pub region: String,
    /// Region of each zone that has balancers, by the zone's name.
    pub zone_regions: BTreeMap<String, String>,
    /// Limits that all balancers together keep to.
    pub bounds: Bounds,
    /// Time between two heartbeats of an instance, in milliseconds.
    pub heartbeat_ms: u64,
    /// The mechanisms that are switched on.
    pub mechanisms: Mechanisms,
    /// Seed of the random generator.
    pub seed: u64,
}

/// Identity and address of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceTarget {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its id, of this incarnation alone.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// Decides where requests go. All times are milliseconds of one monotonic clock that the caller reads.
///
/// [`Router::set_configuration`], [`Router::set_fleet`], [`Router::set_instances`] and [`Router::set_evacuated_zones`] take what the control plane
/// sends. For each request [`Router::draw_service`] and [`Router::choose`] pick an instance; the caller reports the course
/// of the attempt with [`Router::record_first_event`] and [`Router::finish_attempt`], and calls [`Router::tick`] when it asks for it.
pub struct Router {
    settings: RouterSettings,
    own_region: RegionId,
    regions_with_balancers: usize,
    random: Pcg,
    pub(crate) catalogue: Catalogue,
    /// Draws the services of split routes, by the index of the route.
    draws: HashMap<usize, EvenDraw>,
    pub(crate) services: Vec<Service>,
    /// The newest key of each instance id.
    keys: HashMap<String, InstanceKey>,
    /// The service of each key.
    service_of: HashMap<InstanceKey, ServiceId>,
    next_key: u64,
    /// Ids of instances that take no new requests ever again, oldest first.
    retired: IndexSet<String>,
    /// Zones that are evacuated.
    evacuated: BTreeSet<String>,
    balancers: BalancerCount,
    reachability: Reachability,
    attempts: HashMap<AttemptId, Attempt>,
    next_attempt: u64,
    next_check: u64,
}

impl Router {
    /// A router without configuration and instances.
    pub fn new(settings: RouterSettings, now: u64) -> Self {
        let mut catalogue = Catalogue::default();
        let own_region = catalogue.region(&settings.region);
        let regions: BTreeSet<&String> = settings.zone_regions.values().collect();
        let regions_with_balancers = regions.len().max(1);
        regions.into_iter().for_each(|name| _ = catalogue.region(name));
        Router {
            random: Pcg::new(settings.seed),
            settings,
            own_region,
            regions_with_balancers,
            catalogue,
            draws: HashMap::new(),
            services: Vec::new(),
            keys: HashMap::new(),
            service_of: HashMap::new(),
            next_key: 0,
            retired: IndexSet::new(),
            evacuated: BTreeSet::new(),
            balancers: BalancerCount::default(),
            reachability: Reachability::default(),
            attempts: HashMap::new(),
            next_attempt: 0,
            next_check: now + CHECK_MS,
        }
    }

    /// Takes a configuration as the newest one. Requests that were matched under one of the last few older ones are still
    /// resolved by its generation.
    pub fn set_configuration(&mut self, now: u64, configuration: &Arc<Configuration>) {
        self.catalogue.add_configuration(configuration);
        self.grow(now);
        for reported in &configuration.services {
            let id = self.catalogue.service(&reported.name);
            let is_bounded = reported.cold_per_s > 0.0 && self.settings.mechanisms.has(Mechanism::ColdShares);
            self.services[id].cold_per_s = if is_bounded { reported.cold_per_s } else { 0.0 };
        }
        self.set_slow_start_paces(now);
    }

    /// Replaces the state of the fleet: number of balancers, loads by region, and failing instances.
    pub fn set_fleet(&mut self, now: u64, fleet: &Fleet) {
        self.balancers.update(now, fleet.balancers);
        let target = |load: &RegionLoad| {
            let service = self.catalogue.service(&load.target.service);
            (service, self.catalogue.region(&load.target.region), load.requests_per_s)
        };
        let loads: Vec<_> = fleet.loads.iter().map(target).collect();
        self.grow(now);
        self.apply_shared_failures(now, &fleet.failing);
        for (id, service) in self.services.iter_mut().enumerate() {
            let own = loads.iter().filter(|load| load.0 == id).map(|load| (load.1, load.2));
            service.set_reported_loads(now, self.own_region, own);
        }
        self.set_slow_start_paces(now);
    }

    /// Does what is due by time alone. Returns the time at which to call again at the latest.
    pub fn tick(&mut self, now: u64) -> u64 {
        self.count_silent_attempts(now);
        if now >= self.next_check {
            self.next_check = now + CHECK_MS;
            self.attempts.retain(|_, attempt| attempt.sent_at + ATTEMPT_RETENTION_MS > now);
            if self.balancers.pass_time(now) {
                self.set_slow_start_paces(now);
            }
            self.forget(now);
            self.refresh(now);
            self.check(now);
        }
        if self.attempts.is_empty() { self.next_check } else { self.next_check.min(now + SILENCE_CHECK_MS) }
    }

    /// This balancer's rate of attempts, by service and region; those without any are left out.
    pub fn attempt_rates(&self, now: u64) -> Vec<RegionLoad> {
        let mut loads = Vec::new();
        for (id, service) in self.services.iter().enumerate() {
            for (region, model) in service.regions.iter().enumerate() {
                let requests_per_s = model.attempts.per_second(now);
                if requests_per_s > 0.0 {
                    let service = self.catalogue.service_name(id).to_owned();
                    let region = self.catalogue.region_name(region).to_owned();
                    loads.push(RegionLoad { target: ServiceRegion { service, region }, requests_per_s });
                }
            }
        }
        loads
    }

    /// Identity and address of the instance, as long as it is known.
    pub fn target(&self, instance: InstanceKey) -> Option<&InstanceTarget> {
        self.instance(instance).map(|instance| &instance.target)
    }

    fn instance(&self, key: InstanceKey) -> Option<&InstanceState> {
        self.services.get(*self.service_of.get(&key)?)?.instances.get(&key)
    }

    /// Adds state for services and regions that are new in the catalogue.
    fn grow(&mut self, now: u64) {
        let regions = self.catalogue.region_count();
        while self.services.len() < self.catalogue.service_count() {
            let mut service = Service::new(now, self.settings.mechanisms);
            service.budget.set_balancers(self.balancers.get(), &self.settings.bounds);
            self.services.push(service);
        }
        self.services.iter_mut().for_each(|service| service.grow_regions(now, regions));
    }

    fn instance_mut(&mut self, key: InstanceKey) -> Option<&mut InstanceState> {
        self.services.get_mut(*self.service_of.get(&key)?)?.instances.get_mut(&key)
    }

    /// Divides the limits among the present number of balancers.
    fn set_slow_start_paces(&mut self, now: u64) {
        let (balancers, bounds) = (self.balancers.get(), &self.settings.bounds);
        for service in &mut self.services {
            service.budget.set_balancers(balancers, bounds);
            let bounded = service.cold_per_s > 0.0;
            service.pace =
                if bounded { SlowStartPace::new(service.cold_per_s, balancers, bounds) } else { None };
        }
        self.refresh(now);
    }

    fn refresh(&mut self, now: u64) {
        self.services.iter_mut().for_each(|service| service.refresh(now, &mut self.random));
    }

    fn check(&mut self, now: u64) {
        let context = RoutingContext {
            now,
            own_region: self.own_region,
            balancers: self.balancers.get(),
            regions: self.regions_with_balancers,
            zones: self.settings.zone_regions.len().max(1),
            bounds: &self.settings.bounds,
        };
        self.services.iter_mut().for_each(|service| service.check(&context, &mut self.random));
    }
}
