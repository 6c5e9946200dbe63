//! One service: its instances, its regions and what bounds the sends to it.

mod selection;

use std::collections::BTreeMap;

use indexmap::IndexMap;
use whinspindle::pcg::Pcg;
use whinspindle_configuration::{Bounds, Mechanism, Mechanisms};

use crate::InstanceKey;
use crate::budget::RetryBudget;
use crate::catalogue::RegionId;
use crate::cold::ColdPace;
use crate::counts::ChoiceCounts;
use crate::home::HomePreference;
use crate::instance::InstanceState;
use crate::rate::RateCounter;
use crate::region::{self, Conditions, RegionModel, Solved};
use crate::turning_zone::TurningZone;

/// What the balancers tell of their sends counts so long after it came.
const TOLD_LOADS_MS: u64 = 15_000;
/// Ready instances are counted anew after this time: rests and cold times end by themselves.
const COUNT_MS: u64 = 50;
/// An instance that answers nobody for this many times the usual time is taken for silent.
const SILENT: f64 = 4.0;
const LEAST_SILENCE_MS: f64 = 1_000.0;
/// The usual latency moves by this part of the difference with each answer.
const USUAL_STEP: f64 = 0.03;
/// At least this part of the instances, and one, don't rest: beyond it the fault is not theirs.
const AWAKE_PART: usize = 5;
/// An unlisted instance is forgotten after this time.
const FORGET_MS: u64 = 60_000;

/// What sends from this balancer are drawn under.
pub(crate) struct Place<'a> {
    pub(crate) now: u64,
    pub(crate) home: RegionId,
    pub(crate) balancers: u32,
    /// Regions that have balancers.
    pub(crate) regions: usize,
    /// Zones that have balancers.
    pub(crate) zones: usize,
    pub(crate) bounds: &'a Bounds,
}

#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) instances: IndexMap<InstanceKey, InstanceState>,
    pub(crate) regions: Vec<RegionModel>,
    pub(crate) budget: RetryBudget,
    /// Requests a second that a cold instance bears; 0 for no bound.
    pub(crate) cold_per_s: f64,
    pub(crate) pace: Option<ColdPace>,
    pub(crate) mechanisms: Mechanisms,
    pub(crate) counts: ChoiceCounts,
    arrivals: RateCounter,
    home: HomePreference,
    /// Ready instances in the balancer's zone.
    zone_ready: f64,
    told_loads_at: Option<u64>,
    solved: Solved,
    usual_ms: f64,
    counted_at: u64,
    /// Scratch of `choose`: the candidates of the best standing, by index, and each region's weight.
    candidates: Vec<usize>,
    weights: Vec<f64>,
}

