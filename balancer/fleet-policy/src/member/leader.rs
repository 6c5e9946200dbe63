//! The leader among the voters, and the step of the record that it has to bring about next.

use whinspindle_consensus::Voter;

use super::proposer::OngoingRound;
use super::requests::PendingRequest;
use super::{Environment, Member, MemberRules};
use crate::message::{Readiness, RequestKind};
use crate::record::{ChangeOutcome, Step};

impl<O: Environment, L: MemberRules> Member<O, L> {
    pub(super) fn is_here(&self, now: u64, member: u16) -> bool {
        let received = self.received.get(member as usize).and_then(Option::as_ref);
        received.is_some_and(|received| now < received.received_at + self.settings.absence_timeout_us)
    }

    /// The leader is the voter with the lowest number among those that are not absent. Two that both take
    /// themselves for it do no harm, as their ballots differ. Guards against a voter that lost its disk: it doesn't
    /// count until the others have replaced its earlier incarnation, which one of them has to do.
    pub(super) fn is_leader(&self, now: u64) -> bool {
        let me = self.voter();
        let counts = |voter: &&Voter| {
            let received = self.received.get(voter.member as usize).and_then(Option::as_ref);
            let incarnation =
                received.filter(|_| self.is_here(now, voter.member)).map(|received| received.incarnation);
            **voter == me || (voter.member != me.member && incarnation == Some(voter.incarnation))
        };
        let voter_sets = self.record.voter_sets.iter().flatten();
        voter_sets.filter(counts).min_by_key(|voter| voter.member) == Some(&me)
    }

    /// Continues this member's ballot, or begins one if a step is due.
    pub(super) fn lead(&mut self, now: u64) {
        let bootstrap_id = self.record.bootstrap_id;
        self.pending_bootstrap
            .take_if(|wanted| bootstrap_id >= *wanted || self.record.epoch() + 1 != *wanted >> 48);
        if let Some(OngoingRound { began, .. }) = self.round {
            if now < began + 4 * self.settings.renewal_interval_us {
                if now > began {
                    self.retry_round();
                }
                return;
            }
            self.round = None;
        }
        if now >= self.quiet_until
            && let Some(step) = self.next_step(now)
        {
            self.begin(now, step);
        }
    }

    /// The step that is due.
    pub(super) fn next_step(&self, now: u64) -> Option<Step> {
        if let Some(bootstrap_id) = self.pending_bootstrap {
            return Some(Step::Bootstrap { bootstrap_id, base: Box::new(self.record.clone()) });
        }
        if !self.is_voter() || !self.is_leader(now) {
            return None;
        }
        let voted = self.memory.votes.accepted.as_ref().map_or((0, 0), |(_, record)| record.order());
        if voted > self.record.order() {
            return Some(Step::Finish);
        }
        if self.record.voter_sets.len() > 1 {
            return Some(Step::SettleVoters);
        }
        let has_new_incarnation = |voter: &&Voter| {
            let received =
                self.received[voter.member as usize].as_ref().filter(|_| self.is_here(now, voter.member));
            received.is_some_and(|received| received.incarnation != voter.incarnation)
        };
        if let Some(old) = self.record.voter_sets.iter().flatten().find(has_new_incarnation) {
            let incarnation =
                self.received[old.member as usize].as_ref().map_or(0, |received| received.incarnation);
            return Some(Step::ReplaceVoter {
                old: *old,
                new: Voter { member: old.member, incarnation },
                request_id: None,
            });
        }
        let step = || self.replace_voter(now).or_else(|| self.halt_for_cause()).or_else(|| self.units(now));
        if let Some(step) = step().or_else(|| self.release(now)) {
            return Some(step);
        }
        self.change_step(now)
    }

    /// The next step of the change of policy: one begins if none is under way, or the one under way ends.
    fn change_step(&self, now: u64) -> Option<Step> {
        let Some(change) = self.record.pending_change else {
            return self.requests.iter().find_map(|wanted| match wanted.request {
                RequestKind::Propose { hash, length } if !self.record.has_applied(wanted.request_id) => {
                    Some(Step::Propose { hash, length, request_id: wanted.request_id })
                }
                _ => None,
            });
        };
        let number = change.policy.number;
        let withdrawn = |wanted: &PendingRequest| wanted.request == RequestKind::Withdraw { number };
        let end = |outcome| Some(Step::EndChange { number, outcome });
        if self.requests.iter().any(withdrawn) {
            return end(ChangeOutcome::Withdrawn);
        }
        let here = |member: &u16| *member == self.settings.member || self.is_here(now, *member);
        let mut all_ready = true;
        for member in (0..self.settings.member_count).filter(here) {
            let readiness = match &self.received[member as usize] {
                _ if member == self.settings.member => &self.readiness(),
                Some(received) => &received.readiness,
                None => continue,
            };
            match readiness {
                Readiness::Objected(of, _) if *of == number => return end(ChangeOutcome::Refused(member)),
                Readiness::Ready(of) if *of == number => {}
                _ => all_ready = false,
            }
        }
        // A leader that has just started can't know who is absent.
        let knows = now >= self.began + self.settings.absence_timeout_us;
        if all_ready && knows && now >= L::earliest_activation(self.learned, &self.settings) {
            return end(ChangeOutcome::InForce);
        }
        (now >= self.next_since + self.settings.change_timeout_us)
            .then_some(Step::EndChange { number, outcome: ChangeOutcome::GivenUp })
    }

    /// Replaces a voter by another member, if an operator asks for it and the new one is not absent. It votes
    /// from then on with its present incarnation.
    pub(super) fn replace_voter(&self, now: u64) -> Option<Step> {
        let voter_of = |member: u16| self.record.voter_sets[0].iter().find(|voter| voter.member == member);
        self.requests.iter().filter(|wanted| !self.record.has_applied(wanted.request_id)).find_map(|wanted| {
            let RequestKind::ReplaceVoter { old, new } = wanted.request else { return None };
            let incarnation = match new == self.settings.member {
                true => self.memory.incarnation,
                false => {
                    self.received.get(new as usize)?.as_ref().filter(|_| self.is_here(now, new))?.incarnation
                }
            };
            let new = Voter { member: new, incarnation };
            voter_of(new.member).is_none().then_some(())?;
            Some(Step::ReplaceVoter { old: *voter_of(old)?, new, request_id: Some(wanted.request_id) })
        })
    }
}
