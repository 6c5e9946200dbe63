//! Planning of the next view from the known states of the replicas, as a pure function without clock or
//! messages.

mod chain;
mod voters;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use whinspindle_consensus::Voter;

use crate::message::Report;
use crate::placement::{FailureDomain, Tolerance};
use crate::view::{ChainLink, View};

/// A replica that lacks at most this many entries can join the chain immediately.
const MAX_JOIN_LAG_ENTRIES: u64 = 64;

/// The reported state of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterState {
    /// The last view in which its log was durably complete.
    pub complete_view: u64,
    /// The last committed entry in its log.
    pub committed: u64,
    /// Whether the voter is in graceful shutdown.
    pub is_shutting_down: bool,
    /// Whether the state was reported with a promise. The voter is then fenced from the prepared view and
    /// all earlier views.
    pub has_promised: bool,
}

impl VoterState {
    /// Creates a state that was reported with a promise.
    pub fn promised(report: Report, is_shutting_down: bool) -> VoterState {
        let Report { complete_view, committed } = report;
        VoterState { complete_view, committed, is_shutting_down, has_promised: true }
    }

    /// Creates a state that was reported without a promise.
    pub fn reported(report: Report, is_shutting_down: bool) -> VoterState {
        VoterState { has_promised: false, ..VoterState::promised(report, is_shutting_down) }
    }
}

/// A replica that can become a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The endpoint of the replica.
    pub endpoint: SocketAddr,
    /// Identifies the durable state of the replica.
    pub incarnation: u64,
    /// The zone and region of the replica.
    pub failure_domain: FailureDomain,
    /// The state of the replica.
    pub state: VoterState,
}

/// The input of planning: the protocol rules and the known states of the replicas.
#[derive(Clone, Debug, Default)]
pub struct PlanningInput {
    /// The losses that the voters should tolerate.
    pub tolerance: Tolerance,
    /// Protocol rule: old and new voters decide jointly until a new voter has a complete log.
    pub replaces_voters_jointly: bool,
    /// Protocol rule: a member of a former chain becomes leader only if its log contains all committed
    /// entries.
    pub requires_complete_leader: bool,
    /// Whether an operator forces the most advanced present voter to become leader if none is known to have a
    /// complete log.
    pub forces_leader: bool,
    /// The voters that take part. Only these can be in the next chain.
    pub present: BTreeMap<Voter, VoterState>,
    /// The voters that may be replaced.
    pub lost: BTreeSet<Voter>,
    /// Replicas that can become voters.
    pub candidates: Vec<Candidate>,
    /// Whether all candidates have been connected long enough that no further candidates are expected soon.
    pub has_settled_candidates: bool,
    /// Pairs of endpoints that do not receive heartbeats from each other.
    pub disconnected: BTreeSet<(SocketAddr, SocketAddr)>,
    /// The failure domains reported in heartbeats.
    pub failure_domains: BTreeMap<SocketAddr, FailureDomain>,
}

/// Plans the next view; `None` if too few voters take part for a chain that accepts writes.
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
    plan.next.accepts_writes(input.tolerance.machines).then_some(plan.next)
}

/// The state of planning.
struct Plan<'a> {
    /// The next view as planned so far.
    next: View,
    /// The voters that take part, including those admitted by this plan.
    present: BTreeMap<Voter, VoterState>,
    /// The input of planning.
    input: &'a PlanningInput,
}

impl Plan<'_> {
    /// Removes members that are no longer voters.
    fn remove_former_members(&mut self) {
        let voters = self.next.voters();
        self.next.members.retain(|member| voters.contains(&member.voter));
    }

    /// Updates the failure domains of the members from the heartbeats.
    fn update_failure_domains(&mut self) {
        for member in &mut self.next.members {
            if let Some(domain) = self.input.failure_domains.get(&member.endpoint) {
                member.zone.clone_from(&domain.zone);
                member.region.clone_from(&domain.region);
            }
        }
    }

    /// Whether the log of a chain member contains all committed entries.
    fn is_complete(&self, link: &ChainLink) -> bool {
        self.present.get(&link.voter).is_some_and(|state| state.complete_view >= link.since_view)
    }

    /// Whether a voter is shutting down.
    fn is_shutting_down(&self, voter: Voter) -> bool {
        self.present.get(&voter).is_some_and(|state| state.is_shutting_down)
    }
}
