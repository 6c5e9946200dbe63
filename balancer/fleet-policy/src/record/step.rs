//! The transitions of the record. A voter proposes a `Step`; `Record::after` applies it, or answers that it no
//! longer applies.

use serde::{Deserialize, Serialize};
use whinspindle_consensus::Voter;
use whinspindle_rollout::{Direction, Unit, UnitSet};

use super::{
    Change, ChangeOutcome, Close, Halt, Hash, Out, Past, PastRelease, Policy, Record, Release, RequestId,
};

/// Requests about units, releases and voters that are remembered as carried out.
const MAX_DONE_REQUESTS: usize = 32;
/// How many ended changes the record keeps.
const MAX_PAST_CHANGES: usize = 8;
/// How many ended releases it keeps.
const MAX_PAST_RELEASES: usize = 4;
/// After a bootstrap from an older record, policy numbers go on at the next multiple of this.
const NUMBERS_PER_BOOTSTRAP: u64 = 1000;

/// One step of the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Step {
    /// Changes nothing: only completes a step that another voter has begun.
    Finish,
    /// The first agreement of the voters.
    Bootstrap {
        /// The id of this bootstrap.
        bootstrap_id: u64,
        /// What is known from an earlier bootstrap; the empty record if there was none.
        base: Box<Record>,
    },
    /// A change of policy begins.
    Propose {
        /// Of the policy's text.
        hash: Hash,
        /// Of the policy's text, in bytes.
        length: u32,
        /// The request for it.
        request_id: RequestId,
    },
    /// The change under way ends.
    End {
        /// The number of its policy.
        number: u64,
        /// How it ends.
        outcome: ChangeOutcome,
    },
    /// A unit may leave service to be restarted.
    Grant {
        /// The unit and the request for it.
        out: Out,
    },
    /// A unit is in service again.
    Back {
        /// The unit.
        unit: Unit,
        /// The request that says so.
        request_id: RequestId,
        /// Whether it has the build that it was restarted for.
        done: bool,
    },
    /// A release begins.
    Release {
        /// Of the plan's text.
        hash: Hash,
        /// Of the plan's text, in bytes.
        length: u32,
        /// The request for it.
        request_id: RequestId,
    },
    /// The release goes on to another wave.
    Wave {
        /// The number of the release.
        number: u64,
        /// The wave that is complete.
        from: u16,
        /// The wave that begins.
        to: u16,
    },
    /// The release is rolled back.
    Turn {
        /// The number of the release.
        number: u64,
        /// The request for it.
        request_id: RequestId,
    },
    /// The release ends.
    Close {
        /// The number of the release.
        number: u64,
        /// How it ends.
        close: Close,
        /// The request for it; none where its last wave is complete.
        request_id: Option<RequestId>,
    },
    /// No unit is granted leave any more.
    Halt {
        /// The request and its cause.
        halt: Halt,
    },
    /// Units are granted leave again.
    Resume {
        /// The request for it.
        request_id: RequestId,
    },
    /// One voter is replaced by another; both voter sets vote until `Settle`.
    Replace {
        /// The voter that leaves.
        old: Voter,
        /// The voter that takes its seat.
        new: Voter,
        /// The operator's request; none where a voter has restarted without its memory.
        request_id: Option<RequestId>,
    },
    /// The replacement is complete: only the new voter set votes.
    Settle,
}

impl Record {
    /// The record after a step; none where the step doesn't apply (any more).
    pub fn after(&self, step: &Step) -> Option<Record> {
        let mut next = Record { version: self.version + 1, ..self.clone() };
        next.apply(step)?;
        (next.bootstrap_id != 0).then_some(next)
    }

    fn apply(&mut self, step: &Step) -> Option<()> {
        match *step {
            Step::Finish => None,
            Step::Bootstrap { bootstrap_id, ref base } => self.bootstrap(bootstrap_id, base),
            Step::Propose { hash, length, request_id } => self.propose(hash, length, request_id),
            Step::End { number, outcome } => self.end_change(number, outcome),
            Step::Grant { out } => self.grant(out),
            Step::Back { unit, request_id, done } => self.return_unit(unit, request_id, done),
            Step::Release { hash, length, request_id } => self.begin_release(hash, length, request_id),
            Step::Wave { number, from, to } => {
                let release = self.release.as_mut().filter(|on| on.number == number && on.wave == from)?;
                release.wave = to;
                Some(())
            }
            Step::Turn { number, request_id } => self.roll_back_release(number, request_id),
            Step::Close { number, close, request_id } => self.close_release(number, close, request_id),
            Step::Halt { ref halt } => self.halt(halt),
            Step::Resume { request_id } => self.resume(request_id),
            Step::Replace { old, new, request_id } => self.replace_voter(old, new, request_id),
            Step::Settle => self.settle_voters(),
        }
    }

