//! What the fleet agrees on, and the steps by which it changes.

use std::fmt;

use serde::{Deserialize, Serialize};
use whinspindle_consensus::{RegisterValue, Voter};
use whinspindle_rollout::{Places, Unit, Way};

/// Wishes about units and voters that are remembered as done.
const DONE: usize = 32;
/// Units that may be out by grants at most, whatever the limits say, so that the record stays small.
const MOST_OUT: usize = 256;
/// How many ended changes the record keeps.
const PAST: usize = 8;
/// How many ended releases it keeps.
const PAST_RELEASES: usize = 4;
/// After a founding anew numbers go on at the next multiple of this.
const NUMBERS: u64 = 1000;
/// Bits of a founding that are drawn; those above count the foundings.
const DRAWN: u32 = 48;
/// Longest text of a policy, in bytes.
pub const LONGEST_TEXT: usize = 64 * 1024;

/// The first half of a text's BLAKE3 hash.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hash(pub [u8; 16]);

impl Hash {
    pub fn of(text: &[u8]) -> Hash {
        let mut half = [0; 16];
        half.copy_from_slice(&blake3::hash(text).as_bytes()[..16]);
        Hash(half)
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().take(6).try_for_each(|byte| write!(to, "{byte:02x}"))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{self}")
    }
}

/// A policy by its number and the hash and length of its text. Number 0 is none: no routes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policy {
    pub number: u64,
    pub hash: Hash,
    pub length: u32,
}

/// Who asked for a change; the serial number is drawn, so that one asked for again is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Wish {
    pub by: u16,
    pub serial: u64,
}

/// A change under way: every process that is heard has to prove it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    pub policy: Policy,
    pub wish: Wish,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Fate {
    InForce,
    /// By an operator.
    Withdrawn,
    /// This member could not prove it.
    Refused(u16),
    /// It was not proved everywhere in time.
    GivenUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Past {
    pub change: Change,
    pub fate: Fate,
}

/// A unit that was let out and is not back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Out {
    pub unit: Unit,
    /// By whose wish; the serial number is the supervisor's own word, so that asking again is harmless.
    pub wish: Wish,
    /// Of a balancer: the start of its process then. Another start is one that is back.
    pub start: u64,
    /// By which release, its place in the plan, and which way it goes.
    pub part: Option<Part>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Part {
    pub release: u64,
    pub place: u16,
    pub way: Way,
}

/// A release under way; its plan is a text that goes round like a policy's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Release {
    pub number: u64,
    pub hash: Hash,
    pub length: u32,
    pub wish: Wish,
    pub way: Way,
    pub wave: u16,
    /// Units that have come back changed, by their places in the plan.
    pub changed: Places,
}

/// What became of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Close {
    /// All its units are changed.
    Done,
    /// All that were changed are what they were.
    TakenBack,
    /// By an operator's word, as it stood.
    Left,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PastRelease {
    pub number: u64,
    pub hash: Hash,
    pub wish: Wish,
    pub close: Close,
    pub changed: u16,
}

/// Nothing is let out any more.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Halt {
    pub wish: Wish,
    pub why: String,
}

/// One step of the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Step {
    /// Nothing but to bring to its end what another began.
    Finish,
    /// The first agreement of its voters; `base` has what is known from a founding before, if there was one.
    Found {
        founding: u64,
        base: Box<Record>,
    },
    Propose {
        hash: Hash,
        length: u32,
        wish: Wish,
    },
    End {
        number: u64,
        fate: Fate,
    },
    /// A unit is let out, and one is back.
    Grant {
        out: Out,
    },
    Back {
        unit: Unit,
        wish: Wish,
        /// It carries what it went out for.
        done: bool,
    },
    /// A release begins, goes on to another wave, turns back, and is over.
    Release {
        hash: Hash,
        length: u32,
        wish: Wish,
    },
    Wave {
        number: u64,
        from: u16,
        to: u16,
    },
    Turn {
        number: u64,
        wish: Wish,
    },
    Close {
        number: u64,
        close: Close,
        wish: Option<Wish>,
    },
    /// Grants end, and go on.
    Halt {
        halt: Halt,
    },
    Resume {
        wish: Wish,
    },
    /// One voter makes way for another; both voter_sets vote until `Settle`. By an operator's wish, or of itself
    /// where one is started_at anew.
    Replace {
        old: Voter,
        new: Voter,
        wish: Option<Wish>,
    },
    Settle,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Which founding it is, in the upper bits, and what was drawn for it; 0 before the first.
    pub founding: u64,
    /// Grows by one with each step.
    pub version: u64,
    /// Grows with each change of the voters.
    pub board: u64,
    pub voter_sets: Vec<Vec<Voter>>,
    pub policy: Policy,
    pub next: Option<Change>,
    /// The last changes that ended, the newest at the end.
    pub past: Vec<Past>,
    pub out: Vec<Out>,
    pub halted: Option<Halt>,
    pub release: Option<Release>,
    /// The number of the last release, and the last that ended.
    pub releases: u64,
    pub past_releases: Vec<PastRelease>,
    /// The last wishes about units and voters that were done. Guards against one that is still on its way, or
    /// kept by a voter, when another has undone it: it must not be done again.
    pub done: Vec<Wish>,
    /// The highest number that a change ever had.
    pub highest: u64,
}

impl RegisterValue for Record {
    fn voter_sets(&self) -> &[Vec<Voter>] {
        &self.voter_sets
    }

    fn is_bootstrapped(&self) -> bool {
        self.founding != 0
    }
}

