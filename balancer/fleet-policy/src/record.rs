//! What the fleet agrees on, and the steps by which it changes.

use std::fmt;

use serde::{Deserialize, Serialize};
use whinspindle_consensus::{RegisterValue, Voter};
use whinspindle_rollout::{Places, Unit, Way};

/// Wishes about units and voters that are remembered as done.
const MAX_DONE_REQUESTS: usize = 32;
/// Units that may be out by grants at most, whatever the limits say, so that the record stays small.
const MAX_UNITS_OUT: usize = 256;
/// How many ended changes the record keeps.
const MAX_PAST_CHANGES: usize = 8;
/// How many ended releases it keeps.
const MAX_PAST_RELEASES: usize = 4;
/// After a bootstrap anew numbers go on at the next multiple of this.
const NUMBERS: u64 = 1000;
/// Bits of a bootstrap that are drawn; those above count the foundings.
const DRAWN: u32 = 48;
/// Longest text of a policy, in bytes.
pub const MAX_TEXT_BYTES: usize = 64 * 1024;

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
pub struct RequestId {
    pub by: u16,
    pub serial: u64,
}

/// A change under way: every process that is heard has to prove it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    pub policy: Policy,
    pub request_id: RequestId,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeOutcome {
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
    pub outcome: ChangeOutcome,
}

/// A unit that was let out and is not back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Out {
    pub unit: Unit,
    /// By whose request; the serial number is the supervisor's own word, so that asking again is harmless.
    pub request_id: RequestId,
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
    pub request_id: RequestId,
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
    pub request_id: RequestId,
    pub close: Close,
    pub changed: u16,
}

/// Nothing is let out any more.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Halt {
    pub request_id: RequestId,
    pub why: String,
}

/// One step of the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Step {
    /// Nothing but to bring to its end what another began.
    Finish,
    /// The first agreement of its voters; `base` has what is known from a bootstrap before, if there was one.
    Bootstrap {
        bootstrap_id: u64,
        base: Box<Record>,
    },
    Propose {
        hash: Hash,
        length: u32,
        request_id: RequestId,
    },
    End {
        number: u64,
        outcome: ChangeOutcome,
    },
    /// A unit is let out, and one is back.
    Grant {
        out: Out,
    },
    Back {
        unit: Unit,
        request_id: RequestId,
        /// It carries what it went out for.
        done: bool,
    },
    /// A release begins, goes on to another wave, turns back, and is over.
    Release {
        hash: Hash,
        length: u32,
        request_id: RequestId,
    },
    Wave {
        number: u64,
        from: u16,
        to: u16,
    },
    Turn {
        number: u64,
        request_id: RequestId,
    },
    Close {
        number: u64,
        close: Close,
        request_id: Option<RequestId>,
    },
    /// Grants end, and go on.
    Halt {
        halt: Halt,
    },
    Resume {
        request_id: RequestId,
    },
    /// One voter makes way for another; both voter sets vote until `Settle`. By an operator's request, or of itself
    /// where one starts without its memory.
    Replace {
        old: Voter,
        new: Voter,
        request_id: Option<RequestId>,
    },
    Settle,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Which bootstrap it is, in the upper bits, and what was drawn for it; 0 before the first.
    pub bootstrap_id: u64,
    /// Grows by one with each step.
    pub version: u64,
    /// Grows with each change of the voters.
    pub voter_set_version: u64,
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
    pub done: Vec<RequestId>,
    /// The highest number that a change ever had.
    pub highest: u64,
}

impl RegisterValue for Record {
    fn voter_sets(&self) -> &[Vec<Voter>] {
        &self.voter_sets
    }

    fn is_bootstrapped(&self) -> bool {
        self.bootstrap_id != 0
    }
}

impl Record {
    /// What is known later is larger.
    pub fn order(&self) -> (u64, u64) {
        (self.bootstrap_id, self.version)
    }

    /// What stands before the first agreement of these voters.
    pub fn before_bootstrap(mut voters: Vec<Voter>) -> Record {
        voters.sort_unstable();
        Record { voter_sets: vec![voters], ..Record::default() }
    }

    /// How often the fleet was founded.
    pub fn epoch(&self) -> u64 {
        self.bootstrap_id >> DRAWN
    }

    /// The bootstrap after this one.
    pub fn next_bootstrap_id(&self, nonce: u64) -> u64 {
        (self.epoch() + 1) << DRAWN | nonce & ((1 << DRAWN) - 1)
    }

    pub fn is_voter(&self, voter: Voter) -> bool {
        self.voter_sets.iter().flatten().any(|known| *known == voter)
    }

    /// Whether the record has room for a grant of the unit; the limits are another matter.
    pub fn may_take_out(&self, unit: Unit) -> bool {
        self.halted.is_none() && self.out_as(unit).is_none() && self.out.len() < MAX_UNITS_OUT
    }

