//! The states of the other replicas as known to this one, as input for planning.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use whinspindle_consensus::Voter;

use super::Replica;
use crate::application::Application;
use crate::peers::Peer;
use crate::placement::{FailureDomain, LossKind, fatal_losses};
use crate::planning::{Candidate, PlanningInput, VoterState};
use crate::protocol_rules::ProtocolRules;
use crate::view::{Member, View};

/// A peer may join the voters or the chain after its heartbeats have arrived without interruption for this
/// long.
pub(super) const STEADY_CONTACT_MS: u64 = 500;
/// After a candidate has been connected for this long, replicas started at the same time are expected to be
/// candidates too.
const SETTLED_CONTACT_MS: u64 = 3_000;

impl<A: Application, Rules: ProtocolRules> Replica<A, Rules> {
    /// The planning input according to the heartbeats, as if all healthy voters had promised. It is used to
    /// decide whether to make a proposal.
    pub(super) fn expected_planning_input(&self, now: u64, own_voter: Voter) -> PlanningInput {
        let view = self.view();
        let present = view.voters().into_iter().filter_map(|voter| {
            let state = self.expected_state(now, own_voter, voter)?;
            Some((voter, state))
        });
        self.planning_input(now, view, present.collect())
    }

    /// The state that a voter would report with a promise; `None` if it is not expected to promise.
    fn expected_state(&self, now: u64, own_voter: Voter, voter: Voter) -> Option<VoterState> {
        if voter == own_voter {
            return Some(VoterState::promised(self.report(), self.is_shutting_down));
        }
        let view = self.view();
        let member = view.member(voter)?;
        let heartbeat = self.peers.get(member.endpoint).map(|peer| &peer.heartbeat);
        if self.peers.has_new_incarnation(member) || heartbeat.is_some_and(|heartbeat| heartbeat.is_stalled) {
            return None;
        }
        let Some(link) = view.chain_link(voter) else {
            let heartbeat = self.peers.healthy_heartbeat(now, view, voter)?;
            let is_steady = self.peers.get(member.endpoint)?.steady_since + STEADY_CONTACT_MS <= now;
            return is_steady.then(|| VoterState::promised(heartbeat.report, heartbeat.is_shutting_down));
        };
        let is_neighbour =
            view.predecessor(voter) == Some(own_voter) || view.successor(voter) == Some(own_voter);
        let is_live_elsewhere = !is_neighbour && self.peers.is_live_at_connected_peer(now, member.endpoint);
        let is_suspected = self.peers.is_suspected(now, member.endpoint) && !is_live_elsewhere;
        if is_suspected || self.is_acknowledgement_overdue(now, voter) {
            return None;
        }
        let state_without_heartbeat = VoterState {
            complete_view: link.since_view,
            committed: 0,
            is_shutting_down: false,
            has_promised: true,
        };
        Some(heartbeat.map_or(state_without_heartbeat, |heartbeat| {
            VoterState::promised(heartbeat.report, heartbeat.is_shutting_down)
        }))
    }

    /// Builds the planning input, given the voters that take part.
    pub(super) fn planning_input(
        &self,
        now: u64,
        view: &View,
        present: BTreeMap<Voter, VoterState>,
    ) -> PlanningInput {
        let lost = view.voters().into_iter().filter(|voter| !present.contains_key(voter));
        let lost = lost.filter(|voter| self.is_lost(now, view, *voter)).collect();
        PlanningInput {
            tolerance: self.settings.tolerance,
            replaces_voters_jointly: Rules::replaces_voters_jointly(),
            requires_complete_leader: Rules::requires_complete_leader(),
            forces_leader: self.is_forced(),
            present,
            lost,
            candidates: self.candidates(now, view),
            has_settled_candidates: self.has_settled_candidates(now, view),
            disconnected: self.disconnected_pairs(now, view),
            failure_domains: self.failure_domains(view),
        }
    }

    /// The failure domains of the members of a view, according to their heartbeats.
    fn failure_domains(&self, view: &View) -> BTreeMap<SocketAddr, FailureDomain> {
        let received = |member: &Member| {
            let heartbeat = &self.peers.get(member.endpoint)?.heartbeat;
            Some((member.endpoint, heartbeat.failure_domain()))
        };
        let mut failure_domains: BTreeMap<SocketAddr, FailureDomain> =
            view.members.iter().filter_map(received).collect();
        let own = FailureDomain { zone: self.settings.zone.clone(), region: self.settings.region.clone() };
        failure_domains.insert(self.settings.endpoint, own);
        failure_domains
    }

