//! The choice of an instance of a service: a region by weight, then an instance inside it at random.
//!
//! Candidates are the instances of the best health state present. Prefix affinity, locality preference and the pass-over
//! of busy instances modify the draw.

use whinspindle::pcg::Pcg;
use whinspindle_configuration::Mechanism;

use super::{RECOUNT_MS, RoutingContext, Service};
use crate::affinity::{BoundedLoad, SharedPrefix, rank};
use crate::catalogue::{RegionId, RoutePlan};
use crate::counts::count_one;
use crate::instance::HealthState;
use crate::locality::Traffic;
use crate::region::RegionModel;
use crate::{InstanceKey, RejectionReason};

/// An instance is passed over above this many times the mean of attempts in flight ...
const PASS_OVER: f64 = 2.0;
/// ... and never for its first one.
const LEAST_PASSED_OVER: f64 = 1.0;

impl Service {
    /// Chooses an instance for a request of this route, other than those in `tried`.
    pub(crate) fn choose(
        &mut self,
        context: &RoutingContext,
        route: &RoutePlan,
        prefix: Option<SharedPrefix>,
        tried: &[InstanceKey],
        random: &mut Pcg,
    ) -> Result<InstanceKey, RejectionReason> {
        if context.now >= self.counted_at + RECOUNT_MS {
            self.count_ready(context.now);
        }
        self.find_candidates(context.now, route, tried)?;
        let index = match prefix {
            Some(prefix) if prefix.is_large() && self.has(Mechanism::HoldersAcrossRegions) => {
                self.cache_owner(prefix, random)
            }
            _ => {
                self.keep_drawn_region(context, random)?;
                match prefix {
                    Some(prefix) => self.cache_owner(prefix, random),
                    None => self.pick(random),
                }
            }
        };
        let (&key, _) = index.and_then(|i| self.instances.get_index(i)).ok_or(RejectionReason::NoUpstream)?;
        Ok(key)
    }

    /// Fills `candidates` with the instances of the best health state present.
    fn find_candidates(
        &mut self,
        now: u64,
        route: &RoutePlan,
        tried: &[InstanceKey],
    ) -> Result<(), RejectionReason> {
        self.candidates.clear();
        let mut best = HealthState::Excluded;
        for (index, (key, instance)) in self.instances.iter().enumerate() {
            if !route.allows(instance.region) || tried.contains(key) {
                continue;
            }
            let health_state = instance.health_state(now, self.cold_per_s, self.pace.as_ref());
            if health_state < best {
                self.candidates.clear();
                best = health_state;
            }
            if health_state == best {
                self.candidates.push(index);
            }
        }
        match best {
            HealthState::Available | HealthState::SlowStart | HealthState::Ejected => Ok(()),
            HealthState::Full if self.has(Mechanism::RefusalWhenFull) => Err(RejectionReason::Full),
            HealthState::SlowStartLimited => Err(RejectionReason::WarmingUp),
            HealthState::Down if !self.has(Mechanism::RefusalWhenDown) => Ok(()),
            HealthState::Full => Ok(()),
            HealthState::Down | HealthState::Excluded => Err(RejectionReason::NoUpstream),
        }
    }

    /// Draws a region and keeps only the candidates in it.
    fn keep_drawn_region(
        &mut self,
        context: &RoutingContext,
        random: &mut Pcg,
    ) -> Result<(), RejectionReason> {
        let region = self.draw_region(context, random).ok_or(RejectionReason::NoUpstream)?;
        let instances = &self.instances;
        self.candidates.retain(|&index| instances[index].region == region);
        if region == context.own_region && self.has(Mechanism::OwnZoneFirst) {
            self.prefer_own_zone(context, random);
        }
        Ok(())
    }

    /// Keeps either the candidates of the own zone or those of the other zones, the former as often as the zone's instances
    /// can serve its requests.
    fn prefer_own_zone(&mut self, context: &RoutingContext, random: &mut Pcg) {
        let instances = &self.instances;
        let near = self.candidates.iter().filter(|&&index| instances[index].in_own_zone).count();
        if near == 0 || near == self.candidates.len() {
            return;
        }
        let stays_in_region =
            self.stay_probability(context, self.regions[context.own_region].ready, context.regions);
        let stays_in_zone = self.stay_probability(context, self.zone_ready, context.zones);
        let stays = random.next_f64() * stays_in_region < stays_in_zone;
        let instances = &self.instances;
        self.candidates.retain(|&index| instances[index].in_own_zone == stays);
    }

