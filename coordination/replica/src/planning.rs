//! Which view should come next, by what is known of the replicas.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use whinspindle_consensus::Voter;

use crate::message::Report;
use crate::placement::{Crowding, FailureDomain, Tolerance};
use crate::view::{ChainLink, Member, View};

/// A joiner that lacks no more entries than these is let in at once.
const SMALL_LAG: u64 = 64;
/// A view remembers no more chains of views before it.
const MAX_FORMER_CHAINS: usize = 8;

/// A voter that takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterState {
    /// The last view in which its log was durably complete.
    pub complete: u64,
    pub committed: u64,
    pub is_shutting_down: bool,
    /// This was said with a promise: it takes no part any more in the view that was found, nor in one before.
    pub has_promised: bool,
}

impl VoterState {
    /// What was said with a promise.
    pub fn promised(report: Report, is_shutting_down: bool) -> VoterState {
        let Report { complete, committed } = report;
        VoterState { complete, committed, is_shutting_down, has_promised: true }
    }

    /// What was said without one.
    pub fn reported(report: Report, is_shutting_down: bool) -> VoterState {
        VoterState { has_promised: false, ..VoterState::promised(report, is_shutting_down) }
    }
}

/// A replica that could become a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub endpoint: SocketAddr,
    pub incarnation: u64,
    pub failure_domain: FailureDomain,
    pub state: VoterState,
}

/// What is known of the replicas.
#[derive(Clone, Debug, Default)]
pub struct PlanningInput {
    pub tolerance: Tolerance,
    /// Whether the voters of before agree together with those that replace some of them, until these have begun.
    pub replaces_voters_jointly: bool,
    /// Whether a member of a former chain leads only if it holds all that was committed.
    pub requires_complete_leader: bool,
    /// Voters that take part; others are not to be in the next chain.
    pub present: BTreeMap<Voter, VoterState>,
    /// Voters that may be replaced.
    pub lost: BTreeSet<Voter>,
    pub candidates: Vec<Candidate>,
    /// Pairs of endpoints that do not hear each other.
    pub disconnected: BTreeSet<(SocketAddr, SocketAddr)>,
    /// What is known of zones and regions.
    pub failure_domains: BTreeMap<SocketAddr, FailureDomain>,
}

/// The next view; none if too few take part for a chain that may take writes.
pub fn next_view(prepared: &View, input: &PlanningInput) -> Option<View> {
    let mut plan = Plan {
        next: View { number: prepared.number + 1, ..prepared.clone() },
        present: input.present.clone(),
        input,
    };
    plan.choose_voter_sets();
    plan.choose_chain(prepared)?;
    plan.remove_former_members();
    plan.update_failure_domains();
    plan.next.takes_writes(input.tolerance.machines).then_some(plan.next)
}

/// A view in the making.
struct Plan<'a> {
    next: View,
    /// Voters that take part, also those that are admitted now.
    present: BTreeMap<Voter, VoterState>,
    input: &'a PlanningInput,
}

