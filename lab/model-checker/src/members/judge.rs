//! The judge: sees only by which number each member would decide at each moment, and which records are known.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use whinspindle_fleet_policy::{Direction, LeaseState, MemberRules, Record, Unit};

use super::schedule::{DRIFT, RIGHT, STEP, WATCHED, clock};
use super::world::{Place, World};

/// What the judge has seen.
#[derive(Clone, Default, Hash)]
pub(super) struct Judge {
    /// When each number was first decided by.
    pub(super) first: BTreeMap<u64, u64>,
    /// The highest number that each member has decided by.
    pub(super) highest: BTreeMap<u16, u64>,
    pub(super) records: BTreeMap<(u64, u64), Record>,
    /// At which step each record was first written on any disk: decided on, whether or not it is agreed then.
    pub(super) written: BTreeMap<u64, u64>,
    /// The units that were ever let out, and which way by a release.
    pub(super) let_out: BTreeSet<(Unit, Option<Direction>)>,
    /// When the first unit of the release was written down as changed.
    pub(super) changed: Option<u64>,
}

pub(super) fn hash_of(what: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    what.hash(&mut hasher);
    hasher.finish()
}

impl Judge {
    /// What a step that is seen for the first time lets out: one at most, never after a halt, none twice, and
    /// none while another has been down for long.
    fn units<L: MemberRules>(
        &mut self,
        record: &Record,
        places: &[Place<L>],
        step: u64,
        absent: u64,
    ) -> Result<(), String> {
        let (bootstrap_id, version) = record.order();
        if self.records.contains_key(&(bootstrap_id, version)) || version == 0 {
            return Ok(());
        }
        let Some(before) = self.records.get(&(bootstrap_id, version - 1)) else { return Ok(()) };
        let halted = before.halt.is_some();
        let has_changed = record.release.as_ref().is_some_and(|release| release.changed.contains(0));
        let step = self.written.get(&hash_of(record)).copied().unwrap_or(step);
        if has_changed && self.changed.is_none() {
            self.changed = Some(step);
        }
        for out in record.grants.iter().filter(|out| !before.grants.contains(out)) {
            let Unit::Balancer(number) = out.unit else { continue };
            // The leader needs this long to miss one, and what it says to be seen.
            let missed = |place: &Place<L>| place.down_since.saturating_add(absent + 3) < step;
            let others = places.iter().enumerate().filter(|(other, _)| *other != number as usize);
            let down = others.filter(|(_, place)| missed(place)).map(|(other, _)| other).next();
            if let Some(down) = down {
                return Err(format!("member {number} is let out while member {down} is down"));
            }
            if record.grants.len() > 1 || halted {
                return Err(format!("member {number} is let out as one too many, or after a halt"));
            }
            let way = out.release_part.map(|part| part.direction);
            if !self.let_out.insert((out.unit, way)) {
                return Err(format!("member {number} is let out twice, {way:?}"));
            }
            let changed = |place: u16| {
                before.release.as_ref().is_some_and(|release| release.changed.contains(place as usize))
            };
            // The leader's clock is fast by a quarter.
            let watched = self.changed.is_some_and(|at| 5 * (step + 1 - at.min(step)) >= 4 * WATCHED);
            match out.release_part.map(|part| (part.direction, part.unit_index)) {
                Some((Direction::Rollout, place)) if place > 0 && !(changed(place - 1) && watched) => {
                    return Err(format!("member {number} is let out before its wave"));
                }
                Some((Direction::Rollback, place)) if !changed(place) => {
                    return Err(format!("member {number} is taken back, and was not changed"));
                }
                _ => {}
            }
        }
        Ok(())
    }
}

impl<L: MemberRules> World<L> {
    /// What is wrong by now, if anything is.
    pub(super) fn judge(&mut self) -> Result<(), String> {
        let time = self.step * STEP;
        // True time that a right can outlast the decision: by the slowest clock.
        let window = RIGHT * 1_000_000 / (1_000_000 - DRIFT);
        let mut used: BTreeMap<u64, u16> = BTreeMap::new();
        for (me, place) in self.places.iter().enumerate() {
            let me = me as u16;
            let Some(member) = place.member.as_ref().filter(|_| self.step >= place.stopped) else { continue };
            let record = member.record();
            self.judge.units(record, &self.places, self.step, self.plan.absent)?;
            let known = self.judge.records.entry(record.order()).or_insert_with(|| record.clone());
            if known != record {
                return Err(format!("member {me} knows another record of version {}", record.version));
            }
            let LeaseState::Policy(number) = member.lease_state(clock(me, self.step - place.began)) else {
                continue;
            };
            used.insert(number, me);
            self.judge.first.entry(number).or_insert(time);
            let highest = self.judge.highest.entry(me).or_insert(number);
            if number < *highest {
                return Err(format!("member {me} goes back from policy {highest} to {number}"));
            }
            *highest = number;
            let later = self.judge.first.iter().find(|(n, first)| **n > number && **first + window < time);
            if let Some((newer, first)) = later {
                return Err(format!(
                    "member {me} decides by policy {number} at {time}, {} after the first by policy {newer}; at \
                     most {window}",
                    time - first
                ));
            }
        }
        if used.len() > 2 {
            return Err(format!("three policies are decided by at once: {used:?}"));
        }
        Ok(())
    }
}
