//! Routing state of one service: instances, region models, retry budget and slow start.

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
use crate::region::{self, LastSolution, RegionModel, WeightInputs};
use crate::slow_start::SlowStartPace;
use crate::warming_zone::WarmingZone;

/// Loads that the balancers report are valid for this time.
const REPORTED_LOADS_TTL_MS: u64 = 15_000;
/// The count of ready instances is valid for this time, since ejections and slow starts end without an event.
const READY_COUNT_TTL_MS: u64 = 50;
/// The silence limit is this many times the typical latency.
const SILENCE_FACTOR: f64 = 4.0;
/// Minimum silence limit.
const MIN_SILENCE_LIMIT_MS: f64 = 1_000.0;
/// Weight of a new sample in the exponential moving average of the latency.
const TYPICAL_LATENCY_WEIGHT: f64 = 0.03;
/// At least one in this many instances, and at least one in total, is never ejected: if more instances fail,
/// the cause is elsewhere.
const MIN_ACTIVE_DIVISOR: usize = 5;
/// Unlisted instances are removed after this time.
const UNLISTED_RETENTION_MS: u64 = 60_000;

/// Inputs of a choice besides the service: the time, the location of the balancer and the fleet.
pub(crate) struct RoutingContext<'a> {
    /// Current time, in milliseconds.
    pub(crate) now: u64,
    /// Region of this balancer.
    pub(crate) own_region: RegionId,
    /// Number of balancers; 0 while it is unknown.
    pub(crate) balancers: u32,
    /// Number of regions that have balancers.
    pub(crate) region_count: usize,
    /// Number of zones that have balancers.
    pub(crate) zone_count: usize,
    /// Limits on the sum over all balancers.
    pub(crate) bounds: &'a Bounds,
}

/// The routing state of one service.
#[derive(Debug)]
pub(crate) struct Service {
    /// Known instances in order of their first listing.
    pub(crate) instances: IndexMap<InstanceKey, InstanceState>,
    /// Models of the regions, indexed by [`RegionId`].
    pub(crate) regions: Vec<RegionModel>,
    /// This balancer's share of the retry budget.
    pub(crate) budget: RetryBudget,
    /// Maximum requests per second to an instance in slow start; 0 for no limit.
    pub(crate) slow_start_per_s: f64,
    /// This balancer's pace for instances in slow start.
    pub(crate) pace: Option<SlowStartPace>,
    /// Enabled mechanisms.
    pub(crate) mechanisms: Mechanisms,
    /// Counters of choices.
    pub(crate) counts: ChoiceCounts,
    arrivals: RateCounter,
    locality: LocalityPreference,
    /// Number of ready instances in the zone of this balancer.
    ready_in_own_zone: f64,
    loads_reported_at: Option<u64>,
    last_solution: LastSolution,
    typical_latency_ms: f64,
    ready_counted_at: u64,
    /// Buffer for the candidates of a choice, as indexes into `instances`.
    candidates: Vec<usize>,
    /// Buffer for the region weights of a choice, indexed by [`RegionId`].
    weights: Vec<f64>,
}

impl Service {
    /// Creates a service without instances.
    pub(crate) fn new(now: u64, mechanisms: Mechanisms) -> Self {
        Service {
            instances: IndexMap::new(),
            regions: Vec::new(),
            budget: RetryBudget::default(),
            slow_start_per_s: 0.0,
            pace: None,
            mechanisms,
            counts: ChoiceCounts::default(),
            arrivals: RateCounter::new(now),
            locality: LocalityPreference::new(now),
            ready_in_own_zone: 0.0,
            loads_reported_at: None,
            last_solution: LastSolution::default(),
            typical_latency_ms: 0.0,
            ready_counted_at: 0,
            candidates: Vec::new(),
            weights: Vec::new(),
        }
    }

    /// Adds region models until there are `count` of them.
    pub(crate) fn grow_regions(&mut self, now: u64, count: usize) {
        while self.regions.len() < count {
            self.regions.push(RegionModel::new(now));
        }
    }

    /// Whether any instance accepts requests.
    pub(crate) fn has_instances(&self) -> bool {
        self.instances.values().any(InstanceState::is_in_service)
    }

    /// Records the arrival of a request.
    pub(crate) fn record_arrival(&mut self, now: u64, bounds: &Bounds) {
        self.arrivals.record(now);
        self.budget.earn(bounds);
    }

    /// Starts and ends the slow start of instances, and counts the ready instances.
    pub(crate) fn refresh_instances(&mut self, now: u64, random: &mut Pcg) {
        for instance in self.instances.values_mut() {
            if !instance.is_warming_up(now) {
                instance.slow_start.stop();
            } else if let Some(pace) = &self.pace
                && !instance.slow_start.is_active()
            {
                instance.slow_start.start(now, pace, random.next_f64());
            }
        }
        self.count_ready(now);
    }

    /// Treats all instances of a zone as in slow start if many of them started one within the last `span_ms`,
    /// until the last of these slow starts ends. Instances report their slow start with heartbeats at
    /// different times, some of them late. Otherwise, the last instances to report it would receive all
    /// requests in the meantime.
    pub(crate) fn assume_slow_start_in_warming_zones(&mut self, now: u64, span_ms: u64) {
        let mut zones: BTreeMap<&str, WarmingZone> = BTreeMap::new();
        for instance in self.instances.values().filter(|instance| instance.is_in_service()) {
            let warm_at = instance.recent_slow_start_end(now, span_ms);
            zones.entry(instance.target.zone.as_str()).or_default().add_instance(warm_at);
        }
        zones.retain(|_, zone| zone.is_warming_up());
        let warming_zones: BTreeMap<String, u64> =
            zones.into_iter().map(|(name, zone)| (name.to_owned(), zone.warm_at)).collect();
        for instance in self.instances.values_mut() {
            if let Some(&warm_at) = warming_zones.get(&instance.target.zone) {
                instance.assume_slow_start_until(warm_at);
            }
        }
    }

