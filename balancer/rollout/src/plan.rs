//! A release: its units go out and come back in waves, each watched before the next; the way back goes wave
//! by wave too, the last first.

use serde::{Deserialize, Serialize};

use crate::{No, Unit};

/// Units that a plan has at most, so that which of them are changed fits the fleet's record.
pub const MOST_UNITS: usize = 2048;

/// What an operator wants done, the same at every member: read from one text.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub name: String,
    /// In the order in which they go, with the names that the operator gave them.
    pub units: Vec<Unit>,
    pub names: Vec<String>,
    /// How many have gone when each wave is over; the last is all.
    pub waves: Vec<usize>,
    /// How long each wave is watched after its last unit is back, in microseconds.
    pub watch: u64,
    /// A build that is as good as the one before is halted with this chance at most, over the whole release.
    pub error: f64,
    /// The build of balancers that have been changed; one that comes back with another is not. None asks
    /// nobody.
    pub build: Option<String>,
}

/// Which way a release goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Way {
    #[default]
    Forth,
    /// The changed ones return to what they were.
    Back,
}

/// A set of units by their places in the plan.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Places(Vec<u64>);

impl Places {
    pub fn has(&self, place: usize) -> bool {
        self.0.get(place / 64).is_some_and(|word| word >> (place % 64) & 1 == 1)
    }

    /// Beyond the longest plan nothing is taken in.
    pub fn set(&mut self, place: usize, on: bool) {
        if place >= MOST_UNITS {
            return;
        }
        if self.0.len() <= place / 64 {
            self.0.resize(place / 64 + 1, 0);
        }
        let bit = 1 << (place % 64);
        if on { self.0[place / 64] |= bit } else { self.0[place / 64] &= !bit }
    }

    pub fn count(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }
}

/// How far a release is.
#[derive(Clone, Copy, Debug)]
pub struct Progress<'a> {
    pub plan: &'a Plan,
    pub way: Way,
    pub wave: usize,
    pub changed: &'a Places,
    /// Those let out and not back.
    pub out: &'a [Unit],
}

/// What a wave that is over leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Wave(usize),
    Over,
}

impl Progress<'_> {
    fn members(&self) -> std::ops::Range<usize> {
        let from = if self.wave == 0 { 0 } else { self.plan.waves.get(self.wave - 1).copied().unwrap_or(0) };
        from..self.plan.waves.get(self.wave).copied().unwrap_or(self.plan.units.len())
    }

    /// Whether a unit of the plan may go by the plan; the limits are another matter.
    pub fn may_go(&self, place: usize) -> Result<(), No> {
        let range = self.members();
        match (self.way, self.changed.has(place)) {
            (Way::Forth, true) => Err(No::Changed),
            (Way::Back, false) => Err(No::Unchanged),
            (Way::Forth, false) if place >= range.end => Err(No::Later { wave: self.wave }),
            (Way::Back, true) if place < range.start => Err(No::Later { wave: self.wave }),
            _ => Ok(()),
        }
    }

    /// Whether the wave of now is over, `watched` for so long since its last unit came back.
    pub fn next(&self, watched: u64) -> Option<Next> {
        let is_out = |place: usize| self.out.contains(&self.plan.units[place]);
        let range = self.members();
        match self.way {
            Way::Forth => {
                let done = (0..range.end).all(|place| self.changed.has(place) && !is_out(place));
                let last = self.wave + 1 >= self.plan.waves.len();
                let next = if last { Next::Over } else { Next::Wave(self.wave + 1) };
                (done && watched >= self.plan.watch).then_some(next)
            }
            // Nothing is watched on the way back: what is left of the bad build is the greater evil.
            Way::Back => {
                let left = (range.start..self.plan.units.len())
                    .any(|place| self.changed.has(place) || is_out(place));
                let next = if self.wave == 0 { Next::Over } else { Next::Wave(self.wave - 1) };
                (!left).then_some(next)
            }
        }
    }
}

/// Windows of the verdict in the time that a wave is watched: a bad build is known after ten or so, and what
/// comes in one moment must not fall into many.
const WINDOWS: u64 = 16;

impl Plan {
    /// How long a window of the verdict lasts.
    pub fn window(&self) -> u64 {
        self.watch / WINDOWS
    }

    pub fn place_of(&self, unit: Unit) -> Option<usize> {
        self.units.iter().position(|known| *known == unit)
    }
}
