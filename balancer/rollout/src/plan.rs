//! The plan of a release and its progress: units restart with the new build in waves, each watched before the
//! next; a rollback goes wave by wave too, the last first.

use serde::{Deserialize, Serialize};

use crate::{RestartRefusal, Unit};

/// The most units of a plan, so that the set of changed ones fits the fleet's record.
pub const MAX_UNITS: usize = 2048;

/// An operator's plan of a release, read from a text that is the same at every member.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The name that the operator gave it.
    pub name: String,
    /// In the order in which they restart.
    pub units: Vec<Unit>,
    /// The operator's names of `units`, in the same order.
    pub unit_names: Vec<String>,
    /// How many units have restarted when each wave is complete; the last is all.
    pub wave_ends: Vec<usize>,
    /// How long each wave is watched after its last unit has returned, in microseconds.
    pub watch_us: u64,
    /// The chance, over the whole release, that a build as good as the old one is halted, at most.
    pub false_halt_probability: f64,
    /// The build of changed balancers: one that returns with another counts as unchanged. None: not checked.
    pub build: Option<String>,
}

/// The direction of a release.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Direction {
    /// Units get the new build.
    #[default]
    Rollout,
    /// Changed units get the old build again.
    Rollback,
}

/// A set of units by their indices in the plan.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UnitSet(Vec<u64>);

impl UnitSet {
    /// Whether a unit is in the set.
    pub fn contains(&self, place: usize) -> bool {
        self.0.get(place / 64).is_some_and(|word| word >> (place % 64) & 1 == 1)
    }

    /// Puts a unit into the set, or takes it out. Indices from `MAX_UNITS` on are ignored.
    pub fn set(&mut self, place: usize, on: bool) {
        if place >= MAX_UNITS {
            return;
        }
        if self.0.len() <= place / 64 {
            self.0.resize(place / 64 + 1, 0);
        }
        let bit = 1 << (place % 64);
        if on { self.0[place / 64] |= bit } else { self.0[place / 64] &= !bit }
    }

    /// The size of the set.
    pub fn count(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }
}

/// How far a release is.
#[derive(Clone, Copy, Debug)]
pub struct Progress<'a> {
    /// Its plan.
    pub plan: &'a Plan,
    /// Its direction.
    pub direction: Direction,
    /// The present wave, from 0.
    pub wave: usize,
    /// Units that have the new build.
    pub changed: &'a UnitSet,
    /// Units that are not in full service.
    pub out_of_service: &'a [Unit],
}

/// What follows a wave that is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextPhase {
    /// Another wave.
    Wave(usize),
    /// The end of the release.
    Complete,
}

impl Progress<'_> {
    /// The indices of the present wave's units.
    fn units_of_wave(&self) -> std::ops::Range<usize> {
        let from =
            if self.wave == 0 { 0 } else { self.plan.wave_ends.get(self.wave - 1).copied().unwrap_or(0) };
        from..self.plan.wave_ends.get(self.wave).copied().unwrap_or(self.plan.units.len())
    }

    /// Whether the unit at this index of the plan may restart now, the limits of the policy aside.
    pub fn check_restart(&self, place: usize) -> Result<(), RestartRefusal> {
        let range = self.units_of_wave();
        match (self.direction, self.changed.contains(place)) {
            (Direction::Rollout, true) => Err(RestartRefusal::AlreadyChanged),
            (Direction::Rollback, false) => Err(RestartRefusal::NotChanged),
            (Direction::Rollout, false) if place >= range.end => {
                Err(RestartRefusal::WaveNotBegun { wave: self.wave })
            }
            (Direction::Rollback, true) if place < range.start => {
                Err(RestartRefusal::WaveNotBegun { wave: self.wave })
            }
            _ => Ok(()),
        }
    }

    /// What follows the present wave, `watched` microseconds after its last unit returned; none if it goes on.
    pub fn next_phase(&self, watched: u64) -> Option<NextPhase> {
        let is_out = |place: usize| self.out_of_service.contains(&self.plan.units[place]);
        let range = self.units_of_wave();
        match self.direction {
            Direction::Rollout => {
                let done = (0..range.end).all(|place| self.changed.contains(place) && !is_out(place));
                let last = self.wave + 1 >= self.plan.wave_ends.len();
                let next = if last { NextPhase::Complete } else { NextPhase::Wave(self.wave + 1) };
                (done && watched >= self.plan.watch_us).then_some(next)
            }
            // A rollback doesn't wait to be watched: the bad build in service does more harm.
            Direction::Rollback => {
                let left = (range.start..self.plan.units.len())
                    .any(|place| self.changed.contains(place) || is_out(place));
                let next = if self.wave == 0 { NextPhase::Complete } else { NextPhase::Wave(self.wave - 1) };
                (!left).then_some(next)
            }
        }
    }
}

/// Windows of the test (see `BuildTest`) in the time that a wave is watched: ten or so are enough to find a bad
/// build, and the effects of one moment must not fall into many.
const WINDOWS: u64 = 16;

impl Plan {
    /// How long a window of the test lasts, in microseconds.
    pub fn window_us(&self) -> u64 {
        self.watch_us / WINDOWS
    }

    /// The index of a unit in the plan.
    pub fn index_of(&self, unit: Unit) -> Option<usize> {
        self.units.iter().position(|known| *known == unit)
    }
}
