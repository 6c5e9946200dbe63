//! Searches over schedules: every one with a few departures, or drawn ones, shrunk to what is needed.

use std::collections::HashMap;

use whinspindle_fleet_policy::MemberRules;
use whinspindle_lab_model::random::{Concern, RandomGenerator};

use super::schedule::{Departure, FAULTS, Plan};
use super::world::World;

/// What a search has come to.
#[derive(Debug, Default)]
pub struct Searched {
    pub states: usize,
    pub schedules: usize,
    /// What is wrong, and the departures that lead there.
    pub broken: Option<(String, Vec<Departure>)>,
}

/// Every schedule with up to `most` departures, each at any delivery and in any way. A state that was met
/// before with as many departures left is not gone on from. `limit` bounds the states.
pub fn search<L: MemberRules>(plan: Plan, forgets: bool, most: usize, limit: usize) -> Searched {
    let mut searched = Searched::default();
    // Few departures first, so that what is found is the shortest.
    for left in 0..=most {
        let mut met: HashMap<u64, usize> = HashMap::new();
        let mut path = Vec::new();
        walk(World::<L>::new(plan, forgets), left, &mut met, &mut path, &mut searched, limit);
        searched.states = met.len();
        if searched.broken.is_some() {
            break;
        }
    }
    searched
}

fn walk<L: MemberRules>(
    mut world: World<L>,
    left: usize,
    met: &mut HashMap<u64, usize>,
    path: &mut Vec<Departure>,
    searched: &mut Searched,
    limit: usize,
) {
    loop {
        let mail = match world.advance() {
            Ok(Some(mail)) => mail,
            Ok(None) => break,
            Err(broken) => {
                searched.broken = Some((broken, path.clone()));
                return;
            }
        };
        // At the first delivery of each tick: states in between are as many as the departures that lead
        // there.
        let print = world.print();
        if met.get(&print).is_some_and(|before| *before >= left) || met.len() >= limit {
            return;
        }
        met.insert(print, left);
        if left > 0 {
            for fault in FAULTS {
                let mut other = world.clone_apart();
                other.inject(fault, mail.clone());
                path.push((world.events, fault));
                match other.judge() {
                    Ok(()) => walk(other, left - 1, met, path, searched, limit),
                    Err(broken) => searched.broken = Some((broken, path.clone())),
                }
                if searched.broken.is_some() {
                    return;
                }
                path.pop();
            }
        }
        world.deliver(mail);
        if let Err(broken) = world.judge() {
            searched.broken = Some((broken, path.clone()));
            return;
        }
    }
    searched.schedules += 1;
}

/// Schedules drawn by seed: from 1 to `most` departures at any place. The first that breaks something, shrunk
/// to the departures that are needed for it.
pub fn hunt<L: MemberRules>(plan: Plan, forgets: bool, seeds: std::ops::Range<u64>, most: usize) -> Searched {
    let mut searched = Searched::default();
    let deliveries = World::<L>::new(plan, forgets).play(&[]).map_or(0, |world| world.events);
    for seed in seeds {
        let mut random = RandomGenerator::new(seed, Concern::Clients);
        let mut departures: Vec<Departure> = Vec::new();
        for _ in 0..1 + random.below(most) {
            departures.push((1 + random.below(deliveries), FAULTS[random.below(FAULTS.len())]));
        }
        searched.schedules += 1;
        if World::<L>::new(plan, forgets).play(&departures).is_err() {
            let mut at = 0;
            while at < departures.len() {
                let mut fewer = departures.clone();
                fewer.remove(at);
                if World::<L>::new(plan, forgets).play(&fewer).is_err() {
                    departures = fewer
                } else {
                    at += 1
                }
            }
            let broken = World::<L>::new(plan, forgets).play(&departures).err().unwrap_or_default();
            searched.broken = Some((broken, departures));
            break;
        }
    }
    searched
}