    /// Marks a request as carried out; none if it was before.
    fn do_once(&mut self, request_id: RequestId) -> Option<()> {
        if self.done.contains(&request_id) {
            return None;
        }
        self.done.push(request_id);
        let over = self.done.len().saturating_sub(MAX_DONE_REQUESTS);
        self.done.drain(..over);
        Some(())
    }

    fn bootstrap(&mut self, bootstrap_id: u64, base: &Record) -> Option<()> {
        if self.bootstrap_id != 0 {
            return None;
        }
        *self = Record {
            bootstrap_id,
            version: base.version + 1,
            voter_set_version: base.voter_set_version + 1,
            voter_sets: std::mem::take(&mut self.voter_sets),
            next: None,
            ..base.clone()
        };
        if base.bootstrap_id != 0 {
            // Numbers that only lost voters know of must not be given to other policies.
            self.highest = (base.highest / NUMBERS_PER_BOOTSTRAP + 1) * NUMBERS_PER_BOOTSTRAP;
        }
        Some(())
    }

    fn propose(&mut self, hash: Hash, length: u32, request_id: RequestId) -> Option<()> {
        if self.next.is_some() || self.knows(request_id) {
            return None;
        }
        self.highest += 1;
        let policy = Policy { number: self.highest, hash, length };
        self.next = Some(Change { policy, request_id });
        Some(())
    }

    fn end_change(&mut self, number: u64, outcome: ChangeOutcome) -> Option<()> {
        let change = self.next.take_if(|change| change.policy.number == number)?;
        if outcome == ChangeOutcome::InForce {
            self.policy = change.policy;
        }
        self.past.push(Past { change, outcome });
        let over = self.past.len().saturating_sub(MAX_PAST_CHANGES);
        self.past.drain(..over);
        Some(())
    }

    fn grant(&mut self, out: Out) -> Option<()> {
        if !self.may_take_out(out.unit) {
            return None;
        }
        self.do_once(out.request_id)?;
        self.out.push(out);
        Some(())
    }

    fn return_unit(&mut self, unit: Unit, request_id: RequestId, done: bool) -> Option<()> {
        self.do_once(request_id)?;
        let index = self.out.iter().position(|out| out.unit == unit)?;
        let out = self.out.remove(index);
        if let (Some(release), Some(part)) = (&mut self.release, out.part)
            && done
            && part.release == release.number
        {
            release.changed.set(part.place as usize, part.way == Direction::Rollout);
        }
        Some(())
    }

    fn begin_release(&mut self, hash: Hash, length: u32, request_id: RequestId) -> Option<()> {
        if self.release.is_some() {
            return None;
        }
        self.do_once(request_id)?;
        self.releases += 1;
        self.release = Some(Release {
            number: self.releases,
            hash,
            length,
            request_id,
            way: Direction::Rollout,
            wave: 0,
            changed: UnitSet::default(),
        });
        Some(())
    }

    fn roll_back_release(&mut self, number: u64, request_id: RequestId) -> Option<()> {
        self.do_once(request_id)?;
        let release =
            self.release.as_mut().filter(|on| on.number == number && on.way == Direction::Rollout)?;
        release.way = Direction::Rollback;
        // After a halt an operator wants the rollback to proceed.
        self.halted = None;
        Some(())
    }

    fn close_release(&mut self, number: u64, close: Close, request_id: Option<RequestId>) -> Option<()> {
        if let Some(request_id) = request_id {
            self.do_once(request_id)?;
        }
        let Release { hash, request_id, changed, .. } =
            self.release.take_if(|release| release.number == number)?;
        let changed = changed.count() as u16;
        self.past_releases.push(PastRelease { number, hash, request_id, close, changed });
        let over = self.past_releases.len().saturating_sub(MAX_PAST_RELEASES);
        self.past_releases.drain(..over);
        Some(())
    }

    fn halt(&mut self, halt: &Halt) -> Option<()> {
        if self.halted.is_some() {
            return None;
        }
        self.do_once(halt.request_id)?;
        self.halted = Some(halt.clone());
        Some(())
    }

    fn resume(&mut self, request_id: RequestId) -> Option<()> {
        self.halted.as_ref()?;
        self.do_once(request_id)?;
        self.halted = None;
        Some(())
    }

    fn replace_voter(&mut self, old: Voter, new: Voter, request_id: Option<RequestId>) -> Option<()> {
        if self.voter_sets.len() != 1 || self.is_voter(new) {
            return None;
        }
        if let Some(request_id) = request_id {
            self.do_once(request_id)?;
        }
        let mut voter_set = self.voter_sets[0].clone();
        let seat = voter_set.iter().position(|voter| *voter == old)?;
        voter_set[seat] = new;
        voter_set.sort_unstable();
        self.voter_sets.push(voter_set);
        self.voter_set_version += 1;
        Some(())
    }

    fn settle_voters(&mut self) -> Option<()> {
        if self.voter_sets.len() != 2 {
            return None;
        }
        self.voter_sets.remove(0);
        self.voter_set_version += 1;
        Some(())
    }
}