    /// Removes instances that have been unlisted for a long time and have no open attempt.
    pub(crate) fn remove_expired_instances(&mut self, now: u64) {
        let is_retained = |instance: &InstanceState| {
            instance.in_flight > 0
                || instance.unlisted_since.is_none_or(|since| since + UNLISTED_RETENTION_MS > now)
        };
        self.instances.retain(|_, instance| is_retained(instance));
    }

    /// Replaces the total load of each region as reported by all balancers.
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
            self.locality.update_correction(now, &self.regions, own_region);
        }
    }

    /// Updates the region weights, and solves for new ones if that is due.
    pub(crate) fn update_weights(&mut self, context: &RoutingContext, random: &mut Pcg) {
        self.count_ready(context.now);
        let inputs = WeightInputs {
            now: context.now,
            rate: self.arrivals.per_second(context.now) * f64::from(context.balancers.max(1)),
        };
        if !self.has(Mechanism::SolvedWeights) {
            return;
        }
        let has_reported_loads = self.has_reported_loads(context.now);
        let (now, balancers) = (context.now, context.balancers);
        let load = |region: &RegionModel| region_load(region, has_reported_loads, now, balancers);
        region::solve_weights_if_due(&mut self.regions, &mut self.last_solution, &inputs, load, random);
        region::set_weights(&mut self.regions, self.mechanisms.has(Mechanism::FloorShare));
    }

    /// Requests per second for each ready instance of a region.
    pub(crate) fn load_per_instance(&self, region: RegionId, now: u64, balancers: u32) -> f64 {
        let model = &self.regions[region];
        region_load(model, self.has_reported_loads(now), now, balancers) / model.ready_instances.max(1.0)
    }

    /// The longest time for which a healthy instance answers no attempt, in milliseconds.
    pub(crate) fn silence_limit_ms(&self) -> u64 {
        (SILENCE_FACTOR * self.typical_latency_ms).max(MIN_SILENCE_LIMIT_MS) as u64
    }

    /// Records a latency in the model of its region and in the typical latency.
    pub(crate) fn record_latency(
        &mut self,
        now: u64,
        region: RegionId,
        load_per_instance: f64,
        latency_ms: f64,
    ) {
        self.regions[region].record_latency(now, load_per_instance, latency_ms);
        let step = if self.typical_latency_ms > 0.0 { TYPICAL_LATENCY_WEIGHT } else { 1.0 };
        self.typical_latency_ms += step * (latency_ms - self.typical_latency_ms);
    }

    /// Records an attempt without a response. Ejects the instance if that is due, unless too few instances
    /// would remain.
    pub(crate) fn record_failure(&mut self, now: u64, key: InstanceKey, is_connect_timeout: bool) {
        let listed = self.instances.values().filter(|instance| instance.is_in_service()).count();
        let ready = self.instances.values().filter(|instance| instance.is_ready(now)).count();
        let Some(instance) = self.instances.get_mut(&key) else { return };
        let is_due = if is_connect_timeout {
            instance.health.record_connect_timeout()
        } else {
            instance.health.record_failure()
        };
        if is_due && self.mechanisms.has(Mechanism::Rests) && ready > (listed / MIN_ACTIVE_DIVISOR).max(1) {
            instance.health.eject(now);
            self.ready_counted_at = 0;
        }
    }

    /// Makes the next choice count the ready instances again.
    pub(crate) fn invalidate_ready_counts(&mut self) {
        self.ready_counted_at = 0;
    }

    /// Milliseconds until the first instance leaves slow start. Requests exceed the capacity until then, so
    /// that earlier retries would be rejected again.
    pub(crate) fn warm_up_wait_ms(&self, now: u64) -> Option<u64> {
        let warming_up = self
            .instances
            .values()
            .filter(|instance| instance.is_in_service() && instance.is_warming_up(now));
        warming_up.map(|instance| instance.remaining_slow_start_ms(now)).min()
    }

    fn has(&self, mechanism: Mechanism) -> bool {
        self.mechanisms.has(mechanism)
    }

    fn has_reported_loads(&self, now: u64) -> bool {
        self.loads_reported_at.is_some_and(|at| at + REPORTED_LOADS_TTL_MS >= now)
    }

    fn count_ready(&mut self, now: u64) {
        self.ready_counted_at = now;
        let is_limited = self.slow_start_per_s > 0.0;
        let is_warm = |instance: &InstanceState| !(is_limited && instance.is_warming_up(now));
        let has_warm_instance =
            self.instances.values().any(|instance| instance.is_ready(now) && is_warm(instance));
        self.regions.iter_mut().for_each(|region| region.ready_instances = 0.0);
        self.ready_in_own_zone = 0.0;
        for instance in self.instances.values() {
            if instance.is_ready(now) && (!has_warm_instance || is_warm(instance)) {
                self.regions[instance.region].ready_instances += 1.0;
                self.ready_in_own_zone += if instance.in_own_zone { 1.0 } else { 0.0 };
            }
        }
        region::set_weights(&mut self.regions, self.mechanisms.has(Mechanism::FloorShare));
    }
}

fn region_load(region: &RegionModel, has_reported_loads: bool, now: u64, balancers: u32) -> f64 {
    if has_reported_loads {
        region.reported_load
    } else {
        region.attempts.per_second(now) * f64::from(balancers.max(1))
    }
}