    pub fn out_as(&self, unit: Unit) -> Option<&Out> {
        self.out.iter().find(|out| out.unit == unit)
    }

    /// Whether this request has led to a change already.
    pub fn knows(&self, request_id: RequestId) -> bool {
        let past = self.past.iter().map(|past| past.change);
        self.done.contains(&request_id) || past.chain(self.next).any(|change| change.request_id == request_id)
    }

    /// Whether this request is new; it is not from now on.
    fn do_once(&mut self, request_id: RequestId) -> bool {
        if self.done.contains(&request_id) {
            return false;
        }
        self.done.push(request_id);
        let over = self.done.len().saturating_sub(MAX_DONE_REQUESTS);
        self.done.drain(..over);
        true
    }

    /// The record after a step; none where the step has no place in it any more.
    pub fn after(&self, step: &Step) -> Option<Record> {
        let mut next = Record { version: self.version + 1, ..self.clone() };
        match *step {
            Step::Bootstrap { bootstrap_id, ref base } if self.bootstrap_id == 0 => {
                let voter_sets = std::mem::take(&mut next.voter_sets);
                next = Record {
                    version: base.version + 1,
                    voter_set_version: base.voter_set_version + 1,
                    ..(**base).clone()
                };
                (next.bootstrap_id, next.voter_sets, next.next) = (bootstrap_id, voter_sets, None);
                if base.bootstrap_id != 0 {
                    // Numbers that only the lost have given out are not given out again.
                    next.highest = (base.highest / NUMBERS + 1) * NUMBERS;
                }
            }
            Step::Propose { hash, length, request_id } if self.next.is_none() && !self.knows(request_id) => {
                next.highest += 1;
                next.next =
                    Some(Change { policy: Policy { number: next.highest, hash, length }, request_id });
            }
            Step::End { number, outcome } => {
                let change = next.next.take_if(|change| change.policy.number == number)?;
                if outcome == ChangeOutcome::InForce {
                    next.policy = change.policy;
                }
                next.past.push(Past { change, outcome });
                let over = next.past.len().saturating_sub(MAX_PAST_CHANGES);
                next.past.drain(..over);
            }
            Step::Grant { out } if self.may_take_out(out.unit) && next.do_once(out.request_id) => {
                next.out.push(out)
            }
            Step::Back { unit, request_id, done } if next.do_once(request_id) => {
                let place = next.out.iter().position(|out| out.unit == unit)?;
                let out = next.out.remove(place);
                if let (Some(release), Some(part)) = (&mut next.release, out.part)
                    && done
                    && part.release == release.number
                {
                    release.changed.set(part.place as usize, part.way == Way::Forth);
                }
            }
            Step::Release { hash, length, request_id }
                if self.release.is_none() && next.do_once(request_id) =>
            {
                next.releases += 1;
                next.release = Some(Release {
                    number: next.releases,
                    hash,
                    length,
                    request_id,
                    way: Way::Forth,
                    wave: 0,
                    changed: Places::default(),
                });
            }
            Step::Wave { number, from, to } => {
                let release = next.release.as_mut().filter(|on| on.number == number && on.wave == from)?;
                release.wave = to;
            }
            Step::Turn { number, request_id } if next.do_once(request_id) => {
                let release =
                    next.release.as_mut().filter(|on| on.number == number && on.way == Way::Forth)?;
                release.way = Way::Back;
                // The way back is what an operator wants after a halt.
                next.halted = None;
            }
            Step::Close { number, close, request_id } => {
                if request_id.is_some_and(|request_id| !next.do_once(request_id)) {
                    return None;
                }
                let Release { hash, request_id, changed, .. } =
                    next.release.take_if(|release| release.number == number)?;
                let changed = changed.count() as u16;
                next.past_releases.push(PastRelease { number, hash, request_id, close, changed });
                let over = next.past_releases.len().saturating_sub(MAX_PAST_RELEASES);
                next.past_releases.drain(..over);
            }
            Step::Halt { ref halt } if self.halted.is_none() && next.do_once(halt.request_id) => {
                next.halted = Some(halt.clone());
            }
            Step::Resume { request_id } if self.halted.is_some() && next.do_once(request_id) => {
                next.halted = None
            }
            Step::Replace { old, new, request_id } if self.voter_sets.len() == 1 && !self.is_voter(new) => {
                if request_id.is_some_and(|request_id| !next.do_once(request_id)) {
                    return None;
                }
                let mut voter_set_version = self.voter_sets[0].clone();
                let place = voter_set_version.iter().position(|voter| *voter == old)?;
                voter_set_version[place] = new;
                voter_set_version.sort_unstable();
                next.voter_sets.push(voter_set_version);
                next.voter_set_version += 1;
            }
            Step::Settle if self.voter_sets.len() == 2 => {
                next.voter_sets.remove(0);
                next.voter_set_version += 1;
            }
            _ => return None,
        }
        (next.bootstrap_id != 0).then_some(next)
    }
}
