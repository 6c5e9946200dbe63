//! Which instance of a service a request goes to: the region by weight, the instance inside it by an even pick, and the
//! exceptions to both.

use whinspindle::pcg::Pcg;
use whinspindle_configuration::Mechanism;

use super::{COUNT_MS, Place, Service};
use crate::affinity::{Crowd, SharedPrefix, rank};
use crate::catalogue::{RegionId, RoutePlan};
use crate::counts::count_one;
use crate::home::Traffic;
use crate::instance::Standing;
use crate::region::RegionModel;
use crate::{InstanceKey, RefusalReason};

/// An instance is passed over above this many times the mean in flight; the first send is never too many.
const PASS_OVER: f64 = 2.0;
const LEAST_PASSED_OVER: f64 = 1.0;

impl Service {
    /// Chooses an instance for a request of this route, other than those tried.
    pub(crate) fn choose(
        &mut self,
        place: &Place,
        route: &RoutePlan,
        prefix: Option<SharedPrefix>,
        tried: &[InstanceKey],
        chance: &mut Pcg,
    ) -> Result<InstanceKey, RefusalReason> {
        if place.now >= self.counted_at + COUNT_MS {
            self.count_ready(place.now);
        }
        self.find_candidates(place.now, route, tried)?;
        let index = match prefix {
            Some(prefix) if prefix.is_large() && self.has(Mechanism::HoldersAcrossRegions) => {
                self.holder(prefix, chance)
            }
            _ => {
                self.keep_drawn_region(place, chance)?;
                match prefix {
                    Some(prefix) => self.holder(prefix, chance),
                    None => self.pick(chance),
                }
            }
        };
        let (&key, _) = index.and_then(|i| self.instances.get_index(i)).ok_or(RefusalReason::NoUpstream)?;
        Ok(key)
    }

    /// Keeps the instances of the best standing that there is, in `candidates`.
    fn find_candidates(
        &mut self,
        now: u64,
        route: &RoutePlan,
        tried: &[InstanceKey],
    ) -> Result<(), RefusalReason> {
        self.candidates.clear();
        let mut best = Standing::Closed;
        for (index, (key, instance)) in self.instances.iter().enumerate() {
            if !route.allows(instance.region) || tried.contains(key) {
                continue;
            }
            let standing = instance.standing(now, self.cold_per_s, self.pace.as_ref());
            if standing < best {
                self.candidates.clear();
                best = standing;
            }
            if standing == best {
                self.candidates.push(index);
            }
        }
        match best {
            Standing::Open | Standing::ColdOpen | Standing::Resting => Ok(()),
            Standing::Full if self.has(Mechanism::RefusalWhenFull) => Err(RefusalReason::Full),
            Standing::ColdSpent => Err(RefusalReason::Cold),
            Standing::Down if !self.has(Mechanism::RefusalWhenDown) => Ok(()),
            Standing::Full => Ok(()),
            Standing::Down | Standing::Closed => Err(RefusalReason::NoUpstream),
        }
    }

    /// Draws a region and keeps its candidates alone.
    fn keep_drawn_region(&mut self, place: &Place, chance: &mut Pcg) -> Result<(), RefusalReason> {
        let region = self.draw_region(place, chance).ok_or(RefusalReason::NoUpstream)?;
        let instances = &self.instances;
        self.candidates.retain(|&index| instances[index].region == region);
        if region == place.home && self.has(Mechanism::OwnZoneFirst) {
            self.prefer_own_zone(place, chance);
        }
        Ok(())
    }

    /// Of the candidates in the own region keeps those of the own zone as often as the zone can serve that, else the others.
    fn prefer_own_zone(&mut self, place: &Place, chance: &mut Pcg) {
        let instances = &self.instances;
        let near = self.candidates.iter().filter(|&&index| instances[index].in_own_zone).count();
        if near == 0 || near == self.candidates.len() {
            return;
        }
        let stays_in_region = self.stay_chance(place, self.regions[place.home].ready, place.regions);
        let stays_in_zone = self.stay_chance(place, self.zone_ready, place.zones);
        let stays = chance.unit() * stays_in_region < stays_in_zone;
        let instances = &self.instances;
        self.candidates.retain(|&index| instances[index].in_own_zone == stays);
    }

