//! The transitions of the record. A voter proposes a `Step`, and `Record::apply_step` returns the record
//! after it, or `None` if the step doesn't apply to the record.

use serde::{Deserialize, Serialize};
use whinspindle_consensus::Voter;
use whinspindle_rollout::{Direction, Unit, UnitSet};

use super::{
    Change, ChangeOutcome, Halt, Hash, PastChange, PastRelease, Policy, Record, Release, ReleaseOutcome,
    RequestId, RestartGrant,
};

/// The number of requests about units, releases and voters that are remembered as carried out.
const MAX_COMPLETED_REQUESTS: usize = 32;
/// The number of ended changes that the record keeps.
const MAX_PAST_CHANGES: usize = 8;
/// The number of ended releases that the record keeps.
const MAX_PAST_RELEASES: usize = 4;
/// After a bootstrap from an older record, policy numbers continue at the next multiple of this.
const POLICY_NUMBERS_PER_BOOTSTRAP: u64 = 1000;

/// One step of the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Step {
    /// Completes a step that another voter has begun, without a change of its own.
    Finish,
    /// The first agreement of the voters.
    Bootstrap {
        /// The id of this bootstrap.
        bootstrap_id: u64,
        /// The record from before this bootstrap. It is empty for the first bootstrap.
        base: Box<Record>,
    },
    /// A change of policy begins.
    Propose {
        /// The hash of the policy's text.
        hash: Hash,
        /// The length of the policy's text in bytes.
        length: u32,
        /// The request that proposes the policy.
        request_id: RequestId,
    },
    /// The change under way ends.
    EndChange {
        /// The number of the proposed policy.
        number: u64,
        /// How the change ends.
        outcome: ChangeOutcome,
    },
    /// A unit may leave service to be restarted.
    Grant {
        /// The grant, with the unit and the request for it.
        grant: RestartGrant,
    },
    /// A unit is in service again.
    Return {
        /// The unit.
        unit: Unit,
        /// The request that reports the return.
        request_id: RequestId,
        /// Whether the unit has the build that it was restarted for.
        done: bool,
    },
    /// A release begins.
    BeginRelease {
        /// The hash of the plan's text.
        hash: Hash,
        /// The length of the plan's text in bytes.
        length: u32,
        /// The request that begins the release.
        request_id: RequestId,
    },
    /// The release advances to another wave.
    AdvanceWave {
        /// The number of the release.
        number: u64,
        /// The wave that is complete.
        from: u16,
        /// The wave that begins.
        to: u16,
    },
    /// The release is rolled back.
    RollBack {
        /// The number of the release.
        number: u64,
        /// The request that rolls the release back.
        request_id: RequestId,
    },
    /// The release ends.
    EndRelease {
        /// The number of the release.
        number: u64,
        /// How the release ends.
        outcome: ReleaseOutcome,
        /// The request that ends the release; `None` if it ends because its last wave is complete.
        request_id: Option<RequestId>,
    },
    /// No restart is granted any more.
    Halt {
        /// The halt, with its request and cause.
        halt: Halt,
    },
    /// Restarts are granted again.
    Resume {
        /// The request that resumes the grants.
        request_id: RequestId,
    },
    /// One voter is replaced by another. Both voter sets vote until `SettleVoters`.
    ReplaceVoter {
        /// The voter that leaves.
        old: Voter,
        /// The voter that replaces it.
        new: Voter,
        /// The operator's request; `None` if the old voter is replaced because it has restarted without its
        /// durable state.
        request_id: Option<RequestId>,
    },
    /// The replacement of a voter is complete, and only the new voter set votes.
    SettleVoters,
}

impl Record {
    /// Returns the record after a step, or `None` if the step doesn't apply to this record.
    pub fn apply_step(&self, step: &Step) -> Option<Record> {
        let mut next = Record { version: self.version + 1, ..self.clone() };
        next.apply(step)?;
        (next.bootstrap_id != 0).then_some(next)
    }

    fn apply(&mut self, step: &Step) -> Option<()> {
        match *step {
            Step::Finish => None,
            Step::Bootstrap { bootstrap_id, ref base } => self.bootstrap(bootstrap_id, base),
            Step::Propose { hash, length, request_id } => self.propose(hash, length, request_id),
            Step::EndChange { number, outcome } => self.end_change(number, outcome),
            Step::Grant { grant } => self.grant(grant),
            Step::Return { unit, request_id, done } => self.return_unit(unit, request_id, done),
            Step::BeginRelease { hash, length, request_id } => self.begin_release(hash, length, request_id),
            Step::AdvanceWave { number, from, to } => {
                let release = self
                    .release
                    .as_mut()
                    .filter(|release| release.number == number && release.wave == from)?;
                release.wave = to;
                Some(())
            }
            Step::RollBack { number, request_id } => self.roll_back_release(number, request_id),
            Step::EndRelease { number, outcome, request_id } => self.end_release(number, outcome, request_id),
            Step::Halt { ref halt } => self.halt(halt),
            Step::Resume { request_id } => self.resume(request_id),
            Step::ReplaceVoter { old, new, request_id } => self.replace_voter(old, new, request_id),
            Step::SettleVoters => self.settle_voters(),
        }
    }

