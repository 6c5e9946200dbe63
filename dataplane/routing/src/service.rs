//! One service: its instances, the models of its regions, its retry budget and its slow start.

mod selection;

use std::collections::BTreeMap;

use indexmap::IndexMap;
use whinspindle::pcg::Pcg;
use whinspindle_configuration::{Bounds, Mechanism, Mechanisms};

use crate::InstanceKey;
use crate::budget::RetryBudget;
use crate::catalogue::RegionId;
use crate::counts::ChoiceCounts;
use crate::instance::InstanceState;
use crate::locality::LocalityPreference;
use crate::rate::RateCounter;
use crate::region::{self, Conditions, RegionModel, Solved};
use crate::slow_start::SlowStartPace;
use crate::warming_zone::WarmingZone;

/// Reported loads of the balancers are valid for this time.
const REPORTED_LOADS_MS: u64 = 15_000;
/// Ready instances are counted again after this time, since ejections and slow starts end by time alone.
const RECOUNT_MS: u64 = 50;
/// The silence limit is this many times the typical latency.
const SILENCE_FACTOR: f64 = 4.0;
/// The least silence limit.
const LEAST_SILENCE_LIMIT_MS: f64 = 1_000.0;
/// Weight of a new latency in the exponential moving average.
const TYPICAL_LATENCY_STEP: f64 = 0.03;
/// At least one in so many instances, and one, stays in use: if more fail, the cause is elsewhere.
const NOT_EJECTED_DIVISOR: usize = 5;
/// An unlisted instance is forgotten after this time.
const FORGET_MS: u64 = 60_000;

/// What a choice depends on besides the service: the time, and the balancer's position in its fleet.
pub(crate) struct RoutingContext<'a> {
    /// The present time, in milliseconds.
    pub(crate) now: u64,
    /// The balancer's region.
    pub(crate) own_region: RegionId,
    /// Number of balancers; 0 while it is unknown.
    pub(crate) balancers: u32,
    /// Number of regions that have balancers.
    pub(crate) regions: usize,
    /// Number of zones that have balancers.
    pub(crate) zones: usize,
    /// Limits that all balancers together keep to.
    pub(crate) bounds: &'a Bounds,
}

/// The routing state of one service.
#[derive(Debug)]
pub(crate) struct Service {
    /// Known instances, in the order in which they became known.
    pub(crate) instances: IndexMap<InstanceKey, InstanceState>,
    /// Models of the regions, by [`RegionId`].
    pub(crate) regions: Vec<RegionModel>,
    /// This balancer's part of the retry budget.
    pub(crate) budget: RetryBudget,
    /// Requests a second that an instance in slow start bears; 0 for no limit.
    pub(crate) cold_per_s: f64,
    /// This balancer's pace for such instances.
    pub(crate) pace: Option<SlowStartPace>,
    /// The mechanisms that are switched on.
    pub(crate) mechanisms: Mechanisms,
    /// Counters of choices.
    pub(crate) counts: ChoiceCounts,
    arrivals: RateCounter,
    locality: LocalityPreference,
    /// Number of ready instances in the balancer's zone.
    zone_ready: f64,
    loads_reported_at: Option<u64>,
    solved: Solved,
    typical_latency_ms: f64,
    counted_at: u64,
    /// Buffers of `choose`: the candidates by index, and the weight of each region.
    candidates: Vec<usize>,
    weights: Vec<f64>,
}

impl Service {
    /// A service without instances.
    pub(crate) fn new(now: u64, mechanisms: Mechanisms) -> Self {
        Service {
            instances: IndexMap::new(),
            regions: Vec::new(),
            budget: RetryBudget::default(),
            cold_per_s: 0.0,
            pace: None,
            mechanisms,
            counts: ChoiceCounts::default(),
            arrivals: RateCounter::new(now),
            locality: LocalityPreference::new(now),
            zone_ready: 0.0,
            loads_reported_at: None,
            solved: Solved::default(),
            typical_latency_ms: 0.0,
            counted_at: 0,
            candidates: Vec::new(),
            weights: Vec::new(),
        }
    }