impl Service {
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
            home: HomePreference::new(now),
            zone_ready: 0.0,
            told_loads_at: None,
            solved: Solved::default(),
            usual_ms: 0.0,
            counted_at: 0,
            candidates: Vec::new(),
            weights: Vec::new(),
        }
    }

    pub(crate) fn grow_regions(&mut self, now: u64, count: usize) {
        while self.regions.len() < count {
            self.regions.push(RegionModel::new(now));
        }
    }

    /// Whether some instance may be sent to at all.
    pub(crate) fn has_instances(&self) -> bool {
        self.instances.values().any(InstanceState::may_be_sent_to)
    }

    /// A request for the service has come.
    pub(crate) fn note_arrival(&mut self, now: u64, bounds: &Bounds) {
        self.arrivals.note(now);
        self.budget.earn(bounds);
    }

    /// Begins and ends this balancer's shares of cold instances, and counts ready ones.
    pub(crate) fn refresh(&mut self, now: u64, chance: &mut Pcg) {
        for instance in self.instances.values_mut() {
            if !instance.is_cold(now) {
                instance.cold_share.end();
            } else if let Some(pace) = &self.pace
                && !instance.cold_share.is_begun()
            {
                instance.cold_share.begin(now, pace, chance.unit());
            }
        }
        self.count_ready(now);
    }

    /// Takes all instances of a zone for cold where many of them turned cold within so long before, for as long as these
    /// are. They tell it with their heartbeats, one after the other, and some heartbeats are late; the last instances
    /// would get all requests until then.
    pub(crate) fn suspect_zones_that_turn_cold(&mut self, now: u64, span_ms: u64) {
        let mut zones: BTreeMap<&str, TurningZone> = BTreeMap::new();
        for instance in self.instances.values().filter(|instance| instance.may_be_sent_to()) {
            let cold_until = instance.turned_cold_within(now, span_ms);
            zones.entry(instance.target.zone.as_str()).or_default().count(cold_until);
        }
        zones.retain(|_, zone| zone.turns_cold());
        let turning: BTreeMap<String, u64> =
            zones.into_iter().map(|(name, zone)| (name.to_owned(), zone.cold_until)).collect();
        for instance in self.instances.values_mut() {
            if let Some(&cold_until) = turning.get(&instance.target.zone) {
                instance.suspect_cold(cold_until);
            }
        }
    }

    /// Forgets instances that have long been unlisted and hold no send.
    pub(crate) fn forget(&mut self, now: u64) {
        let kept = |instance: &InstanceState| {
            instance.in_flight > 0 || instance.unlisted_since.is_none_or(|since| since + FORGET_MS > now)
        };
        self.instances.retain(|_, instance| kept(instance));
    }

    /// What all balancers send, by region.
    pub(crate) fn tell_loads(
        &mut self,
        now: u64,
        home: RegionId,
        loads: impl Iterator<Item = (RegionId, f64)>,
    ) {
        self.regions.iter_mut().for_each(|region| region.told_load = 0.0);
        self.told_loads_at = None;
        for (region, load) in loads {
            self.told_loads_at = Some(now);
            self.regions[region].told_load += load;
        }
        if self.told_loads_at.is_some() {
            self.home.correct(now, &self.regions, home);
        }
    }

    /// Checks the weights of regions.
    pub(crate) fn check(&mut self, place: &Place, chance: &mut Pcg) {
        self.count_ready(place.now);
        let conditions = Conditions {
            now: place.now,
            rate: self.arrivals.per_second(place.now) * f64::from(place.balancers.max(1)),
        };
        if !self.has(Mechanism::SolvedWeights) {
            return;
        }
        let told = self.has_told_loads(place.now);
        let (now, balancers) = (place.now, place.balancers);
        let load = |region: &RegionModel| region_load(region, told, now, balancers);
        region::check(&mut self.regions, &mut self.solved, &conditions, load, chance);
        region::set_shares(&mut self.regions, self.mechanisms.has(Mechanism::FloorShare));
    }

    /// Load for each ready instance of a region.
    pub(crate) fn load_per_ready(&self, region: RegionId, now: u64, balancers: u32) -> f64 {
        let model = &self.regions[region];
        region_load(model, self.has_told_loads(now), now, balancers) / model.ready.max(1.0)
    }

    /// How long an instance may be silent.
    pub(crate) fn patience_ms(&self) -> u64 {
        (SILENT * self.usual_ms).max(LEAST_SILENCE_MS) as u64
    }

    pub(crate) fn note_latency(&mut self, now: u64, region: RegionId, load_per_ready: f64, latency_ms: f64) {
        self.regions[region].note_latency(now, load_per_ready, latency_ms);
        let step = if self.usual_ms > 0.0 { USUAL_STEP } else { 1.0 };
        self.usual_ms += step * (latency_ms - self.usual_ms);
    }

    /// A send came to nothing; the instance may rest, unless most others do so already.
    pub(crate) fn note_failure(&mut self, now: u64, key: InstanceKey, is_certain: bool) {
        let listed = self.instances.values().filter(|instance| instance.may_be_sent_to()).count();
        let ready = self.instances.values().filter(|instance| instance.is_ready(now)).count();
        let Some(instance) = self.instances.get_mut(&key) else { return };
        let is_due = if is_certain { instance.health.fell_silent() } else { instance.health.failed() };
        if is_due && self.mechanisms.has(Mechanism::Rests) && ready > (listed / AWAKE_PART).max(1) {
            instance.health.rest(now);
            self.counted_at = 0;
        }
    }

    /// Ready instances are counted anew before the next choice.
    pub(crate) fn recount(&mut self) {
        self.counted_at = 0;
    }

    /// Milliseconds until the first cold instance is warm. There is less room than requests until then, so that those
    /// that came back for this balancer's next share would be turned away again.
    pub(crate) fn cold_wait_ms(&self, now: u64) -> Option<u64> {
        let cold =
            self.instances.values().filter(|instance| instance.may_be_sent_to() && instance.is_cold(now));
        cold.map(|instance| instance.cold_for_ms(now)).min()
    }

    fn has(&self, mechanism: Mechanism) -> bool {
        self.mechanisms.has(mechanism)
    }

    fn has_told_loads(&self, now: u64) -> bool {
        self.told_loads_at.is_some_and(|at| at + TOLD_LOADS_MS >= now)
    }

    fn count_ready(&mut self, now: u64) {
        self.counted_at = now;
        let bounded = self.cold_per_s > 0.0;
        let warm = |instance: &InstanceState| !(bounded && instance.is_cold(now));
        let any_warm = self.instances.values().any(|instance| instance.is_ready(now) && warm(instance));
        self.regions.iter_mut().for_each(|region| region.ready = 0.0);
        self.zone_ready = 0.0;
        for instance in self.instances.values() {
            if instance.is_ready(now) && (!any_warm || warm(instance)) {
                self.regions[instance.region].ready += 1.0;
                self.zone_ready += if instance.in_own_zone { 1.0 } else { 0.0 };
            }
        }
        region::set_shares(&mut self.regions, self.mechanisms.has(Mechanism::FloorShare));
    }
}

fn region_load(region: &RegionModel, told: bool, now: u64, balancers: u32) -> f64 {
    if told { region.told_load } else { region.sends.per_second(now) * f64::from(balancers.max(1)) }
}