    /// Marks a request as carried out. Returns `None` if it was marked before.
    fn complete_request(&mut self, request_id: RequestId) -> Option<()> {
        if self.completed_requests.contains(&request_id) {
            return None;
        }
        self.completed_requests.push(request_id);
        let excess = self.completed_requests.len().saturating_sub(MAX_COMPLETED_REQUESTS);
        self.completed_requests.drain(..excess);
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
            pending_change: None,
            ..base.clone()
        };
        if base.bootstrap_id != 0 {
            // Skips numbers that only lost voters may know, so that no other policy gets one of them.
            self.highest_policy_number = (base.highest_policy_number / POLICY_NUMBERS_PER_BOOTSTRAP + 1)
                * POLICY_NUMBERS_PER_BOOTSTRAP;
        }
        Some(())
    }

    fn propose(&mut self, hash: Hash, length: u32, request_id: RequestId) -> Option<()> {
        if self.pending_change.is_some() || self.has_applied(request_id) {
            return None;
        }
        self.highest_policy_number += 1;
        let policy = Policy { number: self.highest_policy_number, hash, length };
        self.pending_change = Some(Change { policy, request_id });
        Some(())
    }

    fn end_change(&mut self, number: u64, outcome: ChangeOutcome) -> Option<()> {
        let change = self.pending_change.take_if(|change| change.policy.number == number)?;
        if outcome == ChangeOutcome::InForce {
            self.policy = change.policy;
        }
        self.past_changes.push(PastChange { change, outcome });
        let excess = self.past_changes.len().saturating_sub(MAX_PAST_CHANGES);
        self.past_changes.drain(..excess);
        Some(())
    }

    fn grant(&mut self, grant: RestartGrant) -> Option<()> {
        if !self.can_grant(grant.unit) {
            return None;
        }
        self.complete_request(grant.request_id)?;
        self.grants.push(grant);
        Some(())
    }

    fn return_unit(&mut self, unit: Unit, request_id: RequestId, done: bool) -> Option<()> {
        self.complete_request(request_id)?;
        let index = self.grants.iter().position(|grant| grant.unit == unit)?;
        let grant = self.grants.remove(index);
        if let (Some(release), Some(part)) = (&mut self.release, grant.release_part)
            && done
            && part.release == release.number
        {
            release.changed.set(part.unit_index as usize, part.direction == Direction::Rollout);
        }
        Some(())
    }

    fn begin_release(&mut self, hash: Hash, length: u32, request_id: RequestId) -> Option<()> {
        if self.release.is_some() {
            return None;
        }
        self.complete_request(request_id)?;
        self.last_release_number += 1;
        self.release = Some(Release {
            number: self.last_release_number,
            hash,
            length,
            request_id,
            direction: Direction::Rollout,
            wave: 0,
            changed: UnitSet::default(),
        });
        Some(())
    }

    fn roll_back_release(&mut self, number: u64, request_id: RequestId) -> Option<()> {
        self.complete_request(request_id)?;
        let release = self
            .release
            .as_mut()
            .filter(|release| release.number == number && release.direction == Direction::Rollout)?;
        release.direction = Direction::Rollback;
        // An operator who rolls a halted release back wants the rollback to proceed.
        self.halt = None;
        Some(())
    }

    fn end_release(
        &mut self,
        number: u64,
        outcome: ReleaseOutcome,
        request_id: Option<RequestId>,
    ) -> Option<()> {
        if let Some(request_id) = request_id {
            self.complete_request(request_id)?;
        }
        let Release { hash, request_id, changed, .. } =
            self.release.take_if(|release| release.number == number)?;
        let changed = changed.count() as u16;
        self.past_releases.push(PastRelease { number, hash, request_id, outcome, changed });
        let excess = self.past_releases.len().saturating_sub(MAX_PAST_RELEASES);
        self.past_releases.drain(..excess);
        Some(())
    }

    fn halt(&mut self, halt: &Halt) -> Option<()> {
        if self.halt.is_some() {
            return None;
        }
        self.complete_request(halt.request_id)?;
        self.halt = Some(halt.clone());
        Some(())
    }

    fn resume(&mut self, request_id: RequestId) -> Option<()> {
        self.halt.as_ref()?;
        self.complete_request(request_id)?;
        self.halt = None;
        Some(())
    }

    fn replace_voter(&mut self, old: Voter, new: Voter, request_id: Option<RequestId>) -> Option<()> {
        if self.voter_sets.len() != 1 || self.is_voter(new) {
            return None;
        }
        if let Some(request_id) = request_id {
            self.complete_request(request_id)?;
        }
        let mut voter_set = self.voter_sets[0].clone();
        let index = voter_set.iter().position(|voter| *voter == old)?;
        voter_set[index] = new;
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
