//! Planning of the voters: replaces lost voters, adds voters up to the target number, and spreads them over
//! failure domains.

use whinspindle_consensus::Voter;

use super::{Candidate, MAX_JOIN_LAG_ENTRIES, Plan, VoterState};
use crate::placement::{Crowding, FailureDomain};
use crate::view::{ChainLink, Member};

impl Plan<'_> {
    /// Continues a replacement of voters, or begins one (joint consensus, Raft, section 6).
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
            self.improve_spread(&mut new, &candidates);
        }
        if old != new {
            self.next.voter_sets.push(new);
        }
        if !self.input.replaces_voters_jointly {
            self.next.voter_sets.drain(..self.next.voter_sets.len() - 1);
        }
    }

    /// Drops the old voters once the new voters can decide alone. If only half of the new voters or fewer
    /// are present, replaces the lost new voters instead.
    fn continue_replacement(&mut self, mut new: Vec<Voter>) {
        let present = new.iter().filter(|voter| self.present.contains_key(voter)).count();
        if 2 * present <= new.len() {
            let mut candidates = self.input.candidates.clone();
            self.replace_lost(&mut new, &mut candidates);
            self.next.voter_sets[1] = new;
            return;
        }
        // Until a new voter has a complete log, an old voter with a complete log may be needed.
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

    /// Removes and returns the best candidate to replace a lost voter: the one at the same endpoint, or
    /// else the one in the least crowded failure domain.
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

    /// The index of the candidate that results in the lowest crowding; the first one if there are several.
    fn best_placed(&self, voters: &[Voter], candidates: &[Candidate]) -> Option<usize> {
        let failure_domains: Vec<FailureDomain> =
            voters.iter().map(|voter| self.failure_domain(*voter)).collect();
        let crowding = |index: &usize| {
            let candidate = &candidates[*index].failure_domain;
            Crowding::compute(&failure_domains.iter().chain([candidate]).collect::<Vec<&FailureDomain>>())
        };
        (0..candidates.len()).min_by_key(crowding)
    }

    /// The failure domain of a voter, according to its heartbeats or else to the view.
    fn failure_domain(&self, voter: Voter) -> FailureDomain {
        let Some(member) = self.next.member(voter) else { return FailureDomain::default() };
        let received = self.input.failure_domains.get(&member.endpoint).cloned();
        received.unwrap_or_else(|| member.failure_domain())
    }

    /// Adds a candidate as a member. Returns its identity as a voter.
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
    /// One voter less than the target is an even number, but it is accepted once no more candidates are
    /// expected: acknowledged entries are then on one disk more than may be lost, which is not so with one
    /// voter less. Both numbers of voters stop when the same number of voters is down, which is half of the
    /// even number.
    fn grow(&mut self, voter_set: &mut Vec<Voter>, candidates: &mut Vec<Candidate>) {
        let target = self.input.tolerance.target_voters();
        let mut new_size = (voter_set.len() + candidates.len()).min(target);
        let accepts_even_size = new_size + 1 == target && self.input.has_settled_candidates;
        if new_size.is_multiple_of(2) && !accepts_even_size {
            new_size -= 1;
        }
        while voter_set.len() < new_size {
            let Some(index) = self.best_placed(voter_set, candidates) else { return };
            let voter = self.admit(candidates.remove(index));
            voter_set.push(voter);
        }
    }

    /// Replaces one voter if this spreads the voters more evenly over regions and zones and all voters are
    /// stable.
    fn improve_spread(&mut self, voter_set: &mut Vec<Voter>, candidates: &[Candidate]) {
        let failure_domains: Vec<(Voter, FailureDomain)> =
            voter_set.iter().map(|voter| (*voter, self.failure_domain(*voter))).collect();
        let are_known = failure_domains.iter().all(|(_, domain)| domain.is_known());
        if candidates.is_empty() || !are_known || !voter_set.iter().all(|voter| self.is_stable_member(*voter))
        {
            return;
        }
        if let Some((voter, candidate)) = self.best_replacement(failure_domains, candidates) {
            voter_set.retain(|other| *other != voter);
            voter_set.push(self.admit(candidate));
        }
    }

    /// The replacement of one voter that spreads the voters most evenly. Among equal replacements, prefers
    /// the voter nearest to the tail of the chain. `None` if no replacement improves the spread.
    fn best_replacement(
        &self,
        mut voters: Vec<(Voter, FailureDomain)>,
        candidates: &[Candidate],
    ) -> Option<(Voter, Candidate)> {
        voters.sort_by_key(|(voter, _)| std::cmp::Reverse(self.next.chain_position(*voter)));
        let mut best_crowding =
            Crowding::compute(&voters.iter().map(|(_, domain)| domain).collect::<Vec<&FailureDomain>>());
        let mut replacement = None;
        for (voter, _) in &voters {
            for candidate in candidates.iter().filter(|candidate| self.is_up_to_date(candidate.state)) {
                let others = voters.iter().filter(|(other, _)| other != voter).map(|(_, domain)| domain);
                let crowding = Crowding::compute(
                    &others.chain([&candidate.failure_domain]).collect::<Vec<&FailureDomain>>(),
                );
                if crowding < best_crowding {
                    best_crowding = crowding;
                    replacement = Some((*voter, candidate.clone()));
                }
            }
        }
        replacement
    }

    /// Whether a voter is in the chain, has a complete log and is not shutting down.
    fn is_stable_member(&self, voter: Voter) -> bool {
        let link = self.next.chain_link(voter);
        link.is_some_and(|link| self.is_complete(link)) && !self.is_shutting_down(voter)
    }

    /// Whether a replica lacks at most [`MAX_JOIN_LAG_ENTRIES`] committed entries.
    fn is_up_to_date(&self, state: VoterState) -> bool {
        let committed = self.present.values().map(|state| state.committed).max();
        state.committed + MAX_JOIN_LAG_ENTRIES >= committed.unwrap_or(0)
    }
}
