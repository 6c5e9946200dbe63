//! The router state machine.

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
use crate::instance::InstanceState;
use crate::reachability::Reachability;
use crate::region::CHECK_INTERVAL_MS;
use crate::service::{RoutingContext, Service};
use crate::slow_start::SlowStartPace;
use crate::weighted_sampler::WeightedSampler;
use crate::{AttemptId, InstanceKey};

/// Interval of comparing open attempts with the silence limit.
const SILENCE_CHECK_INTERVAL_MS: u64 = 500;
/// Maximum number of open attempts; further requests are rejected as
/// [`RejectionReason::Full`](crate::RejectionReason::Full).
const ATTEMPT_CAPACITY: usize = 1 << 16;
/// Open attempts older than this are discarded.
const ATTEMPT_RETENTION_MS: u64 = 900_000;

/// Location, limits and mechanisms of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Zone of this balancer.
    pub zone: String,
    /// Region of this balancer.
    pub region: String,
    /// Region of each zone that has balancers, keyed by the name of the zone.
    pub zone_regions: BTreeMap<String, String>,
    /// Limits on the sum over all balancers.
    pub bounds: Bounds,
    /// Heartbeat interval of the instances, in milliseconds.
    pub heartbeat_ms: u64,
    /// Enabled mechanisms.
    pub mechanisms: Mechanisms,
    /// Seed of the random generator.
    pub seed: u64,
}

/// Identity and address of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceTarget {
    /// Address on which the instance listens.
    pub address: SocketAddr,
    /// Id of the instance; each incarnation has a new one.
    pub id: String,
    /// Zone of the instance.
    pub zone: String,
    /// Region of the instance.
    pub region: String,
}

/// Decides where requests go. All times are milliseconds of one monotonic clock that the caller reads.
///
/// [`Router::set_configuration`], [`Router::set_fleet`], [`Router::set_instances`] and
/// [`Router::set_evacuated_zones`] take the state that the control plane sends. For each request,
/// [`Router::draw_service`] and [`Router::choose`] pick an instance. The caller reports the progress of the
/// attempt with [`Router::record_first_event`] and [`Router::finish_attempt`], and calls [`Router::tick`] at
/// the time that the previous call returned.
pub struct Router {
    settings: RouterSettings,
    own_region: RegionId,
    regions_with_balancers: usize,
    random: Pcg,
    pub(crate) catalogue: Catalogue,
    /// Samplers for the services of split routes, keyed by the index of the route.
    samplers: HashMap<usize, WeightedSampler>,
    pub(crate) services: Vec<Service>,
    /// Newest key of each instance id.
    key_by_id: HashMap<String, InstanceKey>,
    /// Service of each instance key.
    service_by_key: HashMap<InstanceKey, ServiceId>,
    next_key: u64,
    /// Ids of instances that never receive new requests again, oldest first.
    retired_ids: IndexSet<String>,
    evacuated_zones: BTreeSet<String>,
    balancer_count: BalancerCount,
    reachability: Reachability,
    attempts: HashMap<AttemptId, Attempt>,
    next_attempt_id: u64,
    next_check_at: u64,
}