    /// Adds models until there is one for each of `count` regions.
    pub(crate) fn grow_regions(&mut self, now: u64, count: usize) {
        while self.regions.len() < count {
            self.regions.push(RegionModel::new(now));
        }
    }

    /// Whether any instance takes requests.
    pub(crate) fn has_instances(&self) -> bool {
        self.instances.values().any(InstanceState::may_be_sent_to)
    }

    /// Records the arrival of a request for the service.
    pub(crate) fn record_arrival(&mut self, now: u64, bounds: &Bounds) {
        self.arrivals.record(now);
        self.budget.earn(bounds);
    }

    /// Begins and ends the slow start of instances, and counts ready ones.
    pub(crate) fn refresh(&mut self, now: u64, random: &mut Pcg) {
        for instance in self.instances.values_mut() {
            if !instance.is_warming_up(now) {
                instance.slow_start.end();
            } else if let Some(pace) = &self.pace
                && !instance.slow_start.has_begun()
            {
                instance.slow_start.begin(now, pace, random.next_f64());
            }
        }
        self.count_ready(now);
    }

    /// Treats all instances of a zone as in slow start where many of them have begun one within the last `span_ms`, until the
    /// last of these is warm. Instances report it with their heartbeats one after the other, and some heartbeats are late:
    /// without this, the instances that report it last would get all requests until then.
    pub(crate) fn suspect_warming_zones(&mut self, now: u64, span_ms: u64) {
        let mut zones: BTreeMap<&str, WarmingZone> = BTreeMap::new();
        for instance in self.instances.values().filter(|instance| instance.may_be_sent_to()) {
            let warm_at = instance.warm_at_if_begun_within(now, span_ms);
            zones.entry(instance.target.zone.as_str()).or_default().count(warm_at);
        }
        zones.retain(|_, zone| zone.is_warming_up());
        let turning: BTreeMap<String, u64> =
            zones.into_iter().map(|(name, zone)| (name.to_owned(), zone.warm_at)).collect();
        for instance in self.instances.values_mut() {
            if let Some(&warm_at) = turning.get(&instance.target.zone) {
                instance.suspect_slow_start(warm_at);
            }
        }
    }

    /// Forgets instances that have been unlisted for long and have no open attempt.
    pub(crate) fn forget(&mut self, now: u64) {
        let kept = |instance: &InstanceState| {
            instance.in_flight > 0 || instance.unlisted_since.is_none_or(|since| since + FORGET_MS > now)
        };
        self.instances.retain(|_, instance| kept(instance));
    }

    /// Replaces the loads that all balancers report, by region.
    pub(crate) fn set_reported_loads(
        &mut self,
        now: u64,
        own_region: RegionId,
        loads: impl Iterator<Item = (RegionId, f64)>,
    ) {
        self.regions.iter_mut().for_each(|region| region.reported_load = 0.0);
        self.loads_reported_at = None;
        for (region, load) in loads {
            self.loads_reported_at = Some(now);
            self.regions[region].reported_load += load;
        }
        if self.loads_reported_at.is_some() {
            self.locality.correct(now, &self.regions, own_region);
        }
    }

    /// Checks the weights of regions and solves for new ones where necessary.
    pub(crate) fn check(&mut self, context: &RoutingContext, random: &mut Pcg) {
        self.count_ready(context.now);
        let conditions = Conditions {
            now: context.now,
            rate: self.arrivals.per_second(context.now) * f64::from(context.balancers.max(1)),
        };
        if !self.has(Mechanism::SolvedWeights) {
            return;
        }
        let reported = self.has_reported_loads(context.now);
        let (now, balancers) = (context.now, context.balancers);
        let load = |region: &RegionModel| region_load(region, reported, now, balancers);
        region::check(&mut self.regions, &mut self.solved, &conditions, load, random);
        region::set_weights(&mut self.regions, self.mechanisms.has(Mechanism::FloorShare));
    }

