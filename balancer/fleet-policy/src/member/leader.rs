//! The leader among the voters, and the step of the record that it has to bring about next.

use whinspindle_consensus::Voter;

use super::proposer::OngoingRound;
use super::requests::PendingRequest;
use super::{Member, MemberRules, Outside};
use crate::message::{Readiness, Want};
use crate::record::{Fate, Step};

impl<O: Outside, L: MemberRules> Member<O, L> {
    pub(super) fn is_here(&self, now: u64, member: u16) -> bool {
        let heard = self.heard.get(member as usize).and_then(Option::as_ref);
        heard.is_some_and(|heard| now < heard.at + self.terms.absent)
    }

    /// The first of the voters that are heard carries changes on. Two that both take themselves for it do no
    /// harm: their rounds are told apart. Guards against a voter that lost its memory: it is heard and does
    /// not count until the others have taken it in, which one of them has to do.
    pub(super) fn is_leader(&self, now: u64) -> bool {
        let me = self.voter();
        let counts = |voter: &&Voter| {
            let heard = self.heard.get(voter.member as usize).and_then(Option::as_ref);
            let incarnation =
                heard.filter(|_| self.is_here(now, voter.member)).map(|heard| heard.incarnation);
            **voter == me || (voter.member != me.member && incarnation == Some(voter.incarnation))
        };
        let voter_sets = self.record.voter_sets.iter().flatten();
        voter_sets.filter(counts).min_by_key(|voter| voter.member) == Some(&me)
    }

    /// Goes on with the round of this member, or begins one if something has to be done.
    pub(super) fn lead(&mut self, now: u64) {
        let founding = self.record.founding;
        self.found.take_if(|wanted| founding >= *wanted || self.record.epoch() + 1 != *wanted >> 48);
        if let Some(OngoingRound { began, .. }) = self.round {
            if now < began + 4 * self.terms.pace {
                if now > began {
                    self.repeat_round();
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

    /// What has to be done for the fleet.
    pub(super) fn next_step(&self, now: u64) -> Option<Step> {
        if let Some(founding) = self.found {
            return Some(Step::Found { founding, base: Box::new(self.record.clone()) });
        }
        if !self.is_voter() || !self.is_leader(now) {
            return None;
        }
        let voted = self.memory.votes.accepted.as_ref().map_or((0, 0), |(_, record)| record.order());
        if voted > self.record.order() {
            return Some(Step::Finish);
        }
        if self.record.voter_sets.len() > 1 {
            return Some(Step::Settle);
        }
        let reborn = |voter: &&Voter| {
            let heard =
                self.heard[voter.member as usize].as_ref().filter(|_| self.is_here(now, voter.member));
            heard.is_some_and(|heard| heard.incarnation != voter.incarnation)
        };
        if let Some(old) = self.record.voter_sets.iter().flatten().find(reborn) {
            let incarnation = self.heard[old.member as usize].as_ref().map_or(0, |heard| heard.incarnation);
            return Some(Step::Replace {
                old: *old,
                new: Voter { member: old.member, incarnation },
                wish: None,
            });
        }
        let step = || self.replace_voter(now).or_else(|| self.halt_for_cause()).or_else(|| self.units(now));
        if let Some(step) = step().or_else(|| self.release(now)) {
            return Some(step);
        }
        self.change_step(now)
    }

    /// What has to be done about the change of policy: one begins if none is under way; that one comes to its
    /// end.
    fn change_step(&self, now: u64) -> Option<Step> {
        let Some(change) = self.record.next else {
            return self.requests.iter().find_map(|wanted| match wanted.want {
                Want::Propose { hash, length } if !self.record.knows(wanted.wish) => {
                    Some(Step::Propose { hash, length, wish: wanted.wish })
                }
                _ => None,
            });
        };
        let number = change.policy.number;
        let withdrawn = |wanted: &PendingRequest| wanted.want == Want::Withdraw { number };
        let end = |fate| Some(Step::End { number, fate });
        if self.requests.iter().any(withdrawn) {
            return end(Fate::Withdrawn);
        }
        let here = |member: &u16| *member == self.terms.me || self.is_here(now, *member);
        let mut all_ready = true;
        for member in (0..self.terms.members).filter(here) {
            let readiness = match &self.heard[member as usize] {
                _ if member == self.terms.me => &self.readiness(),
                Some(heard) => &heard.readiness,
                None => continue,
            };
            match readiness {
                Readiness::Objects(of, _) if *of == number => return end(Fate::Refused(member)),
                Readiness::Ready(of) if *of == number => {}
                _ => all_ready = false,
            }
        }
        // Whoever is away has been unheard for that long; a leader that has just started can't know it.
        let knows = now >= self.began + self.terms.absent;
        if all_ready && knows && now >= L::next_after(self.learned, &self.terms) {
            return end(Fate::InForce);
        }
        (now >= self.next_since + self.terms.give_up).then_some(Step::End { number, fate: Fate::GivenUp })
    }

    /// One voter makes way for another, if an operator wants it and the new one is heard. It votes from then
    /// on with the incarnation that it has now.
    pub(super) fn replace_voter(&self, now: u64) -> Option<Step> {
        let voter_of = |member: u16| self.record.voter_sets[0].iter().find(|voter| voter.member == member);
        self.requests.iter().filter(|wanted| !self.record.knows(wanted.wish)).find_map(|wanted| {
            let Want::Voters { old, new } = wanted.want else { return None };
            let incarnation = match new == self.terms.me {
                true => self.memory.incarnation,
                false => {
                    self.heard.get(new as usize)?.as_ref().filter(|_| self.is_here(now, new))?.incarnation
                }
            };
            let new = Voter { member: new, incarnation };
            voter_of(new.member).is_none().then_some(())?;
            Some(Step::Replace { old: *voter_of(old)?, new, wish: Some(wanted.wish) })
        })
    }
}
