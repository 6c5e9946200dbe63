//! Choice of an instance of a service: draws a region by weight, then picks a random instance of that region.
//!
//! Candidates are the instances in the best health state present. Prefix affinity, locality preference and
//! skipping busy instances modify the draw.

use whinspindle::pcg::Pcg;
use whinspindle_configuration::Mechanism;

use super::{READY_COUNT_TTL_MS, RoutingContext, Service};
use crate::affinity::{BoundedLoad, SharedPrefix, rank};
use crate::catalogue::{RegionId, RoutePlan};
use crate::counts::increment;
use crate::instance::HealthState;
use crate::locality::Traffic;
use crate::region::RegionModel;
use crate::{InstanceKey, RejectionReason};

/// An instance is busy if a further attempt would exceed this many times the mean of attempts in flight.
const BUSY_FACTOR: f64 = 2.0;
/// Minimum of that limit, so that an idle instance is never busy.
const MIN_BUSY_THRESHOLD: f64 = 1.0;

impl Service {
    /// Chooses an instance for a request of this route, excluding the instances in `tried`.
    pub(crate) fn choose(
        &mut self,
        context: &RoutingContext,
        route: &RoutePlan,
        prefix: Option<SharedPrefix>,
        tried: &[InstanceKey],
        random: &mut Pcg,
    ) -> Result<InstanceKey, RejectionReason> {
        if context.now >= self.ready_counted_at + READY_COUNT_TTL_MS {
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

    /// Fills `candidates` with the instances in the best health state present.
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
            let health_state = instance.health_state(now, self.slow_start_per_s, self.pace.as_ref());
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

    /// Draws a region and keeps only the candidates of that region.
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

    /// Keeps either the candidates of the own zone or those of the other zones. The probability of the own
    /// zone follows from the share of its requests that its instances can serve.
    fn prefer_own_zone(&mut self, context: &RoutingContext, random: &mut Pcg) {
        let instances = &self.instances;
        let in_zone_count = self.candidates.iter().filter(|&&index| instances[index].in_own_zone).count();
        if in_zone_count == 0 || in_zone_count == self.candidates.len() {
            return;
        }
        let region_stay_probability = self.stay_probability(
            context,
            self.regions[context.own_region].ready_instances,
            context.region_count,
        );
        let zone_stay_probability =
            self.stay_probability(context, self.ready_in_own_zone, context.zone_count);
        let stays_in_zone = random.next_f64() * region_stay_probability < zone_stay_probability;
        let instances = &self.instances;
        self.candidates.retain(|&index| instances[index].in_own_zone == stays_in_zone);
    }

    /// Draws a region with candidates by weight, with preference for the own region.
    fn draw_region(&mut self, context: &RoutingContext, random: &mut Pcg) -> Option<RegionId> {
        self.weights.clear();
        self.weights.resize(self.regions.len(), 0.0);
        for &index in &self.candidates {
            let region = self.instances[index].region;
            self.weights[region] = self.regions[region].weight.max(f64::MIN_POSITIVE);
        }
        let own_region_has_candidates =
            self.weights.get(context.own_region).is_some_and(|&weight| weight > 0.0);
        if own_region_has_candidates && self.has(Mechanism::OwnRegionFirst) {
            let ready = self.regions[context.own_region].ready_instances;
            if random.next_f64() < self.stay_probability(context, ready, context.region_count) {
                return Some(context.own_region);
            }
        }
        random.pick_weighted(&self.weights)
    }

    /// Probability that a request stays in the own failure domain (region or zone). The domain has `ready`
    /// ready instances and is one of `domains`.
    fn stay_probability(&self, context: &RoutingContext, ready: f64, domains: usize) -> f64 {
        let ready_with_candidates =
            |(region, weight): (&RegionModel, &f64)| if *weight > 0.0 { region.ready_instances } else { 0.0 };
        let total_ready: f64 = self.regions.iter().zip(&self.weights).map(ready_with_candidates).sum();
        if total_ready <= 0.0 {
            return 1.0;
        }
        let has_reported_loads = self.has_reported_loads(context.now);
        let traffic = Traffic {
            own_per_s: self.arrivals.per_second(context.now),
            total_per_s: if has_reported_loads {
                self.regions.iter().map(|region| region.reported_load).sum()
            } else {
                0.0
            },
            balancers: context.balancers,
            domains,
        };
        self.locality.stay_probability(ready / total_ready, &traffic)
    }

    fn mean_in_flight(&self) -> f64 {
        let sum: u32 = self.candidates.iter().map(|&index| self.instances[index].in_flight).sum();
        f64::from(sum) / self.candidates.len().max(1) as f64
    }

    /// Picks a random candidate that is not busy, or the candidate with the fewest attempts in flight if all
    /// are busy.
    fn pick(&self, random: &mut Pcg) -> Option<usize> {
        let max_in_flight = (BUSY_FACTOR * self.mean_in_flight()).max(MIN_BUSY_THRESHOLD);
        let mut chosen: Option<(u32, usize)> = None;
        let mut ties = 0;
        let mut skips_busy = false;
        for &index in &self.candidates {
            let in_flight = self.instances[index].in_flight;
            let is_busy = self.has(Mechanism::PassOver) && f64::from(in_flight + 1) > max_in_flight;
            skips_busy |= is_busy;
            let excess = if is_busy { in_flight } else { 0 };
            let least_excess = chosen.map_or(u32::MAX, |(least_excess, _)| least_excess);
            if excess > least_excess {
                continue;
            }
            ties = if excess < least_excess { 1 } else { ties + 1 };
            if random.next_below(ties) == 0 {
                chosen = Some((excess, index));
            }
        }
        if skips_busy {
            increment(&self.counts.busy_instance_skips);
        }
        chosen.map(|(_, index)| index)
    }

    /// Picks the highest-ranked candidate for the prefix that is within its bounds, or any candidate if none
    /// is.
    fn cache_owner(&self, prefix: SharedPrefix, random: &mut Pcg) -> Option<usize> {
        let has_prefill_bound = self.has(Mechanism::UnreadBound);
        let bounded_load =
            BoundedLoad::for_candidates(prefix, self.candidates.iter().map(|&index| &self.instances[index]));
        let has_in_flight_bound = self.has(Mechanism::HolderBound);
        let is_within_bounds = |&&index: &&usize| {
            let instance = &self.instances[index];
            (!has_in_flight_bound || bounded_load.is_within_in_flight_bound(instance))
                && (!has_prefill_bound || bounded_load.is_within_prefill_bound(instance))
        };
        let rank_of = |&&index: &&usize| rank(prefix, self.instances[index].id_hash);
        let highest_ranked = self.candidates.iter().max_by_key(rank_of).copied();
        let owner = self.candidates.iter().filter(is_within_bounds).max_by_key(rank_of).copied();
        let is_highest_ranked = owner.is_some() && owner == highest_ranked;
        increment(if is_highest_ranked {
            &self.counts.cache_owner_hits
        } else {
            &self.counts.cache_owner_misses
        });
        owner.or_else(|| self.pick(random))
    }
}