    /// Requests a second for each ready instance of a region.
    pub(crate) fn load_per_ready(&self, region: RegionId, now: u64, balancers: u32) -> f64 {
        let model = &self.regions[region];
        region_load(model, self.has_reported_loads(now), now, balancers) / model.ready.max(1.0)
    }

    /// How long an instance may leave all attempts unanswered, in milliseconds.
    pub(crate) fn silence_limit_ms(&self) -> u64 {
        (SILENCE_FACTOR * self.typical_latency_ms).max(LEAST_SILENCE_LIMIT_MS) as u64
    }

    /// Takes a measured latency into the model of its region and the typical latency.
    pub(crate) fn record_latency(
        &mut self,
        now: u64,
        region: RegionId,
        load_per_ready: f64,
        latency_ms: f64,
    ) {
        self.regions[region].record_latency(now, load_per_ready, latency_ms);
        let step = if self.typical_latency_ms > 0.0 { TYPICAL_LATENCY_STEP } else { 1.0 };
        self.typical_latency_ms += step * (latency_ms - self.typical_latency_ms);
    }

    /// Records an attempt without an answer; ejects the instance if that is due, unless most others are ejected already.
    pub(crate) fn record_failure(&mut self, now: u64, key: InstanceKey, is_certain: bool) {
        let listed = self.instances.values().filter(|instance| instance.may_be_sent_to()).count();
        let ready = self.instances.values().filter(|instance| instance.is_ready(now)).count();
        let Some(instance) = self.instances.get_mut(&key) else { return };
        let is_due =
            if is_certain { instance.health.record_time_out() } else { instance.health.record_failure() };
        if is_due && self.mechanisms.has(Mechanism::Rests) && ready > (listed / NOT_EJECTED_DIVISOR).max(1) {
            instance.health.eject(now);
            self.counted_at = 0;
        }
    }

    /// Has ready instances counted again before the next choice.
    pub(crate) fn recount(&mut self) {
        self.counted_at = 0;
    }

    /// Milliseconds until the first instance leaves slow start. Until then there are more requests than capacity, so that
    /// clients that came back earlier would be rejected again.
    pub(crate) fn warm_up_wait_ms(&self, now: u64) -> Option<u64> {
        let cold = self
            .instances
            .values()
            .filter(|instance| instance.may_be_sent_to() && instance.is_warming_up(now));
        cold.map(|instance| instance.warm_in_ms(now)).min()
    }

    fn has(&self, mechanism: Mechanism) -> bool {
        self.mechanisms.has(mechanism)
    }

    fn has_reported_loads(&self, now: u64) -> bool {
        self.loads_reported_at.is_some_and(|at| at + REPORTED_LOADS_MS >= now)
    }

    fn count_ready(&mut self, now: u64) {
        self.counted_at = now;
        let bounded = self.cold_per_s > 0.0;
        let warm = |instance: &InstanceState| !(bounded && instance.is_warming_up(now));
        let any_warm = self.instances.values().any(|instance| instance.is_ready(now) && warm(instance));
        self.regions.iter_mut().for_each(|region| region.ready = 0.0);
        self.zone_ready = 0.0;
        for instance in self.instances.values() {
            if instance.is_ready(now) && (!any_warm || warm(instance)) {
                self.regions[instance.region].ready += 1.0;
                self.zone_ready += if instance.in_own_zone { 1.0 } else { 0.0 };
            }
        }
        region::set_weights(&mut self.regions, self.mechanisms.has(Mechanism::FloorShare));
    }
}

fn region_load(region: &RegionModel, reported: bool, now: u64, balancers: u32) -> f64 {
    if reported {
        region.reported_load
    } else {
        region.attempts.per_second(now) * f64::from(balancers.max(1))
    }
}