    /// The kinds of losses that should be tolerated but would leave no majority of the voters. Empty if a
    /// failure domain is not known.
    pub fn fatal_losses(&self) -> Vec<LossKind> {
        let view = self.view();
        let received = self.failure_domains(view);
        let domain = |voter: Voter| {
            let member = view.member(voter)?;
            Some(received.get(&member.endpoint).cloned().unwrap_or_else(|| member.failure_domain()))
        };
        let voters = view.voter_sets.last().map(Vec::as_slice).unwrap_or_default();
        let failure_domains: Vec<FailureDomain> = voters.iter().filter_map(|voter| domain(*voter)).collect();
        let are_known = !failure_domains.is_empty() && failure_domains.iter().all(FailureDomain::is_known);
        let failure_domains: Vec<&FailureDomain> = failure_domains.iter().collect();
        if are_known { fatal_losses(&failure_domains, self.settings.tolerance) } else { Vec::new() }
    }

    /// Whether a voter may be replaced, because its durable state is lost or no replica has received its
    /// heartbeats for the replacement time-out.
    fn is_lost(&self, now: u64, view: &View, voter: Voter) -> bool {
        let Some(member) = view.member(voter) else { return false };
        let is_silent =
            self.peers.silence_ms(now, member.endpoint) > self.settings.timing.replacement_timeout_ms;
        let is_lost = is_silent && !self.peers.is_live_at_connected_peer(now, member.endpoint);
        let is_lost =
            is_lost || self.declared_lost.contains(&voter) || self.peers.has_new_incarnation(member);
        member.endpoint != self.settings.endpoint && is_lost
    }

    /// Whether the heartbeats of all replicas that are not voters have arrived for at least
    /// [`SETTLED_CONTACT_MS`].
    fn has_settled_candidates(&self, now: u64, view: &View) -> bool {
        let is_settled = |(endpoint, peer): (&SocketAddr, &Peer)| {
            peer.steady_since + SETTLED_CONTACT_MS <= now
                || view.has_member(*endpoint, peer.heartbeat.incarnation)
        };
        self.peers.iter().all(is_settled)
    }

    /// The healthy replicas that are not voters.
    fn candidates(&self, now: u64, view: &View) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (endpoint, peer) in self.peers.iter() {
            let heartbeat = &peer.heartbeat;
            let is_healthy = self.peers.is_connected(now, *endpoint)
                && !heartbeat.is_stalled
                && !heartbeat.is_shutting_down;
            if is_healthy
                && peer.steady_since + STEADY_CONTACT_MS <= now
                && !view.has_member(*endpoint, heartbeat.incarnation)
            {
                candidates.push(Candidate {
                    endpoint: *endpoint,
                    incarnation: heartbeat.incarnation,
                    failure_domain: heartbeat.failure_domain(),
                    state: VoterState::reported(heartbeat.report, false),
                });
            }
        }
        candidates
    }

    /// Pairs of endpoints that do not receive heartbeats from each other.
    fn disconnected_pairs(&self, now: u64, view: &View) -> BTreeSet<(SocketAddr, SocketAddr)> {
        let members = view.members.iter().map(|member| member.endpoint);
        let received = self.peers.iter().map(|(endpoint, _)| *endpoint);
        let endpoints: Vec<SocketAddr> = members.chain(received).collect();
        let mut disconnected = BTreeSet::new();
        for (index, first) in endpoints.iter().enumerate() {
            for second in &endpoints[index + 1..] {
                if first != second && !self.are_connected(now, *first, *second) {
                    disconnected.insert((*first, *second));
                }
            }
        }
        disconnected
    }

    /// Whether two replicas receive heartbeats from each other.
    fn are_connected(&self, now: u64, first: SocketAddr, second: SocketAddr) -> bool {
        let own_endpoint = self.settings.endpoint;
        match (first == own_endpoint, second == own_endpoint) {
            (true, _) => self.peers.is_connected(now, second),
            (_, true) => self.peers.is_connected(now, first),
            _ => self.peers.are_mutually_connected(first, second),
        }
    }
}
