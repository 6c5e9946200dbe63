//! The proposer of views: drives one [`Round`] of the register through both phases.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use whinspindle_consensus::{Ballot, Round, Voter};

use super::Replica;
use super::replica_survey::STEADY_CONTACT;
use crate::application::Application;
use crate::durable::Decided;
use crate::message::{Message, Report};
use crate::planning::{VoterState, next_view};
use crate::protocol_rules::ProtocolRules;
use crate::view::View;
use crate::view_change_state::Proposal;

/// The epoch of all ballots: a system is bootstrapped once.
const EPOCH: u64 = 1;
/// Delay between the first proposals of one voter and the next in rank, in milliseconds.
pub(super) const RANK_DELAY: u64 = 150;
/// How long further promises are waited for once a majority has promised, in milliseconds.
const PROMISE_GRACE: u64 = 150;

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    /// Begins a proposal of the next view with a new ballot.
    pub(super) fn propose(&mut self, now: u64) {
        let Some(me) = self.me() else { return };
        self.view_change.highest_round += 1;
        let round = self.view_change.highest_round;
        let ballot = Ballot { epoch: EPOCH, round, member: me.member, start_id: self.settings.start_id };
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
            majority_at: None,
        });
        self.send_prepares();
    }

    /// Phase 1: asks for the promises that are missing.
    fn send_prepares(&mut self) {
        let Some(proposal) = &self.view_change.proposal else { return };
        let ballot = proposal.round.ballot;
        let known_view = self.view().number;
        for voter in proposal.round.awaiting_promise::<L::Consensus>() {
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

    /// The endpoint of a voter, also of one that is known only from what others have accepted.
    fn endpoint_of(&self, voter: Voter) -> Option<SocketAddr> {
        let learned =
            self.view_change.proposal.as_ref().and_then(|proposal| proposal.endpoints.get(&voter).copied());
        self.view().endpoint(voter).or(learned)
    }

    /// Sends requests again, and abandons a proposal that takes too long.
    pub(super) fn continue_proposal(&mut self, now: u64) {
        let timing = self.settings.timing;
        let limit = self.view_change.with_backoff(timing.round_timeout_ms);
        let Some(proposal) = &mut self.view_change.proposal else { return };
        if now >= proposal.started_at + limit {
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

    /// Ends the proposal; the next one waits, with backoff and jitter.
    fn abandon_proposal(&mut self, now: u64) {
        self.view_change.proposal = None;
        let wait = self.view_change.with_backoff(RANK_DELAY);
        self.view_change.not_before = now + wait + self.jitter.below(2 * wait);
        self.view_change.failed_rounds += 1;
    }

    /// Begins phase 2 once enough voters have promised, and the others have had time to.
    fn propose_next_view(&mut self, now: u64) {
        let Some(proposal) = &mut self.view_change.proposal else { return };
        if proposal.round.is_proposing() {
            return;
        }
        let Some(prepared) = proposal.round.prepared_value::<L::Consensus>().cloned() else { return };
        let majority_at = *proposal.majority_at.get_or_insert(now);
        let reports = proposal.reports.clone();
        let is_awaited =
            |voter: Voter| !reports.contains_key(&voter) && self.is_awaited(now, &prepared, voter);
        if now < majority_at + PROMISE_GRACE && prepared.voters().into_iter().any(is_awaited) {
            return;
        }
        let Some(next) = self.plan_from_promises(now, &prepared, &reports) else { return };
        let Some(proposal) = &mut self.view_change.proposal else { return };
        proposal.round.propose::<L::Consensus>(next);
        proposal.requested_at = now;
        self.send_accepts();
    }

    /// The next view by the promises. A successor that does not acknowledge in time is left out, unless there is no view
    /// without it: it has promised, so that its disk works again, and a chain that is fenced asks it nothing more.
    fn plan_from_promises(
        &self,
        now: u64,
        prepared: &View,
        reports: &BTreeMap<Voter, Report>,
    ) -> Option<View> {
        let plan = |leaves_out: &dyn Fn(Voter) -> bool| {
            let promised = reports.iter().filter(|(voter, _)| !leaves_out(**voter));
            let state =
                |(voter, report): (&Voter, &Report)| (*voter, self.promised_state(prepared, *voter, *report));
            let mut present: BTreeMap<Voter, VoterState> = promised.map(state).collect();
            present.extend(self.joiners_without_promise(now, prepared, reports));
            next_view(prepared, &self.planning_input(now, prepared, present))
        };
        plan(&|voter| self.is_acknowledgement_overdue(now, voter)).or_else(|| plan(&|_| false))
    }

    /// Whether a voter that has not promised yet is worth waiting for.
    fn is_awaited(&self, now: u64, prepared: &View, voter: Voter) -> bool {
        self.peers.healthy_heartbeat(now, prepared, voter).is_some()
    }

    /// Voters outside of the chain that are healthy but have not promised yet, as their disks are slow.
    ///
    /// Their logs do not matter: in the chain they are brought up to date before they count. Without them the proposal
    /// would end in the view that it began with, and so would the next one.
    fn joiners_without_promise(
        &self,
        now: u64,
        prepared: &View,
        reports: &BTreeMap<Voter, Report>,
    ) -> Vec<(Voter, VoterState)> {
        let is_silent =
            |voter: &Voter| prepared.chain_position(*voter).is_none() && !reports.contains_key(voter);
        let me = self.me();
        let state = |voter: Voter| {
            if me == Some(voter) {
                return Some((voter, VoterState::reported(self.report(), self.is_shutting_down)));
            }
            let heartbeat = self.peers.healthy_heartbeat(now, prepared, voter)?;
            let endpoint = prepared.endpoint(voter)?;
            let is_steady = self.peers.get(endpoint)?.steady_since + STEADY_CONTACT <= now;
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
        let since = prepared.chain_link(voter).map_or(0, |link| link.since_view);
        let complete = L::complete_view(report.complete, since);
        VoterState::promised(Report { complete, ..report }, is_shutting_down)
    }

    /// A voter has promised.
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
        let awaited_before = proposal.round.awaiting_promise::<L::Consensus>().len();
        let members = accepted.iter().flat_map(|(_, view)| &view.members);
        proposal.endpoints.extend(members.map(|member| (member.voter, member.endpoint)));
        proposal.round.record_promise(voter, accepted);
        proposal.reports.insert(voter, report);
        let has_grown = proposal.round.awaiting_promise::<L::Consensus>().len() >= awaited_before;
        if has_grown {
            self.send_prepares();
        }
        self.propose_next_view(now);
    }

    /// The durable state of a voter is lost for good.
    pub(super) fn on_voter_lost(&mut self, now: u64, voter: Voter, ballot: Ballot) {
        let Some(proposal) = &mut self.view_change.proposal else { return };
        if proposal.round.ballot != ballot || proposal.round.is_proposing() {
            return;
        }
        proposal.round.record_lost(voter);
        self.propose_next_view(now);
    }

    /// A voter has accepted; the view is decided once majorities have.
    pub(super) fn on_accepted(&mut self, now: u64, voter: Voter, ballot: Ballot) {
        let Some(proposal) = &mut self.view_change.proposal else { return };
        if proposal.round.ballot != ballot {
            return;
        }
        let Some(view) = proposal.round.record_vote::<L::Consensus>(voter).cloned() else { return };
        let decided = Decided { ballot, view };
        for member in &decided.view.members.clone() {
            self.send(member.endpoint, Message::Decided(decided.clone()));
        }
        self.adopt(now, decided);
    }

    /// A voter has promised a higher ballot.
    pub(super) fn on_rejected(&mut self, now: u64, ballot: Ballot, promised: Ballot) {
        self.view_change.highest_round = self.view_change.highest_round.max(promised.round);
        let is_own =
            self.view_change.proposal.as_ref().is_some_and(|proposal| proposal.round.ballot == ballot);
        if is_own {
            self.abandon_proposal(now);
        }
    }
}
