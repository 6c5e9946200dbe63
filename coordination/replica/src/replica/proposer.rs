//! The proposer of views, which drives one consensus [`Round`] through both phases.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use whinspindle_consensus::{Ballot, Round, Voter};

use super::Replica;
use super::replica_survey::STEADY_CONTACT_MS;
use crate::application::Application;
use crate::durable::Decided;
use crate::message::{Message, Report};
use crate::planning::{VoterState, next_view};
use crate::protocol_rules::ProtocolRules;
use crate::view::View;
use crate::view_change_state::Proposal;

/// The epoch of all ballots. It is constant because a system is bootstrapped only once.
const EPOCH: u64 = 1;
/// The additional delay of a proposal for each rank of the voter.
pub(super) const RANK_DELAY_MS: u64 = 150;
/// How long to wait for further promises once a quorum has promised.
const PROMISE_GRACE_MS: u64 = 150;

impl<A: Application, Rules: ProtocolRules> Replica<A, Rules> {
    /// Starts a proposal of the next view with a new ballot.
    pub(super) fn propose(&mut self, now: u64) {
        let Some(own_voter) = self.own_voter() else { return };
        self.view_change.highest_round += 1;
        let round = self.view_change.highest_round;
        let ballot =
            Ballot { epoch: EPOCH, round, member: own_voter.member, start_id: self.settings.start_id };
        let mut round = Round::new(ballot, self.view().clone());
        self.declared_lost.iter().for_each(|voter| round.record_lost(*voter));
        if self.is_forced() {
            round.force();
        }
        self.view_change.proposal = Some(Proposal {
            round,
            reports: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            started_at: now,
            requested_at: now,
            quorum_at: None,
        });
        self.send_prepares();
    }

    /// Phase 1: requests the missing promises.
    fn send_prepares(&mut self) {
        let Some(proposal) = &self.view_change.proposal else { return };
        let ballot = proposal.round.ballot;
        let known_view = self.view().number;
        for voter in proposal.round.awaiting_promise::<Rules::Consensus>() {
            if let Some(to) = self.endpoint_of(voter) {
                self.send(to, Message::Prepare { voter, ballot, known_view });
            }
        }
    }

    /// Phase 2: sends the proposed view to the voters that have not accepted it.
    fn send_accepts(&mut self) {
        let Some(proposal) = &self.view_change.proposal else { return };
        let ballot = proposal.round.ballot;
        let Some((view, voters)) = proposal.round.awaiting_vote() else { return };
        let view = view.clone();
        for voter in voters {
            if let Some(to) = view.endpoint(voter).or_else(|| self.endpoint_of(voter)) {
                self.send(to, Message::Accept { voter, ballot, view: view.clone() });
            }
        }
    }

    /// The endpoint of a voter, which may be known only from views accepted by other voters.
    fn endpoint_of(&self, voter: Voter) -> Option<SocketAddr> {
        let learned_endpoint =
            self.view_change.proposal.as_ref().and_then(|proposal| proposal.endpoints.get(&voter).copied());
        self.view().endpoint(voter).or(learned_endpoint)
    }

    /// Continues a proposal: resends requests, and abandons the proposal if it takes too long.
    pub(super) fn continue_proposal(&mut self, now: u64) {
        let timing = self.settings.timing;
        let timeout_ms = self.view_change.with_backoff(timing.round_timeout_ms);
        let Some(proposal) = &mut self.view_change.proposal else { return };
        if now >= proposal.started_at + timeout_ms {
            self.abandon_proposal(now);
            return;
        }
        if now >= proposal.requested_at + timing.resend_interval_ms / 2 {
            proposal.requested_at = now;
            if proposal.round.is_proposing() {
                self.send_accepts();
            } else {
                self.send_prepares();
            }
        }
        self.propose_next_view(now);
    }

    /// Abandons the proposal, and delays the next one with backoff and jitter.
    fn abandon_proposal(&mut self, now: u64) {
        self.view_change.proposal = None;
        let delay_ms = self.view_change.with_backoff(RANK_DELAY_MS);
        self.view_change.not_before = now + delay_ms + self.jitter.below(2 * delay_ms);
        self.view_change.failed_proposals += 1;
    }

    /// Begins phase 2 once a quorum has promised and the other voters have had time to promise.
    fn propose_next_view(&mut self, now: u64) {
        let Some(proposal) = &mut self.view_change.proposal else { return };
        if proposal.round.is_proposing() {
            return;
        }
        let Some(prepared) = proposal.round.prepared_value::<Rules::Consensus>().cloned() else { return };
        let quorum_at = *proposal.quorum_at.get_or_insert(now);
        let reports = proposal.reports.clone();
        let is_awaited =
            |voter: Voter| !reports.contains_key(&voter) && self.is_awaited(now, &prepared, voter);
        if now < quorum_at + PROMISE_GRACE_MS && prepared.voters().into_iter().any(is_awaited) {
            return;
        }
        let Some(next) = self.plan_from_promises(now, &prepared, &reports) else { return };
        let Some(proposal) = &mut self.view_change.proposal else { return };
        proposal.round.propose::<Rules::Consensus>(next);
        proposal.requested_at = now;
        self.send_accepts();
    }