impl Plan<'_> {
    /// Ends a replacement of voters, or begins one.
    fn choose_voter_sets(&mut self) {
        if let [_, new] = self.next.voter_sets.as_slice() {
            let present = new.iter().filter(|voter| self.present.contains_key(voter)).count();
            // Until a new voter is complete, an old one may be needed that holds all.
            let is_complete = |link: &ChainLink| new.contains(&link.voter) && self.is_complete(link);
            if 2 * present > new.len() && self.next.chain.iter().any(is_complete) {
                self.next.voter_sets.remove(0);
            }
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

    /// The best candidate for a lost voter's seat: at its endpoint, else where fewest of the others are.
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

    /// The candidate that would crowd the voters least; of several the first.
    fn best_placed(&self, voters: &[Voter], candidates: &[Candidate]) -> Option<usize> {
        let failure_domains: Vec<FailureDomain> =
            voters.iter().map(|voter| self.failure_domain(*voter)).collect();
        let crowding = |index: &usize| {
            let candidate = &candidates[*index].failure_domain;
            Crowding::of(&failure_domains.iter().chain([candidate]).collect::<Vec<&FailureDomain>>())
        };
        (0..candidates.len()).min_by_key(crowding)
    }

    fn failure_domain(&self, voter: Voter) -> FailureDomain {
        let Some(member) = self.next.member(voter) else { return FailureDomain::default() };
        let received = self.input.failure_domains.get(&member.endpoint).cloned();
        received.unwrap_or_else(|| member.failure_domain())
    }

    fn admit(&mut self, candidate: Candidate) -> Voter {
        let Candidate { endpoint, incarnation, failure_domain, state } = candidate;
        let voter = Voter { member: self.next.next_member, incarnation };
        let FailureDomain { zone, region } = failure_domain;
        self.next.members.push(Member { voter, endpoint, zone, region });
        self.next.next_member += 1;
        self.present.insert(voter, state);
        voter
    }

    /// Adds voters up to the wanted number, and keeps the number odd where it can.
    fn grow(&mut self, voter_set: &mut Vec<Voter>, candidates: &mut Vec<Candidate>) {
        let target = self.input.tolerance.target_voters();
        let mut reached = (voter_set.len() + candidates.len()).min(target);
        if reached.is_multiple_of(2) {
            reached -= 1;
        }
        while voter_set.len() < reached {
            let Some(index) = self.best_placed(voter_set, candidates) else { return };
            let voter = self.admit(candidates.remove(index));
            voter_set.push(voter);
        }
    }

    /// Replaces one voter where that spreads them more evenly over regions and zones, if nothing else is amiss.
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

    /// The exchange of a voter that spreads them most evenly; of several that of the last in the chain. None if they
    /// are spread as evenly already.
    fn best_exchange(
        &self,
        mut voters: Vec<(Voter, FailureDomain)>,
        candidates: &[Candidate],
    ) -> Option<(Voter, Candidate)> {
        voters.sort_by_key(|(voter, _)| std::cmp::Reverse(self.next.position(*voter)));
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

    /// In the chain with a complete log, and not about to stop.
    fn is_stable_member(&self, voter: Voter) -> bool {
        let link = self.next.link(voter);
        link.is_some_and(|link| self.is_complete(link)) && !self.is_shutting_down(voter)
    }

    /// Whether a replica lacks so little that it can be let into the chain at once.
    fn is_up_to_date(&self, state: VoterState) -> bool {
        let committed = self.present.values().map(|state| state.committed).max();
        state.committed + SMALL_LAG >= committed.unwrap_or(0)
    }

    /// Survivors in their order, then those that join; the first of them has all that any of them has.
    fn choose_chain(&mut self, prepared: &View) -> Option<()> {
        let voters = self.next.voters();
        let stays =
            |link: &&ChainLink| voters.contains(&link.voter) && self.present.contains_key(&link.voter);
        let kept: Vec<ChainLink> = prepared.chain.iter().filter(stays).copied().collect();
        let (mut complete, mut joining): (Vec<ChainLink>, Vec<ChainLink>) =
            kept.into_iter().partition(|link| self.is_complete(link));
        self.record_former_chain(prepared);
        if complete.is_empty() {
            let leader = self.former_leader(&voters)?;
            joining.retain(|link| link.voter != leader.voter);
            complete.push(leader);
        }
        self.trim_former_chains();
        let newest = complete.iter().map(|link| self.present[&link.voter].committed).max()?;

        let mut chain = [complete, joining].concat();
        let mut late = Vec::new();
        for (voter, state) in self.joiners(prepared, &voters) {
            if chain.iter().any(|link| link.voter == voter) {
                continue;
            }
            let last = chain.last()?.voter;
            let is_ready = state.committed + SMALL_LAG >= newest && !self.are_disconnected(last, voter);
            let link = ChainLink { voter, since: self.next.number };
            if is_ready {
                chain.push(link);
            } else {
                late.push(link);
            }
        }
        let required = self.next.required_chain(self.input.tolerance.machines);
        self.drop_shutting_down(&mut chain, required);
        let lacking = required.saturating_sub(chain.len());
        chain.extend(late.into_iter().take(lacking));
        self.next.chain = chain;
        Some(())
    }

    fn is_complete(&self, link: &ChainLink) -> bool {
        self.present.get(&link.voter).is_some_and(|state| state.complete >= link.since)
    }

    fn record_former_chain(&mut self, prepared: &View) {
        self.next.former.push(prepared.chain.clone());
    }

    /// A member of a former chain that has all that was committed, where none of the present chain has; the chains after
    /// that one are forgotten.
    ///
    /// In a view with a member that has promised without a complete log nothing was or will be committed: that takes
    /// complete logs of all members, and this one won't have one any more. So the chain before it counts, and so on.
    fn former_leader(&mut self, voters: &[Voter]) -> Option<ChainLink> {
        while let Some(chain) = self.next.former.last() {
            let promised: Vec<(&ChainLink, u64)> =
                chain.iter().filter_map(|link| Some((link, self.promised_complete(link.voter)?))).collect();
            let may_lead = |(link, complete): &&(&ChainLink, u64)| {
                let holds_all = *complete >= link.since || !self.input.requires_complete_leader;
                holds_all && voters.contains(&link.voter)
            };
            if let Some((link, complete)) = promised.iter().find(may_lead) {
                return Some(ChainLink { voter: link.voter, since: link.since.min(*complete) });
            }
            if promised.iter().all(|(link, complete)| *complete >= link.since) {
                return None;
            }
            self.next.former.pop();
        }
        None
    }

    /// The last view in which a voter's log was complete, as it said with its promise.
    fn promised_complete(&self, voter: Voter) -> Option<u64> {
        let state = self.present.get(&voter).filter(|state| state.has_promised)?;
        Some(state.complete)
    }

    /// Chains before one of which all members have all are not needed, and no more than so many are kept.
    fn trim_former_chains(&mut self) {
        let holds_all = |link: &ChainLink| {
            self.promised_complete(link.voter).is_some_and(|complete| complete >= link.since)
        };
        let whole = self.next.former.iter().rposition(|chain| chain.iter().all(holds_all));
        let excess = self.next.former.len().saturating_sub(MAX_FORMER_CHAINS);
        self.next.former.drain(..whole.unwrap_or(0).max(excess));
    }

    fn is_shutting_down(&self, voter: Voter) -> bool {
        self.present.get(&voter).is_some_and(|state| state.is_shutting_down)
    }

    fn are_disconnected(&self, one: Voter, other: Voter) -> bool {
        let (one, other) = (self.next.endpoint(one), self.next.endpoint(other));
        let (Some(one), Some(other)) = (one, other) else { return true };
        self.input.disconnected.contains(&(one, other)) || self.input.disconnected.contains(&(other, one))
    }

    /// Voters that are not in the chain but could be, the most advanced first.
    fn joiners(&self, prepared: &View, voters: &[Voter]) -> Vec<(Voter, VoterState)> {
        let is_outside =
            |voter: &Voter| prepared.position(*voter).is_none() && !self.is_shutting_down(*voter);
        let outside = voters.iter().copied().filter(is_outside);
        let mut joiners: Vec<(Voter, VoterState)> =
            outside.filter_map(|voter| self.present.get(&voter).map(|state| (voter, *state))).collect();
        joiners.sort_by_key(|(_, state)| std::cmp::Reverse(state.committed));
        joiners
    }

    /// Those that are about to stop go at once where enough others stay, one of them with a complete log.
    fn drop_shutting_down(&self, chain: &mut Vec<ChainLink>, required: usize) {
        let rest: Vec<ChainLink> =
            chain.iter().filter(|link| !self.is_shutting_down(link.voter)).copied().collect();
        if rest.len() >= required && rest.iter().any(|link| self.is_complete(link)) {
            *chain = rest;
        }
    }

    fn remove_former_members(&mut self) {
        let voters = self.next.voters();
        self.next.members.retain(|member| voters.contains(&member.voter));
    }

    fn update_failure_domains(&mut self) {
        for member in &mut self.next.members {
            if let Some(domain) = self.input.failure_domains.get(&member.endpoint) {
                member.zone.clone_from(&domain.zone);
                member.region.clone_from(&domain.region);
            }
        }
    }
}