impl Router {
    /// Creates a router without configuration and instances.
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
            samplers: HashMap::new(),
            services: Vec::new(),
            key_by_id: HashMap::new(),
            service_by_key: HashMap::new(),
            next_key: 0,
            retired_ids: IndexSet::new(),
            evacuated_zones: BTreeSet::new(),
            balancer_count: BalancerCount::default(),
            reachability: Reachability::default(),
            attempts: HashMap::new(),
            next_attempt_id: 0,
            next_check_at: now + CHECK_INTERVAL_MS,
        }
    }

    /// Sets the newest configuration. A request that was matched under one of the last few configurations is
    /// still resolved by the generation of that configuration.
    pub fn set_configuration(&mut self, now: u64, configuration: &Arc<Configuration>) {
        self.catalogue.add_configuration(configuration);
        self.add_missing_state(now);
        for reported in &configuration.services {
            let id = self.catalogue.service(&reported.name);
            let is_bounded = reported.cold_per_s > 0.0 && self.settings.mechanisms.has(Mechanism::ColdShares);
            self.services[id].slow_start_per_s = if is_bounded { reported.cold_per_s } else { 0.0 };
        }
        self.set_slow_start_paces(now);
    }

    /// Replaces the state of the fleet: the number of balancers, the loads by region, and the failing
    /// instances.
    pub fn set_fleet(&mut self, now: u64, fleet: &Fleet) {
        self.balancer_count.update(now, fleet.balancers);
        let resolve = |load: &RegionLoad| {
            let service = self.catalogue.service(&load.target.service);
            (service, self.catalogue.region(&load.target.region), load.requests_per_s)
        };
        let loads: Vec<_> = fleet.loads.iter().map(resolve).collect();
        self.add_missing_state(now);
        self.apply_shared_failures(now, &fleet.failing);
        for (id, service) in self.services.iter_mut().enumerate() {
            let service_loads = loads.iter().filter(|load| load.0 == id).map(|load| (load.1, load.2));
            service.set_reported_loads(now, self.own_region, service_loads);
        }
        self.set_slow_start_paces(now);
    }

    /// Runs the periodic work that is due. Returns the latest time of the next call.
    pub fn tick(&mut self, now: u64) -> u64 {
        self.count_silent_attempts(now);
        if now >= self.next_check_at {
            self.next_check_at = now + CHECK_INTERVAL_MS;
            self.attempts.retain(|_, attempt| attempt.started_at + ATTEMPT_RETENTION_MS > now);
            if self.balancer_count.apply_pending_count(now) {
                self.set_slow_start_paces(now);
            }
            self.remove_expired_instances(now);
            self.refresh_instances(now);
            self.update_weights(now);
        }
        if self.attempts.is_empty() {
            self.next_check_at
        } else {
            self.next_check_at.min(now + SILENCE_CHECK_INTERVAL_MS)
        }
    }

    /// Rate of this balancer's attempts by service and region; pairs without attempts are omitted.
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

    /// Returns the identity and address of the instance while the router knows it.
    pub fn target(&self, instance: InstanceKey) -> Option<&InstanceTarget> {
        self.instance(instance).map(|instance| &instance.target)
    }

    fn instance(&self, key: InstanceKey) -> Option<&InstanceState> {
        self.services.get(*self.service_by_key.get(&key)?)?.instances.get(&key)
    }

    /// Adds state for the services and regions that are new in the catalogue.
    fn add_missing_state(&mut self, now: u64) {
        let regions = self.catalogue.region_count();
        while self.services.len() < self.catalogue.service_count() {
            let mut service = Service::new(now, self.settings.mechanisms);
            service.budget.set_balancers(self.balancer_count.get(), &self.settings.bounds);
            self.services.push(service);
        }
        self.services.iter_mut().for_each(|service| service.grow_regions(now, regions));
    }

    fn instance_mut(&mut self, key: InstanceKey) -> Option<&mut InstanceState> {
        self.services.get_mut(*self.service_by_key.get(&key)?)?.instances.get_mut(&key)
    }

    /// Divides the limits of slow start and retries by the current number of balancers.
    fn set_slow_start_paces(&mut self, now: u64) {
        let (balancers, bounds) = (self.balancer_count.get(), &self.settings.bounds);
        for service in &mut self.services {
            service.budget.set_balancers(balancers, bounds);
            let is_bounded = service.slow_start_per_s > 0.0;
            service.pace = if is_bounded {
                SlowStartPace::new(service.slow_start_per_s, balancers, bounds)
            } else {
                None
            };
        }
        self.refresh_instances(now);
    }

    fn refresh_instances(&mut self, now: u64) {
        self.services.iter_mut().for_each(|service| service.refresh_instances(now, &mut self.random));
    }

    fn update_weights(&mut self, now: u64) {
        let context = RoutingContext {
            now,
            own_region: self.own_region,
            balancers: self.balancer_count.get(),
            region_count: self.regions_with_balancers,
            zone_count: self.settings.zone_regions.len().max(1),
            bounds: &self.settings.bounds,
        };
        self.services.iter_mut().for_each(|service| service.update_weights(&context, &mut self.random));
    }
}
