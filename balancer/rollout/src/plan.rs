//! The plan of a release and its progress. Units restart with the new build in waves, and each wave is
//! observed before the next one begins. A rollback undoes the waves one by one, the last first.

use serde::{Deserialize, Serialize};

use crate::{RestartRefusal, Unit};

/// The maximum number of units of a plan. It bounds the size of the set of changed units in the fleet's
/// record.
pub const MAX_UNITS: usize = 2048;

/// An operator's plan of a release, parsed from a text that is the same at every member.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The name of the release, chosen by the operator.
    pub name: String,
    /// The units, in the order in which they restart.
    pub units: Vec<Unit>,
    /// The operator's names of `units`, in the same order.
    pub unit_names: Vec<String>,
    /// For each wave, the number of units that have restarted when it is complete. The last wave ends with
    /// all units.
    pub wave_ends: Vec<usize>,
    /// How long each wave is observed after its last unit has returned, in microseconds.
    pub watch_us: u64,
    /// The maximum probability that the release is halted although its build is as good as the old one. It
    /// applies to the whole release.
    pub false_halt_probability: f64,
    /// The build of changed balancers. A balancer that returns with another build counts as unchanged. `None`
    /// if builds are not checked.
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
    /// Whether the unit with this index is in the set.
    pub fn contains(&self, index: usize) -> bool {
        self.0.get(index / 64).is_some_and(|word| word >> (index % 64) & 1 == 1)
    }

    /// Adds the unit with this index to the set if `is_member` is true, and removes it otherwise. Indices
    /// from `MAX_UNITS` on are ignored.
    pub fn set(&mut self, index: usize, is_member: bool) {
        if index >= MAX_UNITS {
            return;
        }
        if self.0.len() <= index / 64 {
            self.0.resize(index / 64 + 1, 0);
        }
        let bit = 1 << (index % 64);
        if is_member { self.0[index / 64] |= bit } else { self.0[index / 64] &= !bit }
    }

    /// The number of units in the set.
    pub fn count(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }
}

/// The progress of a release.
#[derive(Clone, Copy, Debug)]
pub struct Progress<'a> {
    /// The plan of the release.
    pub plan: &'a Plan,
    /// The direction of the release.
    pub direction: Direction,
    /// The present wave, from 0.
    pub wave: usize,
    /// The units that have the new build.
    pub changed: &'a UnitSet,
    /// The units that are out of service.
    pub out_of_service: &'a [Unit],
}

/// The phase of a release after a complete wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextPhase {
    /// Another wave, by its index.
    Wave(usize),
    /// The end of the release.
    Complete,
}

impl Progress<'_> {
    /// The indices of the present wave's units.
    fn units_of_wave(&self) -> std::ops::Range<usize> {
        let start =
            if self.wave == 0 { 0 } else { self.plan.wave_ends.get(self.wave - 1).copied().unwrap_or(0) };
        start..self.plan.wave_ends.get(self.wave).copied().unwrap_or(self.plan.units.len())
    }

    /// Checks whether the waves allow the unit at this index of the plan to restart now. The limits of the
    /// policy are checked by `RestartCheck`.
    pub fn check_restart(&self, index: usize) -> Result<(), RestartRefusal> {
        let range = self.units_of_wave();
        match (self.direction, self.changed.contains(index)) {
            (Direction::Rollout, true) => Err(RestartRefusal::AlreadyChanged),
            (Direction::Rollback, false) => Err(RestartRefusal::NotChanged),
            (Direction::Rollout, false) if index >= range.end => {
                Err(RestartRefusal::WaveNotBegun { wave: self.wave })
            }
            (Direction::Rollback, true) if index < range.start => {
                Err(RestartRefusal::WaveNotBegun { wave: self.wave })
            }
            _ => Ok(()),
        }
    }

    /// Returns the phase after the present wave, or `None` while the wave is not complete. `watched_us` is
    /// the time since the wave's last unit returned, in microseconds.
    pub fn next_phase(&self, watched_us: u64) -> Option<NextPhase> {
        let is_out = |index: usize| self.out_of_service.contains(&self.plan.units[index]);
        let range = self.units_of_wave();
        match self.direction {
            Direction::Rollout => {
                let is_complete = (0..range.end).all(|index| self.changed.contains(index) && !is_out(index));
                let is_last = self.wave + 1 >= self.plan.wave_ends.len();
                let next = if is_last { NextPhase::Complete } else { NextPhase::Wave(self.wave + 1) };
                (is_complete && watched_us >= self.plan.watch_us).then_some(next)
            }
            // A rollback doesn't observe its waves: a bad build that stays in service longer does more harm
            // than a fast rollback.
            Direction::Rollback => {
                let is_incomplete = (range.start..self.plan.units.len())
                    .any(|index| self.changed.contains(index) || is_out(index));
                let next = if self.wave == 0 { NextPhase::Complete } else { NextPhase::Wave(self.wave - 1) };
                (!is_incomplete).then_some(next)
            }
        }
    }
}

/// The number of windows of the `BuildTest` while a wave is observed. About ten are enough to detect a bad
/// build, and with many more the effects of one moment would spread over several windows.
const WINDOWS_PER_WAVE: u64 = 16;

impl Plan {
    /// The duration of a window of the build test, in microseconds.
    pub fn window_us(&self) -> u64 {
        self.watch_us / WINDOWS_PER_WAVE
    }

    /// The index of a unit in the plan.
    pub fn index_of(&self, unit: Unit) -> Option<usize> {
        self.units.iter().position(|other| *other == unit)
    }
}