    /// Draws a region by weight among those that have candidates; the own region first, while it can serve them.
    fn draw_region(&mut self, place: &Place, chance: &mut Pcg) -> Option<RegionId> {
        self.weights.clear();
        self.weights.resize(self.regions.len(), 0.0);
        for &index in &self.candidates {
            let region = self.instances[index].region;
            self.weights[region] = self.regions[region].share.max(f64::MIN_POSITIVE);
        }
        let home_is_open = self.weights.get(place.home).is_some_and(|&weight| weight > 0.0);
        if home_is_open && self.has(Mechanism::OwnRegionFirst) {
            let ready = self.regions[place.home].ready;
            if chance.unit() < self.stay_chance(place, ready, place.regions) {
                return Some(place.home);
            }
        }
        chance.pick(&self.weights)
    }

    /// The chance that a request stays in the own place, a region or a zone, which has so many ready instances and is one
    /// of so many.
    fn stay_chance(&self, place: &Place, ready: f64, places: usize) -> f64 {
        let open = |(region, weight): (&RegionModel, &f64)| if *weight > 0.0 { region.ready } else { 0.0 };
        let all: f64 = self.regions.iter().zip(&self.weights).map(open).sum();
        if all <= 0.0 {
            return 1.0;
        }
        let told = self.has_told_loads(place.now);
        let traffic = Traffic {
            own: self.arrivals.per_second(place.now),
            all: if told { self.regions.iter().map(|region| region.told_load).sum() } else { 0.0 },
            balancers: place.balancers,
            places,
        };
        self.home.chance(ready / all, &traffic)
    }

    fn mean_in_flight(&self) -> f64 {
        let sum: u32 = self.candidates.iter().map(|&index| self.instances[index].in_flight).sum();
        f64::from(sum) / self.candidates.len().max(1) as f64
    }

    /// A random candidate, passing over those far above the mean in flight; if all are, the fewest in flight wins.
    fn pick(&self, chance: &mut Pcg) -> Option<usize> {
        let most = (PASS_OVER * self.mean_in_flight()).max(LEAST_PASSED_OVER);
        let mut chosen: Option<(u32, usize)> = None;
        let mut ties = 0;
        let mut passes_over = false;
        for &index in &self.candidates {
            let in_flight = self.instances[index].in_flight;
            let is_crowded = self.has(Mechanism::PassOver) && f64::from(in_flight + 1) > most;
            passes_over |= is_crowded;
            let crowding = if is_crowded { in_flight } else { 0 };
            let least = chosen.map_or(u32::MAX, |(least, _)| least);
            if crowding > least {
                continue;
            }
            ties = if crowding < least { 1 } else { ties + 1 };
            if chance.below(ties) == 0 {
                chosen = Some((crowding, index));
            }
        }
        if passes_over {
            count_one(&self.counts.passed_over);
        }
        chosen.map(|(_, index)| index)
    }

    /// The candidate that ranks highest for the prefix, passing over the crowded ones.
    fn holder(&self, prefix: SharedPrefix, chance: &mut Pcg) -> Option<usize> {
        let has_unread_bound = self.has(Mechanism::UnreadBound);
        let crowd = Crowd::of(prefix, self.candidates.iter().map(|&index| &self.instances[index]));
        let has_bound = self.has(Mechanism::HolderBound);
        let free = |&&index: &&usize| {
            let instance = &self.instances[index];
            (!has_bound || crowd.has_place(instance)) && (!has_unread_bound || crowd.has_read(instance))
        };
        let highest = |&&index: &&usize| rank(prefix, self.instances[index].hash);
        let first = self.candidates.iter().max_by_key(highest).copied();
        let holder = self.candidates.iter().filter(free).max_by_key(highest).copied();
        let is_first = holder.is_some() && holder == first;
        count_one(if is_first { &self.counts.at_holder } else { &self.counts.beside_holder });
        holder.or_else(|| self.pick(chance))
    }
}
