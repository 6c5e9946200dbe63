//! Planning of the chain: remaining members keep their order, and joining members are appended.

use whinspindle_consensus::Voter;

use super::{MAX_JOIN_LAG_ENTRIES, Plan, VoterState};
use crate::view::{ChainLink, View};

/// The maximum number of chains of earlier views in a view.
const MAX_FORMER_CHAINS: usize = 8;

impl Plan<'_> {
    /// Chooses the chain. Remaining members come first, in their order, and joining members follow. The log
    /// of the first member contains the entries of all others. Returns `None` if no member can lead.
    pub(super) fn choose_chain(&mut self, prepared: &View) -> Option<()> {
        let voters = self.next.voters();
        let remains =
            |link: &&ChainLink| voters.contains(&link.voter) && self.present.contains_key(&link.voter);
        let kept: Vec<ChainLink> = prepared.chain.iter().filter(remains).copied().collect();
        let (mut complete, mut joining): (Vec<ChainLink>, Vec<ChainLink>) =
            kept.into_iter().partition(|link| self.is_complete(link));
        self.record_former_chain(prepared);
        if complete.is_empty() {
            let leader = self.former_leader(&voters).or_else(|| self.forced_leader(&voters))?;
            joining.retain(|link| link.voter != leader.voter);
            complete.push(leader);
        }
        self.trim_former_chains();
        let newest_committed = complete.iter().map(|link| self.present[&link.voter].committed).max()?;

        let mut chain = [complete, joining].concat();
        let mut not_ready = Vec::new();
        for (voter, state) in self.joiners(prepared, &voters) {
            if chain.iter().any(|link| link.voter == voter) {
                continue;
            }
            let last = chain.last()?.voter;
            let is_ready = state.committed + MAX_JOIN_LAG_ENTRIES >= newest_committed
                && !self.are_disconnected(last, voter);
            let link = ChainLink { voter, since_view: self.next.number };
            if is_ready {
                chain.push(link);
            } else {
                not_ready.push(link);
            }
        }
        let required_length = self.next.required_chain_length(self.input.tolerance.machines);
        self.drop_shutting_down(&mut chain, required_length);
        let missing = required_length.saturating_sub(chain.len());
        chain.extend(not_ready.into_iter().take(missing));
        self.next.chain = chain;
        Some(())
    }

    /// Adds the chain of the prepared view to the former chains.
    fn record_former_chain(&mut self, prepared: &View) {
        self.next.former_chains.push(prepared.chain.clone());
    }

    /// A member of a former chain whose log contains all committed entries, for use when no member of the
    /// current chain has a complete log. Drops the chains after that former chain.
    ///
    /// Nothing was or will be committed in a view with a member that has promised without a complete log: a
    /// commit requires complete logs of all members, and after the promise this member cannot complete its
    /// log in that view. Then the chain before it is considered, and so on.
    fn former_leader(&mut self, voters: &[Voter]) -> Option<ChainLink> {
        while let Some(chain) = self.next.former_chains.last() {
            let promised: Vec<(&ChainLink, u64)> = chain
                .iter()
                .filter_map(|link| Some((link, self.promised_complete_view(link.voter)?)))
                .collect();
            let may_lead = |(link, complete_view): &&(&ChainLink, u64)| {
                let has_complete_log =
                    *complete_view >= link.since_view || !self.input.requires_complete_leader;
                has_complete_log && voters.contains(&link.voter)
            };
            if let Some((link, complete_view)) = promised.iter().find(may_lead) {
                return Some(ChainLink {
                    voter: link.voter,
                    since_view: link.since_view.min(*complete_view),
                });
            }
            if promised.iter().all(|(link, complete_view)| *complete_view >= link.since_view) {
                return None;
            }
            self.next.former_chains.pop();
        }
        None
    }

    /// The most advanced voter that has promised, if an operator forces the reconfiguration.
    fn forced_leader(&self, voters: &[Voter]) -> Option<ChainLink> {
        let may_lead = |(voter, state): &(&Voter, &VoterState)| {
            self.input.forces_leader
                && voters.contains(voter)
                && state.has_promised
                && state.complete_view > 0
        };
        let eligible = self.present.iter().filter(may_lead);
        let (voter, state) = eligible.max_by_key(|(_, state)| (state.complete_view, state.committed))?;
        Some(ChainLink { voter: *voter, since_view: state.complete_view })
    }

    /// The last view in which a voter's log was complete, as reported with its promise.
    fn promised_complete_view(&self, voter: Voter) -> Option<u64> {
        let state = self.present.get(&voter).filter(|state| state.has_promised)?;
        Some(state.complete_view)
    }

    /// Drops the former chains before the newest one whose members all have complete logs, and those beyond
    /// the maximum.
    fn trim_former_chains(&mut self) {
        let has_complete_log = |link: &ChainLink| {
            self.promised_complete_view(link.voter).is_some_and(|complete| complete >= link.since_view)
        };
        let first_needed =
            self.next.former_chains.iter().rposition(|chain| chain.iter().all(has_complete_log));
        let excess = self.next.former_chains.len().saturating_sub(MAX_FORMER_CHAINS);
        self.next.former_chains.drain(..first_needed.unwrap_or(0).max(excess));
    }

    /// Whether two voters do not receive heartbeats from each other.
    fn are_disconnected(&self, first: Voter, second: Voter) -> bool {
        let (first, second) = (self.next.endpoint(first), self.next.endpoint(second));
        let (Some(first), Some(second)) = (first, second) else { return true };
        self.input.disconnected.contains(&(first, second))
            || self.input.disconnected.contains(&(second, first))
    }

    /// Voters outside the chain that can join it, the most advanced first.
    fn joiners(&self, prepared: &View, voters: &[Voter]) -> Vec<(Voter, VoterState)> {
        let is_outside =
            |voter: &Voter| prepared.chain_position(*voter).is_none() && !self.is_shutting_down(*voter);
        let outside = voters.iter().copied().filter(is_outside);
        let mut joiners: Vec<(Voter, VoterState)> =
            outside.filter_map(|voter| self.present.get(&voter).map(|state| (voter, *state))).collect();
        joiners.sort_by_key(|(_, state)| std::cmp::Reverse(state.committed));
        joiners
    }

    /// Drops members that are shutting down if enough others remain, including one with a complete log.
    fn drop_shutting_down(&self, chain: &mut Vec<ChainLink>, required_length: usize) {
        let remaining: Vec<ChainLink> =
            chain.iter().filter(|link| !self.is_shutting_down(link.voter)).copied().collect();
        if remaining.len() >= required_length && remaining.iter().any(|link| self.is_complete(link)) {
            *chain = remaining;
        }
    }
}