    /// Draws a region by weight among those that have candidates, with preference for the own region.
    fn draw_region(&mut self, context: &RoutingContext, random: &mut Pcg) -> Option<RegionId> {
        self.weights.clear();
        self.weights.resize(self.regions.len(), 0.0);
        for &index in &self.candidates {
            let region = self.instances[index].region;
            self.weights[region] = self.regions[region].weight.max(f64::MIN_POSITIVE);
        }
        let home_is_open = self.weights.get(context.own_region).is_some_and(|&weight| weight > 0.0);
        if home_is_open && self.has(Mechanism::OwnRegionFirst) {
            let ready = self.regions[context.own_region].ready;
            if random.next_f64() < self.stay_probability(context, ready, context.regions) {
                return Some(context.own_region);
            }
        }
        random.pick_weighted(&self.weights)
    }

    /// The probability that a request stays in the own domain (region or zone), which has `ready` ready instances and is one
    /// of `domains`.
    fn stay_probability(&self, context: &RoutingContext, ready: f64, domains: usize) -> f64 {
        let open = |(region, weight): (&RegionModel, &f64)| if *weight > 0.0 { region.ready } else { 0.0 };
        let all: f64 = self.regions.iter().zip(&self.weights).map(open).sum();
        if all <= 0.0 {
            return 1.0;
        }
        let reported = self.has_reported_loads(context.now);
        let traffic = Traffic {
            own: self.arrivals.per_second(context.now),
            all: if reported { self.regions.iter().map(|region| region.reported_load).sum() } else { 0.0 },
            balancers: context.balancers,
            domains,
        };
        self.locality.stay_probability(ready / all, &traffic)
    }

    fn mean_in_flight(&self) -> f64 {
        let sum: u32 = self.candidates.iter().map(|&index| self.instances[index].in_flight).sum();
        f64::from(sum) / self.candidates.len().max(1) as f64
    }

    /// A random candidate, passing over those far above the mean in flight; if all are, the one with the fewest in flight.
    fn pick(&self, random: &mut Pcg) -> Option<usize> {
        let most = (PASS_OVER * self.mean_in_flight()).max(LEAST_PASSED_OVER);
        let mut chosen: Option<(u32, usize)> = None;
        let mut ties = 0;
        let mut passes_over = false;
        for &index in &self.candidates {
            let in_flight = self.instances[index].in_flight;
            let is_busy = self.has(Mechanism::PassOver) && f64::from(in_flight + 1) > most;
            passes_over |= is_busy;
            let excess = if is_busy { in_flight } else { 0 };
            let least = chosen.map_or(u32::MAX, |(least, _)| least);
            if excess > least {
                continue;
            }
            ties = if excess < least { 1 } else { ties + 1 };
            if random.next_below(ties) == 0 {
                chosen = Some((excess, index));
            }
        }
        if passes_over {
            count_one(&self.counts.passed_over);
        }
        chosen.map(|(_, index)| index)
    }

    /// The candidate that ranks highest for the prefix among those within their bounds; any candidate if none is.
    fn cache_owner(&self, prefix: SharedPrefix, random: &mut Pcg) -> Option<usize> {
        let has_unread_bound = self.has(Mechanism::UnreadBound);
        let bounded_load =
            BoundedLoad::of(prefix, self.candidates.iter().map(|&index| &self.instances[index]));
        let has_bound = self.has(Mechanism::HolderBound);
        let is_within_bounds = |&&index: &&usize| {
            let instance = &self.instances[index];
            (!has_bound || bounded_load.is_below_in_flight_bound(instance))
                && (!has_unread_bound || bounded_load.is_below_unread_bound(instance))
        };
        let highest = |&&index: &&usize| rank(prefix, self.instances[index].hash);
        let first = self.candidates.iter().max_by_key(highest).copied();
        let owner = self.candidates.iter().filter(is_within_bounds).max_by_key(highest).copied();
        let is_first = owner.is_some() && owner == first;
        count_one(if is_first { &self.counts.at_cache_owner } else { &self.counts.beside_cache_owner });
        owner.or_else(|| self.pick(random))
    }
}
