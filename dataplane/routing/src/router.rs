//! The state machine that decides where a request goes.

mod evidence;
mod membership;
mod refusals;
mod sends;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexSet;
use whinspindle::pcg::Pcg;
use whinspindle_configuration::{Bounds, Configuration, Mechanism, Mechanisms};
use whinspindle_distribution::{Fleet, RegionLoad, ServiceRegion};

use self::refusals::{no_upstream_wait_ms, refuse, retry_after_ms};
use self::sends::{Send, begin_send, is_silent, note_latency};
use crate::affinity::shared_prefix;
use crate::balancer_count::BalancerCount;
use crate::catalogue::{Catalogue, RegionId, ServiceId};
use crate::cold::ColdPace;
use crate::even_draw::EvenDraw;
use crate::instance::InstanceState;
use crate::reachability::Reachability;
use crate::region::CHECK_MS;
use crate::service::{Place, Service};
use crate::{Attempt, Choice, InstanceKey, Outcome, RefusalReason, RequestFacts};

/// How often silent instances are looked for while sends are out.
const LOOK_MS: u64 = 500;
/// How many sends may be out at once, and for how long one is remembered.
const ATTEMPT_CAPACITY: usize = 1 << 16;
const ATTEMPT_MS: u64 = 900_000;

/// What a router is told of its place and of the figures that bound it.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    pub zone: String,
    pub region: String,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    pub bounds: Bounds,
    /// Time between two heartbeats of an instance.
    pub heartbeat_ms: u64,
    pub mechanisms: Mechanisms,
    pub seed: u64,
}

/// Where an instance is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceTarget {
    pub address: SocketAddr,
    pub id: String,
    pub zone: String,
    pub region: String,
}

/// Decides where requests go. All times are milliseconds of one steady clock.
pub struct Router {
    settings: RouterSettings,
    home: RegionId,
    regions_with_balancers: usize,
    chance: Pcg,
    pub(crate) catalogue: Catalogue,
    /// Draws the services of split routes, by the number of the route.
    draws: HashMap<usize, EvenDraw>,
    pub(crate) services: Vec<Service>,
    /// The newest key for each id, and the service of each key.
    keys: HashMap<String, InstanceKey>,
    service_of: HashMap<InstanceKey, ServiceId>,
    next_key: u64,
    /// Ids of instances that take no new requests ever again.
    retired: IndexSet<String>,
    evacuated: BTreeSet<String>,
    balancers: BalancerCount,
    reachability: Reachability,
    sends: HashMap<Attempt, Send>,
    next_attempt: u64,
    next_check: u64,
}

impl Router {
    pub fn new(settings: RouterSettings, now: u64) -> Self {
        let mut catalogue = Catalogue::default();
        let home = catalogue.region(&settings.region);
        let regions: BTreeSet<&String> = settings.zones.values().collect();
        let regions_with_balancers = regions.len().max(1);
        regions.into_iter().for_each(|name| _ = catalogue.region(name));
        Router {
            chance: Pcg::new(settings.seed),
            settings,
            home,
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
            sends: HashMap::new(),
            next_attempt: 0,
            next_check: now + CHECK_MS,
        }
    }

    /// Puts a configuration in force. Requests matched under an older one are still understood by its generation.
    pub fn configure(&mut self, now: u64, configuration: &Arc<Configuration>) {
        self.catalogue.remember(configuration);
        self.grow(now);
        for told in &configuration.services {
            let id = self.catalogue.service(&told.name);
            let is_bounded = told.cold_per_s > 0.0 && self.settings.mechanisms.has(Mechanism::ColdShares);
            self.services[id].cold_per_s = if is_bounded { told.cold_per_s } else { 0.0 };
        }
        self.set_paces(now);
    }

    /// Replaces what is known of the fleet of balancers.
    pub fn fleet(&mut self, now: u64, fleet: &Fleet) {
        self.balancers.told(now, fleet.balancers);
        let target = |load: &RegionLoad| {
            let service = self.catalogue.service(&load.target.service);
            (service, self.catalogue.region(&load.target.region), load.requests_per_s)
        };
        let loads: Vec<_> = fleet.loads.iter().map(target).collect();
        self.grow(now);
        self.blame(now, &fleet.failing);
        for (id, service) in self.services.iter_mut().enumerate() {
            let own = loads.iter().filter(|load| load.0 == id).map(|load| (load.1, load.2));
            service.tell_loads(now, self.home, own);
        }
        self.set_paces(now);
    }

