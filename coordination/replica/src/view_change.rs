//! View changes: a round of the agreed register, begun by a voter that is in touch with a majority.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use whinspindle_consensus::{Ballot, Round, Voter};

use crate::application::Application;
use crate::disk::AfterDurable;
use crate::durable::{Decided, DurableRecord};
use crate::message::{Message, Report};
use crate::placement::{FailureDomain, LossKind, fatal_losses};
use crate::planning::{Candidate, PlanningInput, VoterState, next_view};
use crate::protocol_rules::ProtocolRules;
use crate::replica::Replica;
use crate::view::{Member, View};

/// All rounds are of one bootstrap.
const EPOCH: u64 = 1;
/// Between the first attempts of one voter and the next in rank, in milliseconds.
const RANK_DELAY: u64 = 150;
/// Delay of a change that nothing waits for.
const PLANNED_DELAY: u64 = 200;
/// Delay after a vote for a newer view that did not come about.
const FENCED_DELAY: u64 = 400;
/// Jitter is below this.
const MAX_JITTER: u64 = 60;
/// How long the promises of others are waited for once a majority has promised.
const PROMISE_GRACE: u64 = 150;
/// A round has at most twice the time of the first so many times over.
const MAX_DOUBLINGS: u32 = 3;
/// A peer is taken in once it was heard without a pause for this long.
const STEADY_CONTACT: u64 = 500;

/// A round that this replica has begun.
#[derive(Clone, Debug)]
struct Proposal {
    round: Round<View>,
    reports: BTreeMap<Voter, Report>,
    /// Where the voters are that are known only by what others have accepted.
    endpoints: BTreeMap<Voter, SocketAddr>,
    started_at: u64,
    asked_at: u64,
    majority_at: Option<u64>,
}

/// What is under way to change the view.
#[derive(Clone, Debug, Default)]
pub struct ViewChange {
    proposal: Option<Proposal>,
    highest_round: u64,
    pending: Option<PendingChange>,
    not_before: u64,
    /// Rounds of this replica that came to nothing since the last change of the view.
    failed_rounds: u32,
}

#[derive(Clone, Copy, Debug)]
struct PendingChange {
    since: u64,
    jitter: u64,
}

impl ViewChange {
    /// A newer view was agreed on: what was under way is void.
    pub fn decided(&mut self, ballot: Ballot) {
        self.highest_round = self.highest_round.max(ballot.round);
        self.proposal = None;
        self.pending = None;
        self.failed_rounds = 0;
    }

