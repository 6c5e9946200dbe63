//! The choice of the leader among the voters, and of the next step of the record.

use whinspindle_consensus::Voter;

use super::proposer::OngoingRound;
use super::requests::PendingRequest;
use super::{Environment, Member, MemberRules};
use crate::message::{Readiness, RequestKind};
use crate::record::{ChangeOutcome, Step};

impl<E: Environment, R: MemberRules> Member<E, R> {
    pub(super) fn is_present(&self, now: u64, member: u16) -> bool {
        let report = self.peer_reports.get(member as usize).and_then(Option::as_ref);
        report.is_some_and(|report| now < report.received_at + self.settings.absence_timeout_us)
    }

    /// Whether this member is the leader: the voter with the lowest number among those that are present. Two
    /// leaders at once do no harm, as their ballots differ. A voter that lost its disk doesn't count until
    /// its earlier incarnation has been replaced, since one of the other voters has to replace it.
    pub(super) fn is_leader(&self, now: u64) -> bool {
        let own_voter = self.voter();
        let is_candidate = |voter: &&Voter| {
            let report = self.peer_reports.get(voter.member as usize).and_then(Option::as_ref);
            let incarnation =
                report.filter(|_| self.is_present(now, voter.member)).map(|report| report.incarnation);
            **voter == own_voter
                || (voter.member != own_voter.member && incarnation == Some(voter.incarnation))
        };
        let voters = self.record.voter_sets.iter().flatten();
        voters.filter(is_candidate).min_by_key(|voter| voter.member) == Some(&own_voter)
    }

    /// Continues this member's ballot, or begins one if a step is due.
    pub(super) fn drive_ballot(&mut self, now: u64) {
        let bootstrap_id = self.record.bootstrap_id;
        self.pending_bootstrap
            .take_if(|pending| bootstrap_id >= *pending || self.record.epoch() + 1 != *pending >> 48);
        if let Some(OngoingRound { begun_at, .. }) = self.round {
            if now < begun_at + 4 * self.settings.renewal_interval_us {
                if now > begun_at {
                    self.retry_round();
                }
                return;
            }
            self.round = None;
        }
        if now >= self.backoff_until
            && let Some(step) = self.next_step(now)
        {
            self.begin_round(now, step);
        }
    }

    /// The step that this member has to propose now.
    pub(super) fn next_step(&self, now: u64) -> Option<Step> {
        if let Some(bootstrap_id) = self.pending_bootstrap {
            return Some(Step::Bootstrap { bootstrap_id, base: Box::new(self.record.clone()) });
        }
        if !self.is_voter() || !self.is_leader(now) {
            return None;
        }
        let accepted_order =
            self.durable_state.votes.accepted.as_ref().map_or((0, 0), |(_, record)| record.order());
        if accepted_order > self.record.order() {
            return Some(Step::Finish);
        }
        if self.record.voter_sets.len() > 1 {
            return Some(Step::SettleVoters);
        }
        let has_new_incarnation = |voter: &&Voter| {
            let report = self.peer_reports[voter.member as usize]
                .as_ref()
                .filter(|_| self.is_present(now, voter.member));
            report.is_some_and(|report| report.incarnation != voter.incarnation)
        };
        if let Some(old) = self.record.voter_sets.iter().flatten().find(has_new_incarnation) {
            let incarnation =
                self.peer_reports[old.member as usize].as_ref().map_or(0, |report| report.incarnation);
            return Some(Step::ReplaceVoter {
                old: *old,
                new: Voter { member: old.member, incarnation },
                request_id: None,
            });
        }
        let step = || self.voter_step(now).or_else(|| self.halt_step()).or_else(|| self.unit_step(now));
        if let Some(step) = step().or_else(|| self.release_step(now)) {
            return Some(step);
        }
        self.change_step(now)
    }

    /// The next step of the change of policy: begins one if none is under way, or ends the one under way.
    fn change_step(&self, now: u64) -> Option<Step> {
        let Some(change) = self.record.pending_change else {
            return self.requests.iter().find_map(|pending| match pending.request {
                RequestKind::Propose { hash, length } if !self.record.has_applied(pending.request_id) => {
                    Some(Step::Propose { hash, length, request_id: pending.request_id })
                }
                _ => None,
            });
        };
        let number = change.policy.number;
        let is_withdrawal = |pending: &PendingRequest| pending.request == RequestKind::Withdraw { number };
        let end = |outcome| Some(Step::EndChange { number, outcome });
        if self.requests.iter().any(is_withdrawal) {
            return end(ChangeOutcome::Withdrawn);
        }
        let is_involved = |member: &u16| *member == self.settings.member || self.is_present(now, *member);
        let mut all_ready = true;
        for member in (0..self.settings.member_count).filter(is_involved) {
            let readiness = match &self.peer_reports[member as usize] {
                _ if member == self.settings.member => &self.readiness(),
                Some(report) => &report.readiness,
                None => continue,
            };
            match readiness {
                Readiness::Objected(of, _) if *of == number => return end(ChangeOutcome::Refused(member)),
                Readiness::Ready(of) if *of == number => {}
                _ => all_ready = false,
            }
        }
        // A leader that has just started can't know which members are absent.
        let knows_absent = now >= self.started_at + self.settings.absence_timeout_us;
        if all_ready && knows_absent && now >= R::earliest_activation(self.policy_learned_at, &self.settings)
        {
            return end(ChangeOutcome::InForce);
        }
        (now >= self.change_learned_at + self.settings.change_timeout_us)
            .then_some(Step::EndChange { number, outcome: ChangeOutcome::GivenUp })
    }

    /// Replaces a voter by another member if an operator has requested that and the new member is present,
    /// which votes with its present incarnation.
    pub(super) fn voter_step(&self, now: u64) -> Option<Step> {
        let voter_of = |member: u16| self.record.voter_sets[0].iter().find(|voter| voter.member == member);
        self.requests.iter().filter(|pending| !self.record.has_applied(pending.request_id)).find_map(
            |pending| {
                let RequestKind::ReplaceVoter { old, new } = pending.request else { return None };
                let incarnation = match new == self.settings.member {
                    true => self.durable_state.incarnation,
                    false => {
                        self.peer_reports
                            .get(new as usize)?
                            .as_ref()
                            .filter(|_| self.is_present(now, new))?
                            .incarnation
                    }
                };
                let new = Voter { member: new, incarnation };
                voter_of(new.member).is_none().then_some(())?;
                Some(Step::ReplaceVoter { old: *voter_of(old)?, new, request_id: Some(pending.request_id) })
            },
        )
    }
}
