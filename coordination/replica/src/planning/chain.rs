//! Planning of the chain: survivors stay in their order, joiners are appended.

use whinspindle_consensus::Voter;

use super::{Plan, SMALL_LAG, VoterState};
use crate::view::{ChainLink, View};

/// A view lists at most this many chains of earlier views.
const MAX_FORMER_CHAINS: usize = 8;

impl Plan<'_> {
    /// Chooses the chain: survivors in their order, then those that join. The first one holds all that any of them does.
    pub(super) fn choose_chain(&mut self, prepared: &View) -> Option<()> {
        let voters = self.next.voters();
        let stays =
            |link: &&ChainLink| voters.contains(&link.voter) && self.present.contains_key(&link.voter);
        let kept: Vec<ChainLink> = prepared.chain.iter().filter(stays).copied().collect();
        let (mut complete, mut joining): (Vec<ChainLink>, Vec<ChainLink>) =
            kept.into_iter().partition(|link| self.is_complete(link));
        self.record_former_chain(prepared);
        if complete.is_empty() {
            let leader = self.former_leader(&voters).or_else(|| self.forced_leader(&voters))?;
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
            let link = ChainLink { voter, since_view: self.next.number };
            if is_ready {
                chain.push(link);
            } else {
                late.push(link);
            }
        }
        let required = self.next.required_chain_length(self.input.tolerance.machines);
        self.drop_shutting_down(&mut chain, required);
        let lacking = required.saturating_sub(chain.len());
        chain.extend(late.into_iter().take(lacking));
        self.next.chain = chain;
        Some(())
    }

    /// Records the chain of the prepared view as the newest former one.
    fn record_former_chain(&mut self, prepared: &View) {
        self.next.former_chains.push(prepared.chain.clone());
    }

    /// A member of a former chain that holds all that was committed, where no member of the present chain does; the
    /// chains after that one are dropped.
    ///
    /// In a view with a member that has promised without a complete log, nothing was or will be committed: that takes
    /// complete logs of all members, and this one will not have one any more. So the chain before it counts, and so on.
    fn former_leader(&mut self, voters: &[Voter]) -> Option<ChainLink> {
        while let Some(chain) = self.next.former_chains.last() {
            let promised: Vec<(&ChainLink, u64)> =
                chain.iter().filter_map(|link| Some((link, self.promised_complete(link.voter)?))).collect();
            let may_lead = |(link, complete): &&(&ChainLink, u64)| {
                let holds_all = *complete >= link.since_view || !self.input.requires_complete_leader;
                holds_all && voters.contains(&link.voter)
            };
            if let Some((link, complete)) = promised.iter().find(may_lead) {
                return Some(ChainLink { voter: link.voter, since_view: link.since_view.min(*complete) });
            }
            if promised.iter().all(|(link, complete)| *complete >= link.since_view) {
                return None;
            }
            self.next.former_chains.pop();
        }
        None
    }

    /// The most advanced of those that take part, where an operator forces the reconfiguration.
    fn forced_leader(&self, voters: &[Voter]) -> Option<ChainLink> {
        let takes_part = |(voter, state): &(&Voter, &VoterState)| {
            self.input.forces_leader && voters.contains(voter) && state.has_promised && state.complete > 0
        };
        let present = self.present.iter().filter(takes_part);
        let (voter, state) = present.max_by_key(|(_, state)| (state.complete, state.committed))?;
        Some(ChainLink { voter: *voter, since_view: state.complete })
    }

    /// The last view in which a voter's log was complete, by the report with its promise.
    fn promised_complete(&self, voter: Voter) -> Option<u64> {
        let state = self.present.get(&voter).filter(|state| state.has_promised)?;
        Some(state.complete)
    }

    /// Drops the chains before the newest one whose members all have complete logs, and those beyond the maximum.
    fn trim_former_chains(&mut self) {
        let holds_all = |link: &ChainLink| {
            self.promised_complete(link.voter).is_some_and(|complete| complete >= link.since_view)
        };
        let first_needed = self.next.former_chains.iter().rposition(|chain| chain.iter().all(holds_all));
        let excess = self.next.former_chains.len().saturating_sub(MAX_FORMER_CHAINS);
        self.next.former_chains.drain(..first_needed.unwrap_or(0).max(excess));
    }

    /// Whether two voters do not receive heartbeats from each other.
    fn are_disconnected(&self, one: Voter, other: Voter) -> bool {
        let (one, other) = (self.next.endpoint(one), self.next.endpoint(other));
        let (Some(one), Some(other)) = (one, other) else { return true };
        self.input.disconnected.contains(&(one, other)) || self.input.disconnected.contains(&(other, one))
    }

    /// Voters that are not in the chain but can be, the most advanced first.
    fn joiners(&self, prepared: &View, voters: &[Voter]) -> Vec<(Voter, VoterState)> {
        let is_outside =
            |voter: &Voter| prepared.chain_position(*voter).is_none() && !self.is_shutting_down(*voter);
        let outside = voters.iter().copied().filter(is_outside);
        let mut joiners: Vec<(Voter, VoterState)> =
            outside.filter_map(|voter| self.present.get(&voter).map(|state| (voter, *state))).collect();
        joiners.sort_by_key(|(_, state)| std::cmp::Reverse(state.committed));
        joiners
    }

    /// Drops members that are shutting down where enough others stay, one of them with a complete log.
    fn drop_shutting_down(&self, chain: &mut Vec<ChainLink>, required: usize) {
        let rest: Vec<ChainLink> =
            chain.iter().filter(|link| !self.is_shutting_down(link.voter)).copied().collect();
        if rest.len() >= required && rest.iter().any(|link| self.is_complete(link)) {
            *chain = rest;
        }
    }
}
