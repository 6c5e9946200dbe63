//! Planning of the voters: lost ones are replaced, their number grows to the target, and they spread over failure
//! domains.

use whinspindle_consensus::Voter;

use super::{Candidate, Plan, SMALL_LAG, VoterState};
use crate::placement::{Crowding, FailureDomain};
use crate::view::{ChainLink, Member};

impl Plan<'_> {
    /// Completes a replacement of voters, or begins one (joint consensus, Raft, section 6).
    pub(super) fn choose_voter_sets(&mut self) {
        if let [_, new] = self.next.voter_sets.as_slice() {
            let new = new.clone();
            self.continue_replacement(new);
            return;
        }
        let [old] = self.next.voter_sets.as_slice() else { return };
        let old = old.clone();
        let mut new = old.clone();
        let mut candidates = self.input.candidates.clone();
        self.replace_lost(&mut new, &mut candidates);
        self.grow(&mut new, &mut candidates);
        if old == new {
            self.spread(&mut new, &candidates);
        }
        if old != new {
            self.next.voter_sets.push(new);
        }
        if !self.input.replaces_voters_jointly {
            self.next.voter_sets.drain(..self.next.voter_sets.len() - 1);
        }
    }

    /// Drops the old voters once the new ones can go on alone. Where too few of these are left for that, the lost ones
    /// among them are replaced.
    fn continue_replacement(&mut self, mut new: Vec<Voter>) {
        let present = new.iter().filter(|voter| self.present.contains_key(voter)).count();
        if 2 * present <= new.len() {
            let mut candidates = self.input.candidates.clone();
            self.replace_lost(&mut new, &mut candidates);
            self.next.voter_sets[1] = new;
            return;
        }
        // Until a new voter is complete, an old one may be needed that holds all.
        let is_complete = |link: &ChainLink| new.contains(&link.voter) && self.is_complete(link);
        if self.next.chain.iter().any(is_complete) {
            self.next.voter_sets.remove(0);
        }
    }

    /// Replaces lost voters by candidates.
    fn replace_lost(&mut self, voter_set: &mut Vec<Voter>, candidates: &mut Vec<Candidate>) {
        let lost: Vec<Voter> =
            voter_set.iter().copied().filter(|voter| self.input.lost.contains(voter)).collect();
        for voter in lost {
            let others: Vec<Voter> = voter_set.iter().copied().filter(|other| *other != voter).collect();
            if let Some(candidate) = self.take_successor(voter, &others, candidates) {
                *voter_set = others;
                voter_set.push(self.admit(candidate));
            }
        }
    }

    /// Takes the best candidate for a lost voter: one at the same endpoint, else where the fewest of the others are.
    fn take_successor(
        &self,
        lost: Voter,
        others: &[Voter],
        candidates: &mut Vec<Candidate>,
    ) -> Option<Candidate> {
        let member = self.next.member(lost)?;
        let at_endpoint = candidates.iter().position(|candidate| candidate.endpoint == member.endpoint);
        let index = at_endpoint.or_else(|| self.best_placed(others, candidates))?;
        Some(candidates.remove(index))
    }

    /// The index of the candidate that would crowd the voters least; the first of several.
    fn best_placed(&self, voters: &[Voter], candidates: &[Candidate]) -> Option<usize> {
        let failure_domains: Vec<FailureDomain> =
            voters.iter().map(|voter| self.failure_domain(*voter)).collect();
        let crowding = |index: &usize| {
            let candidate = &candidates[*index].failure_domain;
            Crowding::of(&failure_domains.iter().chain([candidate]).collect::<Vec<&FailureDomain>>())
        };
        (0..candidates.len()).min_by_key(crowding)
    }

    /// The failure domain of a voter, by its heartbeats or else by the view.
    fn failure_domain(&self, voter: Voter) -> FailureDomain {
        let Some(member) = self.next.member(voter) else { return FailureDomain::default() };
        let received = self.input.failure_domains.get(&member.endpoint).cloned();
        received.unwrap_or_else(|| member.failure_domain())
    }

    /// Makes a candidate a member and voter.
    fn admit(&mut self, candidate: Candidate) -> Voter {
        let Candidate { endpoint, incarnation, failure_domain, state } = candidate;
        let voter = Voter { member: self.next.next_member, incarnation };
        let FailureDomain { zone, region } = failure_domain;
        self.next.members.push(Member { voter, endpoint, zone, region });
        self.next.next_member += 1;
        self.present.insert(voter, state);
        voter
    }

    /// Adds voters up to the target number, and keeps their number odd where possible.
    ///
    /// One less than the target is even, and worth it: what is acknowledged is then on one disk more than may be lost, as
    /// it is not with one voter less. As many voters stop both as soon as half of the even number is down.
    fn grow(&mut self, voter_set: &mut Vec<Voter>, candidates: &mut Vec<Candidate>) {
        let target = self.input.tolerance.target_voters();
        let mut reached = (voter_set.len() + candidates.len()).min(target);
        let is_worth_even = reached + 1 == target && self.input.has_settled_candidates;
        if reached.is_multiple_of(2) && !is_worth_even {
            reached -= 1;
        }
        while voter_set.len() < reached {
            let Some(index) = self.best_placed(voter_set, candidates) else { return };
            let voter = self.admit(candidates.remove(index));
            voter_set.push(voter);
        }
    }

    /// Replaces one voter where that spreads them more evenly over regions and zones, if all voters are stable.
    fn spread(&mut self, voter_set: &mut Vec<Voter>, candidates: &[Candidate]) {
        let failure_domains: Vec<(Voter, FailureDomain)> =
            voter_set.iter().map(|voter| (*voter, self.failure_domain(*voter))).collect();
        let are_known = failure_domains.iter().all(|(_, domain)| domain.is_known());
        if candidates.is_empty() || !are_known || !voter_set.iter().all(|voter| self.is_stable_member(*voter))
        {
            return;
        }
        if let Some((voter, candidate)) = self.best_exchange(failure_domains, candidates) {
            voter_set.retain(|other| *other != voter);
            voter_set.push(self.admit(candidate));
        }
    }

    /// The exchange of a voter that spreads them most evenly, of several that of the last in the chain; `None` if no
    /// exchange improves on the present voters.
    fn best_exchange(
        &self,
        mut voters: Vec<(Voter, FailureDomain)>,
        candidates: &[Candidate],
    ) -> Option<(Voter, Candidate)> {
        voters.sort_by_key(|(voter, _)| std::cmp::Reverse(self.next.chain_position(*voter)));
        let mut best =
            Crowding::of(&voters.iter().map(|(_, domain)| domain).collect::<Vec<&FailureDomain>>());
        let mut exchange = None;
        for (voter, _) in &voters {
            for candidate in candidates.iter().filter(|candidate| self.is_up_to_date(candidate.state)) {
                let others = voters.iter().filter(|(other, _)| other != voter).map(|(_, domain)| domain);
                let crowding =
                    Crowding::of(&others.chain([&candidate.failure_domain]).collect::<Vec<&FailureDomain>>());
                if crowding < best {
                    best = crowding;
                    exchange = Some((*voter, candidate.clone()));
                }
            }
        }
        exchange
    }

    /// Whether a voter is in the chain with a complete log, and not shutting down.
    fn is_stable_member(&self, voter: Voter) -> bool {
        let link = self.next.chain_link(voter);
        link.is_some_and(|link| self.is_complete(link)) && !self.is_shutting_down(voter)
    }

    /// Whether a replica lacks so few entries that it can join the chain at once.
    fn is_up_to_date(&self, state: VoterState) -> bool {
        let committed = self.present.values().map(|state| state.committed).max();
        state.committed + SMALL_LAG >= committed.unwrap_or(0)
    }
}