    /// Draws the service of a request by the route's weights: an index into the services of the newest configuration.
    /// A service without any instance that may be sent to is left out while there is another; one whose instances turn
    /// requests away, are cold or rest keeps its share.
    pub fn draw_service(&mut self, route: usize) -> usize {
        let Some(plan) = self.catalogue.newest_route(route) else { return 0 };
        if let [(index, _, _)] = plan.backends.as_slice() {
            return *index;
        }
        let has_instances = |id: ServiceId| self.services.get(id).is_some_and(Service::has_instances);
        let able = |&(_, id, weight): &(usize, ServiceId, f64)| if has_instances(id) { weight } else { 0.0 };
        let able: Vec<f64> = plan.backends.iter().map(able).collect();
        let all: Vec<f64> = plan.backends.iter().map(|backend| backend.2).collect();
        let begin = || EvenDraw::beginning_by_chance(&mut self.chance);
        let draw = self.draws.entry(route).or_insert_with(begin);
        let drawn = draw.pick(&able).or_else(|| draw.pick(&all)).unwrap_or(0);
        plan.backends.get(drawn).map_or(0, |backend| backend.0)
    }

    /// Chooses the instance for a first or a repeated send; `tried` are those that the request was sent to before.
    pub fn choose(&mut self, now: u64, facts: &RequestFacts, tried: &[InstanceKey]) -> Choice {
        let place = Place {
            now,
            home: self.home,
            balancers: self.balancers.get(),
            regions: self.regions_with_balancers,
            zones: self.settings.zones.len().max(1),
            bounds: &self.settings.bounds,
        };
        let resolved = self.catalogue.resolve(facts);
        let Some((route, id, service)) =
            resolved.and_then(|(r, id)| Some((r, id, self.services.get_mut(id)?)))
        else {
            let wait_ms = no_upstream_wait_ms(&self.settings);
            return refuse(RefusalReason::NoUpstream, wait_ms, facts, &mut self.chance);
        };
        if tried.is_empty() {
            service.note_arrival(now, place.bounds);
        }
        let is_repeat = tried.len() > facts.unreached;
        let mechanisms = self.settings.mechanisms;
        let may_repeat = mechanisms.has(Mechanism::Repeats) && service.budget.has_token();
        let result = if is_repeat && !may_repeat {
            Err(RefusalReason::RetryBudget)
        } else if self.sends.len() >= ATTEMPT_CAPACITY {
            Err(RefusalReason::Full)
        } else {
            let keeps = route.sticky && mechanisms.has(Mechanism::Holders);
            let prefix = if keeps { shared_prefix(&facts.prompt) } else { None };
            service.choose(&place, route, prefix, tried, &mut self.chance)
        };
        let instance = match result {
            Ok(instance) => instance,
            Err(reason) => {
                service.counts.note_refusal(reason);
                let wait_ms = retry_after_ms(reason, now, route, service, &self.settings);
                return refuse(reason, wait_ms, facts, &mut self.chance);
            }
        };
        if is_repeat {
            service.budget.take();
        }
        let send = begin_send(service, &place, id, instance, facts);
        let (zone, region) = (service.instances[&instance].zone, service.instances[&instance].region);
        let send = Send { is_repeat, streaming: route.streaming, ..send };
        let attempt = Attempt(self.next_attempt);
        self.next_attempt += 1;
        self.sends.insert(attempt, send);
        if self.reachability.note_send(now, zone, region) {
            self.set_reach();
        }
        Choice::Send { attempt, instance }
    }

    /// Whether the instance may still be sent to; asked right before the first byte.
    pub fn may_still_send(&self, instance: InstanceKey) -> bool {
        self.instance(instance).is_some_and(InstanceState::may_be_sent_to)
    }

    /// The first event, or the head of an answer, has come.
    pub fn first_event(&mut self, now: u64, attempt: Attempt) {
        let Some(send) = self.sends.get_mut(&attempt).filter(|send| !send.answered) else { return };
        send.answered = true;
        let service = &mut self.services[send.service];
        if let Some(instance) = service.instances.get_mut(&send.instance) {
            instance.unanswered = instance.unanswered.saturating_sub(1);
            instance.unread_tokens -= u64::from(send.prompt_tokens);
            instance.health.answered(now);
        }
        if send.streaming {
            note_latency(service, now, send);
        }
    }