    /// A span of a round, or of the wait for the round of another. Where links or disks are slow, later rounds have more
    /// time: each of the same length would fail like the one before, while the chain stands still.
    fn with_backoff(&self, span: u64) -> u64 {
        span << self.failed_rounds.min(MAX_DOUBLINGS)
    }
}

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    pub(crate) fn tick_view_change(&mut self, now: u64) {
        if self.view_change.proposal.is_some() {
            self.continue_proposal(now);
            return;
        }
        let Some(delay) = self.change_delay(now) else {
            self.view_change.pending = None;
            return;
        };
        let jitter = self.jitter.below(MAX_JITTER);
        let pending = *self.view_change.pending.get_or_insert(PendingChange { since: now, jitter });
        if now >= pending.since + delay + pending.jitter && now >= self.view_change.not_before {
            self.propose(now);
        }
    }

    /// How long a change that is wanted has to be waited with; none if no change is wanted.
    fn change_delay(&self, now: u64) -> Option<u64> {
        let me = self.me()?;
        let view = self.view();
        let is_healthy =
            |voter: Voter| voter == me || self.peers.healthy_heartbeat(now, view, voter).is_some();
        if self.is_disk_stalled(now) || !view.has_majority(is_healthy) {
            return None;
        }
        let rank = RANK_DELAY * self.rank(now, me);
        if self.state.is_fenced() {
            return Some(if self.is_fenced_by_own_proposal(me) {
                rank
            } else {
                self.view_change.with_backoff(FENCED_DELAY) + rank
            });
        }
        let next = next_view(view, &self.expected_planning_input(now, me))?;
        if self.is_shutting_down || next.is_alike(view) {
            return None;
        }
        let loses_one = view.chain.iter().any(|link| next.position(link.voter).is_none());
        Some(if loses_one { rank } else { PLANNED_DELAY + rank })
    }

    /// Whether what it has voted for is a round of its own, which nobody else will end.
    fn is_fenced_by_own_proposal(&self, me: Voter) -> bool {
        let promised = self.state.votes.promised;
        promised.member == me.member && promised.start == self.settings.start
    }

    /// How many voters that are well come before this one.
    fn rank(&self, now: u64, me: Voter) -> u64 {
        let view = self.view();
        let chain = view.chain.iter().map(|link| link.voter);
        let others = view.voters().into_iter().filter(|voter| view.position(*voter).is_none());
        let before = chain.chain(others).take_while(|voter| *voter != me);
        before
            .filter(|voter| {
                self.peers.healthy_heartbeat(now, view, *voter).is_some_and(|peer| !peer.is_shutting_down)
            })
            .count() as u64
    }

    /// What the heartbeats tell, for the question whether a change is worth a round: as if all had promised.
    fn expected_planning_input(&self, now: u64, me: Voter) -> PlanningInput {
        let view = self.view();
        let present = view.voters().into_iter().filter_map(|voter| {
            let state = self.expected_state(now, me, voter)?;
            Some((voter, state))
        });
        self.planning_input(now, view, present.collect())
    }

    fn expected_state(&self, now: u64, me: Voter, voter: Voter) -> Option<VoterState> {
        if voter == me {
            return Some(VoterState::promised(self.report(), self.is_shutting_down));
        }
        let view = self.view();
        let member = view.member(voter)?;
        let heartbeat = self.peers.get(member.endpoint).map(|peer| &peer.heartbeat);
        if self.peers.has_new_incarnation(member) || heartbeat.is_some_and(|heartbeat| heartbeat.is_stalled) {
            return None;
        }
        let Some(link) = view.link(voter) else {
            let heartbeat = self.peers.healthy_heartbeat(now, view, voter)?;
            let is_steady = self.peers.get(member.endpoint)?.steady_since + STEADY_CONTACT <= now;
            return is_steady.then(|| VoterState::promised(heartbeat.report, heartbeat.is_shutting_down));
        };
        let is_neighbour = view.predecessor(voter) == Some(me) || view.successor(voter) == Some(me);
        let is_excused = !is_neighbour && self.peers.is_live_at_another(now, member.endpoint);
        let is_suspected = self.peers.is_suspected(now, member.endpoint) && !is_excused;
        if is_suspected || self.is_acknowledgement_overdue(now, voter) {
            return None;
        }
        let awaited_before =
            VoterState { complete: link.since, committed: 0, is_shutting_down: false, has_promised: true };
        Some(heartbeat.map_or(awaited_before, |heartbeat| {
            VoterState::promised(heartbeat.report, heartbeat.is_shutting_down)
        }))
    }

    fn planning_input(&self, now: u64, view: &View, present: BTreeMap<Voter, VoterState>) -> PlanningInput {
        let lost = view.voters().into_iter().filter(|voter| !present.contains_key(voter));
        let lost = lost.filter(|voter| self.is_lost(now, view, *voter)).collect();
        PlanningInput {
            tolerance: self.settings.tolerance,
            replaces_voters_jointly: L::replaces_voters_jointly(),
            requires_complete_leader: L::requires_complete_leader(),
            present,
            lost,
            candidates: self.candidates(now, view),
            disconnected: self.disconnected_pairs(now, view),
            failure_domains: self.failure_domains(view),
        }
    }

    /// Where the members are, as far as they were heard.
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

    /// The kinds of losses that are to be tolerated but would leave no majority of the voters, as far as their failure domains
    /// are known.
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

    /// Whether another may take this voter's seat: its memory is gone, or nobody has heard it for long.
    fn is_lost(&self, now: u64, view: &View, voter: Voter) -> bool {
        let Some(member) = view.member(voter) else { return false };
        let is_silent = self.peers.silent_for(now, member.endpoint) > self.settings.timing.replacement;
        let is_gone = is_silent && !self.peers.is_live_at_another(now, member.endpoint);
        member.endpoint != self.settings.endpoint && (is_gone || self.peers.has_new_incarnation(member))
    }

    /// Replicas that are well and do not vote.
    fn candidates(&self, now: u64, view: &View) -> Vec<Candidate> {
        let votes = |endpoint: SocketAddr, incarnation: u64| {
            view.members
                .iter()
                .any(|member| member.endpoint == endpoint && member.voter.incarnation == incarnation)
        };
        let mut candidates = Vec::new();
        for (endpoint, peer) in self.peers.iter() {
            let heartbeat = &peer.heartbeat;
            let is_healthy = self.peers.is_connected(now, *endpoint)
                && !heartbeat.is_stalled
                && !heartbeat.is_shutting_down;
            if is_healthy
                && peer.steady_since + STEADY_CONTACT <= now
                && !votes(*endpoint, heartbeat.incarnation)
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

    fn disconnected_pairs(&self, now: u64, view: &View) -> BTreeSet<(SocketAddr, SocketAddr)> {
        let members = view.members.iter().map(|member| member.endpoint);
        let received = self.peers.iter().map(|(endpoint, _)| *endpoint);
        let endpoints: Vec<SocketAddr> = members.chain(received).collect();
        let mut disconnected = BTreeSet::new();
        for (index, one) in endpoints.iter().enumerate() {
            for other in &endpoints[index + 1..] {
                if one != other && !self.are_connected(now, *one, *other) {
                    disconnected.insert((*one, *other));
                }
            }
        }
        disconnected
    }

    fn are_connected(&self, now: u64, one: SocketAddr, other: SocketAddr) -> bool {
        let me = self.settings.endpoint;
        match (one == me, other == me) {
            (true, _) => self.peers.is_connected(now, other),
            (_, true) => self.peers.is_connected(now, one),
            _ => self.peers.are_mutually_connected(one, other),
        }
    }

    fn propose(&mut self, now: u64) {
        let Some(me) = self.me() else { return };
        self.view_change.highest_round += 1;
        let round = self.view_change.highest_round;
        let ballot = Ballot { epoch: EPOCH, round, member: me.member, start: self.settings.start };
        let round = Round::new(ballot, self.view().clone());
        self.view_change.proposal = Some(Proposal {
            round,
            reports: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            started_at: now,
            asked_at: now,
            majority_at: None,
        });
        self.send_prepares();
    }

    fn send_prepares(&mut self) {
        let Some(proposal) = &self.view_change.proposal else { return };
        let ballot = proposal.round.ballot;
        let known = self.view().number;
        for voter in proposal.round.awaiting_promise::<L::Consensus>() {
            if let Some(to) = self.endpoint_of(voter) {
                self.send(to, Message::Prepare { voter, ballot, known });
            }
        }
    }

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

    /// Where a voter is, also one that is known only by what others have accepted.
    fn endpoint_of(&self, voter: Voter) -> Option<SocketAddr> {
        let learned =
            self.view_change.proposal.as_ref().and_then(|proposal| proposal.endpoints.get(&voter).copied());
        self.view().endpoint(voter).or(learned)
    }

    fn continue_proposal(&mut self, now: u64) {
        let timing = self.settings.timing;
        let limit = self.view_change.with_backoff(timing.round);
        let Some(proposal) = &mut self.view_change.proposal else { return };
        if now >= proposal.started_at + limit {
            self.abandon_proposal(now);
            return;
        }
        if now >= proposal.asked_at + timing.resend / 2 {
            proposal.asked_at = now;
            if proposal.round.is_proposing() {
                self.send_accepts();
            } else {
                self.send_prepares();
            }
        }
        self.propose_next_view(now);
    }

    fn abandon_proposal(&mut self, now: u64) {
        self.view_change.proposal = None;
        let wait = self.view_change.with_backoff(RANK_DELAY);
        self.view_change.not_before = now + wait + self.jitter.below(2 * wait);
        self.view_change.failed_rounds += 1;
    }

    /// Writes the next view once enough have promised.
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
        let promised = reports.iter().filter_map(|(voter, report)| {
            let state = self.promised_state(now, &prepared, *voter, *report)?;
            Some((*voter, state))
        });
        let mut present: BTreeMap<Voter, VoterState> = promised.collect();
        present.extend(self.joiners_without_promise(now, &prepared, &reports));
        let input = self.planning_input(now, &prepared, present);
        let Some(next) = next_view(&prepared, &input) else { return };
        let Some(proposal) = &mut self.view_change.proposal else { return };
        proposal.round.propose::<L::Consensus>(next);
        proposal.asked_at = now;
        self.send_accepts();
    }

    fn is_awaited(&self, now: u64, prepared: &View, voter: Voter) -> bool {
        self.peers.healthy_heartbeat(now, prepared, voter).is_some()
    }

    /// Voters outside of the chain that are well but have not promised yet, as their disks are slow. What they have is
    /// not asked for: in the chain they are brought up to date before they count. Without them the round would end in
    /// the view that it began with, and the next one would again.
    fn joiners_without_promise(
        &self,
        now: u64,
        prepared: &View,
        reports: &BTreeMap<Voter, Report>,
    ) -> Vec<(Voter, VoterState)> {
        let is_silent = |voter: &Voter| prepared.position(*voter).is_none() && !reports.contains_key(voter);
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

    fn promised_state(&self, now: u64, prepared: &View, voter: Voter, report: Report) -> Option<VoterState> {
        if self.is_acknowledgement_overdue(now, voter) {
            return None;
        }
        let endpoint = self.view().endpoint(voter);
        let heartbeat = endpoint.and_then(|endpoint| self.peers.get(endpoint)).map(|peer| &peer.heartbeat);
        let is_own = endpoint == Some(self.settings.endpoint);
        let is_shutting_down =
            if is_own { self.is_shutting_down } else { heartbeat.is_some_and(|peer| peer.is_shutting_down) };
        let since = prepared.link(voter).map_or(0, |link| link.since);
        let complete = L::complete(report.complete, since);
        Some(VoterState::promised(Report { complete, ..report }, is_shutting_down))
    }

    pub(crate) fn on_prepare(
        &mut self,
        now: u64,
        from: SocketAddr,
        voter: Voter,
        ballot: Ballot,
        known: u64,
    ) {
        self.view_change.highest_round = self.view_change.highest_round.max(ballot.round);
        if !L::is_same_incarnation(voter.incarnation, self.state.incarnation) {
            return;
        }
        if self.view().number > known {
            let decided = self.state.decided.clone();
            self.send(from, Message::Decided(decided));
            return;
        }
        let mut votes = self.state.votes.clone();
        match votes.prepare(ballot) {
            Err(promised) => self.send(from, Message::Rejected { ballot, promised }),
            Ok(()) => {
                if from != self.settings.endpoint {
                    // Let the other's round come to its end first.
                    self.view_change.pending = None;
                }
                let accepted = votes.accepted.clone().map(Box::new);
                if L::records_promises() {
                    self.record_votes(votes);
                } else {
                    self.state.votes = votes;
                }
                let report = self.report();
                let message = Message::Promise { voter, ballot, accepted, report };
                self.after_durable(now, AfterDurable::Send { to: from, message: Box::new(message) });
            }
        }
    }

    pub(crate) fn on_accept(&mut self, now: u64, from: SocketAddr, voter: Voter, ballot: Ballot, view: View) {
        self.view_change.highest_round = self.view_change.highest_round.max(ballot.round);
        if !L::is_same_incarnation(voter.incarnation, self.state.incarnation) {
            return;
        }
        let mut votes = self.state.votes.clone();
        match votes.accept::<L::Consensus>(ballot, view) {
            Err(promised) => self.send(from, Message::Rejected { ballot, promised }),
            Ok(()) => {
                self.record_votes(votes);
                let message = Message::Accepted { voter, ballot };
                self.after_durable(now, AfterDurable::Send { to: from, message: Box::new(message) });
            }
        }
    }

    fn record_votes(&mut self, votes: whinspindle_consensus::AcceptorState<View>) {
        if votes != self.state.votes {
            self.record(DurableRecord::AcceptorState(votes), true);
        }
    }

    pub(crate) fn on_promise(
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

    pub(crate) fn on_accepted(&mut self, now: u64, voter: Voter, ballot: Ballot) {
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

    pub(crate) fn on_rejected(&mut self, now: u64, ballot: Ballot, promised: Ballot) {
        self.view_change.highest_round = self.view_change.highest_round.max(promised.round);
        let is_own =
            self.view_change.proposal.as_ref().is_some_and(|proposal| proposal.round.ballot == ballot);
        if is_own {
            self.abandon_proposal(now);
        }
    }

    /// Takes part in a view that was agreed on, unless a newer one is known.
    pub(crate) fn adopt(&mut self, now: u64, decided: Decided) {
        if decided.view.number <= self.view().number {
            return;
        }
        let kept = self.last_useful_entry();
        self.view_change.decided(decided.ballot);
        self.record(DurableRecord::Decided(decided), true);
        self.begin_session(now);
        if self.session.is_none() {
            self.truncate(kept);
        }
        self.heartbeat_due = now;
    }
}
