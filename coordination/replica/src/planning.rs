//! Planning of the next view from what is known of the replicas: a pure function without time or messages.

mod chain;
mod voters;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use whinspindle_consensus::Voter;

use crate::message::Report;
use crate::placement::{FailureDomain, Tolerance};
use crate::view::{ChainLink, View};

/// A joiner that lacks no more entries than this joins the chain at once.
const SMALL_LAG: u64 = 64;

/// The state of a voter that takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterState {
    /// The last view in which its log was durably complete.
    pub complete: u64,
    /// Its last committed entry.
    pub committed: u64,
    /// It is in graceful shutdown.
    pub is_shutting_down: bool,
    /// It was reported with a promise: the voter is fenced off from the prepared view and all before it.
    pub has_promised: bool,
}

impl VoterState {
    /// A state that was reported with a promise.
    pub fn promised(report: Report, is_shutting_down: bool) -> VoterState {
        let Report { complete, committed } = report;
        VoterState { complete, committed, is_shutting_down, has_promised: true }
    }

    /// A state that was reported without a promise.
    pub fn reported(report: Report, is_shutting_down: bool) -> VoterState {
        VoterState { has_promised: false, ..VoterState::promised(report, is_shutting_down) }
    }
}

/// A replica that can become a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Where it is reached.
    pub endpoint: SocketAddr,
    /// Identifies its durable state.
    pub incarnation: u64,
    /// Its zone and region.
    pub failure_domain: FailureDomain,
    /// How far its log is.
    pub state: VoterState,
}

/// What is known of the replicas.
#[derive(Clone, Debug, Default)]
pub struct PlanningInput {
    /// The losses that the voters should bear.
    pub tolerance: Tolerance,
    /// Protocol rule: old and new voters decide together until the new ones have begun.
    pub replaces_voters_jointly: bool,
    /// Protocol rule: a member of a former chain leads only if it holds all that was committed.
    pub requires_complete_leader: bool,
    /// An operator answers for it that the most advanced of those that take part leads, if none is known to hold all.
    pub forces_leader: bool,
    /// The voters that take part; others are not in the next chain.
    pub present: BTreeMap<Voter, VoterState>,
    /// The voters that may be replaced.
    pub lost: BTreeSet<Voter>,
    /// Replicas that can become voters.
    pub candidates: Vec<Candidate>,
    /// All candidates have been there for a while: no more of them are expected soon.
    pub has_settled_candidates: bool,
    /// Pairs of endpoints that do not receive heartbeats from each other.
    pub disconnected: BTreeSet<(SocketAddr, SocketAddr)>,
    /// The zones and regions that heartbeats have reported.
    pub failure_domains: BTreeMap<SocketAddr, FailureDomain>,
}

/// The next view; `None` if too few voters take part for a chain that may take writes.
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

/// The next view while it is planned.
struct Plan<'a> {
    /// The view so far.
    next: View,
    /// Voters that take part, also those that are admitted by this plan.
    present: BTreeMap<Voter, VoterState>,
    /// What is known of the replicas.
    input: &'a PlanningInput,
}

impl Plan<'_> {
    /// Removes members that vote no more.
    fn remove_former_members(&mut self) {
        let voters = self.next.voters();
        self.next.members.retain(|member| voters.contains(&member.voter));
    }

    /// Takes over the zones and regions that heartbeats have reported.
    fn update_failure_domains(&mut self) {
        for member in &mut self.next.members {
            if let Some(domain) = self.input.failure_domains.get(&member.endpoint) {
                member.zone.clone_from(&domain.zone);
                member.region.clone_from(&domain.region);
            }
        }
    }

    /// Whether the log of a chain member holds all that was committed.
    fn is_complete(&self, link: &ChainLink) -> bool {
        self.present.get(&link.voter).is_some_and(|state| state.complete >= link.since_view)
    }

    /// Whether a voter is shutting down.
    fn is_shutting_down(&self, voter: Voter) -> bool {
        self.present.get(&voter).is_some_and(|state| state.is_shutting_down)
    }
}