    /// The send has ended. Each attempt is to be ended once.
    pub fn finished(&mut self, now: u64, attempt: Attempt, outcome: Outcome) {
        let Some(send) = self.sends.remove(&attempt) else { return };
        let service = &mut self.services[send.service];
        if let Some(instance) = service.instances.get_mut(&send.instance) {
            instance.in_flight = instance.in_flight.saturating_sub(1);
            if !send.answered {
                instance.unanswered = instance.unanswered.saturating_sub(1);
                instance.unread_tokens -= u64::from(send.prompt_tokens);
            }
        }
        if outcome == Outcome::Failed
            && let Some(instance) = service.instances.get_mut(&send.instance)
        {
            instance.health.note_failed_answer(now);
        }
        match outcome {
            Outcome::Served => {
                if !send.streaming {
                    note_latency(service, now, &send);
                }
                self.note_answer(now, &send);
            }
            Outcome::Rejected => self.note_answer(now, &send),
            Outcome::Misdirected => self.retire(send.service, send.instance),
            Outcome::Unreachable | Outcome::Silent => {
                if send.is_repeat {
                    service.budget.give_back();
                }
                service.note_failure(now, send.instance, outcome == Outcome::Silent);
            }
            Outcome::Failed | Outcome::Broken if !send.struck => {
                service.note_failure(now, send.instance, false);
            }
            Outcome::Cancelled if is_silent(service, now, &send) => {
                service.note_failure(now, send.instance, false);
            }
            Outcome::Failed | Outcome::Broken | Outcome::Cancelled => {}
        }
        match outcome {
            Outcome::Silent => self.note_silence(now, send.instance),
            Outcome::Served | Outcome::Rejected | Outcome::Misdirected | Outcome::Failed => {
                self.heard(send.instance);
            }
            Outcome::Unreachable | Outcome::Broken | Outcome::Cancelled => {}
        }
    }

    /// Does what is due by time alone; answers when to call again at the latest.
    pub fn tick(&mut self, now: u64) -> u64 {
        self.strike_silent(now);
        if now >= self.next_check {
            self.next_check = now + CHECK_MS;
            self.sends.retain(|_, send| send.sent_at + ATTEMPT_MS > now);
            if self.balancers.pass_time(now) {
                self.set_paces(now);
            }
            self.forget(now);
            self.refresh(now);
            self.check(now);
        }
        if self.sends.is_empty() { self.next_check } else { self.next_check.min(now + LOOK_MS) }
    }

    /// Requests a second that this balancer sends, by service and region.
    pub fn sends(&self, now: u64) -> Vec<RegionLoad> {
        let mut loads = Vec::new();
        for (id, service) in self.services.iter().enumerate() {
            for (region, model) in service.regions.iter().enumerate() {
                let requests_per_s = model.sends.per_second(now);
                if requests_per_s > 0.0 {
                    let service = self.catalogue.service_name(id).to_owned();
                    let region = self.catalogue.region_name(region).to_owned();
                    loads.push(RegionLoad { target: ServiceRegion { service, region }, requests_per_s });
                }
            }
        }
        loads
    }

    /// Where the instance is reached, while it is known.
    pub fn target(&self, instance: InstanceKey) -> Option<&InstanceTarget> {
        self.instance(instance).map(|instance| &instance.target)
    }

    fn instance(&self, key: InstanceKey) -> Option<&InstanceState> {
        self.services.get(*self.service_of.get(&key)?)?.instances.get(&key)
    }

    fn grow(&mut self, now: u64) {
        let regions = self.catalogue.region_count();
        while self.services.len() < self.catalogue.service_count() {
            let mut service = Service::new(now, self.settings.mechanisms);
            service.budget.share_among(self.balancers.get(), &self.settings.bounds);
            self.services.push(service);
        }
        self.services.iter_mut().for_each(|service| service.grow_regions(now, regions));
    }

    fn instance_mut(&mut self, key: InstanceKey) -> Option<&mut InstanceState> {
        self.services.get_mut(*self.service_of.get(&key)?)?.instances.get_mut(&key)
    }

    fn note_answer(&mut self, now: u64, send: &Send) {
        if let Some(instance) = self.services[send.service].instances.get_mut(&send.instance) {
            instance.health.answered(now);
        }
    }

    /// Shares out the bounds among the balancers that there are.
    fn set_paces(&mut self, now: u64) {
        let (balancers, bounds) = (self.balancers.get(), &self.settings.bounds);
        for service in &mut self.services {
            service.budget.share_among(balancers, bounds);
            let bounded = service.cold_per_s > 0.0;
            service.pace = if bounded { ColdPace::new(service.cold_per_s, balancers, bounds) } else { None };
        }
        self.refresh(now);
    }

    fn refresh(&mut self, now: u64) {
        self.services.iter_mut().for_each(|service| service.refresh(now, &mut self.chance));
    }

    fn check(&mut self, now: u64) {
        let place = Place {
            now,
            home: self.home,
            balancers: self.balancers.get(),
            regions: self.regions_with_balancers,
            zones: self.settings.zones.len().max(1),
            bounds: &self.settings.bounds,
        };
        self.services.iter_mut().for_each(|service| service.check(&place, &mut self.chance));
    }

    /// Counts sends against instances that have answered nobody since.
    fn strike_silent(&mut self, now: u64) {
        for send in self.sends.values_mut() {
            let service = &mut self.services[send.service];
            if is_silent(service, now, send) {
                send.struck = true;
                service.note_failure(now, send.instance, false);
            }
        }
    }
}