impl Record {
    /// What is known later is larger.
    pub fn order(&self) -> (u64, u64) {
        (self.founding, self.version)
    }

    /// What stands before the first agreement of these voters.
    pub fn unfounded(mut voters: Vec<Voter>) -> Record {
        voters.sort_unstable();
        Record { voter_sets: vec![voters], ..Record::default() }
    }

    /// How often the fleet was founded.
    pub fn epoch(&self) -> u64 {
        self.founding >> DRAWN
    }

    /// The founding after this one.
    pub fn next_founding(&self, nonce: u64) -> u64 {
        (self.epoch() + 1) << DRAWN | nonce & ((1 << DRAWN) - 1)
    }

    pub fn is_voter(&self, voter: Voter) -> bool {
        self.voter_sets.iter().flatten().any(|known| *known == voter)
    }

    /// Whether the record has room for a grant of the unit; the limits are another matter.
    pub fn may_let_out(&self, unit: Unit) -> bool {
        self.halted.is_none() && self.out_as(unit).is_none() && self.out.len() < MOST_OUT
    }

    pub fn out_as(&self, unit: Unit) -> Option<&Out> {
        self.out.iter().find(|out| out.unit == unit)
    }

    /// Whether this wish has led to a change already.
    pub fn knows(&self, wish: Wish) -> bool {
        let past = self.past.iter().map(|past| past.change);
        self.done.contains(&wish) || past.chain(self.next).any(|change| change.wish == wish)
    }

    /// Whether this wish is new; it is not from now on.
    fn do_once(&mut self, wish: Wish) -> bool {
        if self.done.contains(&wish) {
            return false;
        }
        self.done.push(wish);
        let over = self.done.len().saturating_sub(DONE);
        self.done.drain(..over);
        true
    }

    /// The record after a step; none where the step has no place in it any more.
    pub fn after(&self, step: &Step) -> Option<Record> {
        let mut next = Record { version: self.version + 1, ..self.clone() };
        match *step {
            Step::Found { founding, ref base } if self.founding == 0 => {
                let voter_sets = std::mem::take(&mut next.voter_sets);
                next = Record { version: base.version + 1, board: base.board + 1, ..(**base).clone() };
                (next.founding, next.voter_sets, next.next) = (founding, voter_sets, None);
                if base.founding != 0 {
                    // Numbers that only the lost have given out are not given out again.
                    next.highest = (base.highest / NUMBERS + 1) * NUMBERS;
                }
            }
            Step::Propose { hash, length, wish } if self.next.is_none() && !self.knows(wish) => {
                next.highest += 1;
                next.next = Some(Change { policy: Policy { number: next.highest, hash, length }, wish });
            }
            Step::End { number, fate } => {
                let change = next.next.take_if(|change| change.policy.number == number)?;
                if fate == Fate::InForce {
                    next.policy = change.policy;
                }
                next.past.push(Past { change, fate });
                let over = next.past.len().saturating_sub(PAST);
                next.past.drain(..over);
            }
            Step::Grant { out } if self.may_let_out(out.unit) && next.do_once(out.wish) => next.out.push(out),
            Step::Back { unit, wish, done } if next.do_once(wish) => {
                let place = next.out.iter().position(|out| out.unit == unit)?;
                let out = next.out.remove(place);
                if let (Some(release), Some(part)) = (&mut next.release, out.part)
                    && done
                    && part.release == release.number
                {
                    release.changed.set(part.place as usize, part.way == Way::Forth);
                }
            }
            Step::Release { hash, length, wish } if self.release.is_none() && next.do_once(wish) => {
                next.releases += 1;
                next.release = Some(Release {
                    number: next.releases,
                    hash,
                    length,
                    wish,
                    way: Way::Forth,
                    wave: 0,
                    changed: Places::default(),
                });
            }
            Step::Wave { number, from, to } => {
                let release = next.release.as_mut().filter(|on| on.number == number && on.wave == from)?;
                release.wave = to;
            }
            Step::Turn { number, wish } if next.do_once(wish) => {
                let release =
                    next.release.as_mut().filter(|on| on.number == number && on.way == Way::Forth)?;
                release.way = Way::Back;
                // The way back is what an operator wants after a halt.
                next.halted = None;
            }
            Step::Close { number, close, wish } => {
                if wish.is_some_and(|wish| !next.do_once(wish)) {
                    return None;
                }
                let Release { hash, wish, changed, .. } =
                    next.release.take_if(|release| release.number == number)?;
                let changed = changed.count() as u16;
                next.past_releases.push(PastRelease { number, hash, wish, close, changed });
                let over = next.past_releases.len().saturating_sub(PAST_RELEASES);
                next.past_releases.drain(..over);
            }
            Step::Halt { ref halt } if self.halted.is_none() && next.do_once(halt.wish) => {
                next.halted = Some(halt.clone());
            }
            Step::Resume { wish } if self.halted.is_some() && next.do_once(wish) => next.halted = None,
            Step::Replace { old, new, wish } if self.voter_sets.len() == 1 && !self.is_voter(new) => {
                if wish.is_some_and(|wish| !next.do_once(wish)) {
                    return None;
                }
                let mut board = self.voter_sets[0].clone();
                let place = board.iter().position(|voter| *voter == old)?;
                board[place] = new;
                board.sort_unstable();
                next.voter_sets.push(board);
                next.board += 1;
            }
            Step::Settle if self.voter_sets.len() == 2 => {
                next.voter_sets.remove(0);
                next.board += 1;
            }
            _ => return None,
        }
        (next.founding != 0).then_some(next)
    }
}