    /// Plans the next view from the promises. Excludes a successor whose acknowledgement is overdue, unless
    /// no view is possible without it. Including it is possible because it has promised, so its disk works
    /// again, and because the fenced chain sends it no further requests.
    fn plan_from_promises(
        &self,
        now: u64,
        prepared: &View,
        reports: &BTreeMap<Voter, Report>,
    ) -> Option<View> {
        let plan = |is_excluded: &dyn Fn(Voter) -> bool| {
            let promised = reports.iter().filter(|(voter, _)| !is_excluded(**voter));
            let state =
                |(voter, report): (&Voter, &Report)| (*voter, self.promised_state(prepared, *voter, *report));
            let mut present: BTreeMap<Voter, VoterState> = promised.map(state).collect();
            present.extend(self.joiners_without_promise(now, prepared, reports));
            next_view(prepared, &self.planning_input(now, prepared, present))
        };
        plan(&|voter| self.is_acknowledgement_overdue(now, voter)).or_else(|| plan(&|_| false))
    }

    /// Whether to wait for the promise of a voter, because it is healthy.
    fn is_awaited(&self, now: u64, prepared: &View, voter: Voter) -> bool {
        self.peers.healthy_heartbeat(now, prepared, voter).is_some()
    }

    /// Healthy voters outside the chain that have not promised yet because their disks are slow.
    ///
    /// Their logs do not matter, because members that join the chain receive a state transfer before they
    /// count. Without them, this proposal and the next one would result in an unchanged view.
    fn joiners_without_promise(
        &self,
        now: u64,
        prepared: &View,
        reports: &BTreeMap<Voter, Report>,
    ) -> Vec<(Voter, VoterState)> {
        let is_silent =
            |voter: &Voter| prepared.chain_position(*voter).is_none() && !reports.contains_key(voter);
        let own_voter = self.own_voter();
        let state = |voter: Voter| {
            if own_voter == Some(voter) {
                return Some((voter, VoterState::reported(self.report(), self.is_shutting_down)));
            }
            let heartbeat = self.peers.healthy_heartbeat(now, prepared, voter)?;
            let endpoint = prepared.endpoint(voter)?;
            let is_steady = self.peers.get(endpoint)?.steady_since + STEADY_CONTACT_MS <= now;
            is_steady.then(|| (voter, VoterState::reported(heartbeat.report, heartbeat.is_shutting_down)))
        };
        prepared.voters().into_iter().filter(is_silent).filter_map(state).collect()
    }

    /// The state of a voter that has promised.
    fn promised_state(&self, prepared: &View, voter: Voter, report: Report) -> VoterState {
        let endpoint = self.view().endpoint(voter);
        let heartbeat = endpoint.and_then(|endpoint| self.peers.get(endpoint)).map(|peer| &peer.heartbeat);
        let is_own = endpoint == Some(self.settings.endpoint);
        let is_shutting_down =
            if is_own { self.is_shutting_down } else { heartbeat.is_some_and(|peer| peer.is_shutting_down) };
        let since_view = prepared.chain_link(voter).map_or(0, |link| link.since_view);
        let complete_view = Rules::complete_view(report.complete_view, since_view);
        VoterState::promised(Report { complete_view, ..report }, is_shutting_down)
    }

    /// Handles a promise.
    pub(super) fn on_promise(
        &mut self,
        now: u64,
        voter: Voter,
        ballot: Ballot,
        accepted: Option<(Ballot, View)>,
        report: Report,
    ) {
        let Some(proposal) = &mut self.view_change.proposal else { return };
        if proposal.round.ballot != ballot || proposal.round.is_proposing() {
            return;
        }
        let awaited_before = proposal.round.awaiting_promise::<Rules::Consensus>().len();
        let members = accepted.iter().flat_map(|(_, view)| &view.members);
        proposal.endpoints.extend(members.map(|member| (member.voter, member.endpoint)));
        proposal.round.record_promise(voter, accepted);
        proposal.reports.insert(voter, report);
        let has_no_progress = proposal.round.awaiting_promise::<Rules::Consensus>().len() >= awaited_before;
        if has_no_progress {
            self.send_prepares();
        }
        self.propose_next_view(now);
    }

    /// Handles a report that the durable state of a voter is permanently lost.
    pub(super) fn on_voter_lost(&mut self, now: u64, voter: Voter, ballot: Ballot) {
        let Some(proposal) = &mut self.view_change.proposal else { return };
        if proposal.round.ballot != ballot || proposal.round.is_proposing() {
            return;
        }
        proposal.round.record_lost(voter);
        self.propose_next_view(now);
    }

    /// Handles an acceptance. The view is decided once a quorum of each voter set has accepted it.
    pub(super) fn on_accepted(&mut self, now: u64, voter: Voter, ballot: Ballot) {
        let Some(proposal) = &mut self.view_change.proposal else { return };
        if proposal.round.ballot != ballot {
            return;
        }
        let Some(view) = proposal.round.record_vote::<Rules::Consensus>(voter).cloned() else { return };
        let decided = Decided { ballot, view };
        for member in &decided.view.members.clone() {
            self.send(member.endpoint, Message::Decided(decided.clone()));
        }
        self.adopt(now, decided);
    }

    /// Handles a rejection by a voter that has promised a higher ballot.
    pub(super) fn on_rejected(&mut self, now: u64, ballot: Ballot, promised: Ballot) {
        self.view_change.highest_round = self.view_change.highest_round.max(promised.round);
        let is_own =
            self.view_change.proposal.as_ref().is_some_and(|proposal| proposal.round.ballot == ballot);
        if is_own {
            self.abandon_proposal(now);
        }
    }
}
