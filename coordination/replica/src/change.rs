//! View changes: a round of the agreed register, begun by a voter that is in touch with a majority.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use whinspindle_consensus::{Ballot, Round, Voter};

use crate::application::Application;
use crate::disk::Afterwards;
use crate::durable::{Decided, DurableRecord};
use crate::message::{Message, Report};
use crate::placement::{FailureDomain, LossKind, fatal_losses};
use crate::plan::{Candidate, Situation, Standing, next_view};
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
const SEALED_DELAY: u64 = 400;
/// Jitter is below this.
const JITTER: u64 = 60;
/// How long the promises of others are waited for once a majority has promised.
const GRACE: u64 = 150;
/// A round has at most twice the time of the first so many times over.
const MOST_DOUBLINGS: u32 = 3;
/// A peer is taken in once it was heard without a pause for this long.
const STEADY: u64 = 500;

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
    wanted: Option<Wanted>,
    not_before: u64,
    /// Rounds of this replica that came to nothing since the last change of the view.
    failed_rounds: u32,
}

#[derive(Clone, Copy, Debug)]
struct Wanted {
    since: u64,
    jitter: u64,
}

impl ViewChange {
    /// A newer view was agreed on: what was under way is void.
    pub fn decided(&mut self, ballot: Ballot) {
        self.highest_round = self.highest_round.max(ballot.round);
        self.proposal = None;
        self.wanted = None;
        self.failed_rounds = 0;
    }

    /// A span of a round, or of the wait for the round of another. Where links or disks are slow, later rounds have more
    /// time: each of the same length would fail like the one before, while the chain stands still.
    fn stretched(&self, span: u64) -> u64 {
        span << self.failed_rounds.min(MOST_DOUBLINGS)
    }
}

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    pub(crate) fn tick_change(&mut self, now: u64) {
        if self.change.proposal.is_some() {
            self.continue_proposal(now);
            return;
        }
        let Some(delay) = self.wanted_delay(now) else {
            self.change.wanted = None;
            return;
        };
        let jitter = self.chance.below(JITTER);
        let wanted = *self.change.wanted.get_or_insert(Wanted { since: now, jitter });
        if now >= wanted.since + delay + wanted.jitter && now >= self.change.not_before {
            self.propose(now);
        }
    }

    /// How long a change that is wanted has to be waited with; none if no change is wanted.
    fn wanted_delay(&self, now: u64) -> Option<u64> {
        let me = self.me()?;
        let view = self.view();
        let is_well = |voter: Voter| voter == me || self.peers.well(now, view, voter).is_some();
        if self.is_disk_stalled(now) || !view.has_majority(is_well) {
            return None;
        }
        let rank = RANK_DELAY * self.rank(now, me);
        if self.state.is_sealed() {
            return Some(if self.is_sealed_by_itself(me) {
                rank
            } else {
                self.change.stretched(SEALED_DELAY) + rank
            });
        }
        let next = next_view(view, &self.expected_situation(now, me))?;
        if self.is_shutting_down || next.is_alike(view) {
            return None;
        }
        let loses_one = view.chain.iter().any(|link| next.position(link.voter).is_none());
        Some(if loses_one { rank } else { PLANNED_DELAY + rank })
    }

    /// Whether what it has voted for is a round of its own, which nobody else will end.
    fn is_sealed_by_itself(&self, me: Voter) -> bool {
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
            .filter(|voter| self.peers.well(now, view, *voter).is_some_and(|peer| !peer.is_shutting_down))
            .count() as u64
    }

    /// What the heartbeats tell, for the question whether a change is worth a round: as if all had promised.
    fn expected_situation(&self, now: u64, me: Voter) -> Situation {
        let view = self.view();
        let present = view.voters().into_iter().filter_map(|voter| {
            let standing = self.expected_standing(now, me, voter)?;
            Some((voter, standing))
        });
        self.situation(now, view, present.collect())
    }

    fn expected_standing(&self, now: u64, me: Voter, voter: Voter) -> Option<Standing> {
        if voter == me {
            return Some(Standing::promised(self.report(), self.is_shutting_down));
        }
        let view = self.view();
        let member = view.member(voter)?;
        let heartbeat = self.peers.get(member.endpoint).map(|peer| &peer.heartbeat);
        if self.peers.is_reborn(member) || heartbeat.is_some_and(|heartbeat| heartbeat.is_stalled) {
            return None;
        }
        let Some(link) = view.link(voter) else {
            let heartbeat = self.peers.well(now, view, voter)?;
            let is_steady = self.peers.get(member.endpoint)?.steady_since + STEADY <= now;
            return is_steady.then(|| Standing::promised(heartbeat.report, heartbeat.is_shutting_down));
        };
        let is_neighbour = view.predecessor(voter) == Some(me) || view.successor(voter) == Some(me);
        let is_excused = !is_neighbour && self.peers.is_heard_by_another(now, member.endpoint);
        let is_suspected = self.peers.is_suspected(now, member.endpoint) && !is_excused;
        if is_suspected || self.owes_too_long(now, voter) {
            return None;
        }
        let unheard =
            Standing { complete: link.since, committed: 0, is_shutting_down: false, has_promised: true };
        Some(
            heartbeat.map_or(unheard, |heartbeat| {
                Standing::promised(heartbeat.report, heartbeat.is_shutting_down)
            }),
        )
    }

    fn situation(&self, now: u64, view: &View, present: BTreeMap<Voter, Standing>) -> Situation {
        let lost = view.voters().into_iter().filter(|voter| !present.contains_key(voter));
        let lost = lost.filter(|voter| self.is_lost(now, view, *voter)).collect();
        Situation {
            tolerance: self.settings.tolerance,
            replaces_voters_jointly: L::replaces_voters_jointly(),
            asks_for_complete_leaders: L::asks_for_complete_leaders(),
            present,
            lost,
            candidates: self.candidates(now, view),
            apart: self.pairs_apart(now, view),
            failure_domains: self.failure_domains(view),
        }
    }

    /// Where the members are, as far as they were heard.
    fn failure_domains(&self, view: &View) -> BTreeMap<SocketAddr, FailureDomain> {
        let heard = |member: &Member| {
            let heartbeat = &self.peers.get(member.endpoint)?.heartbeat;
            Some((member.endpoint, heartbeat.failure_domain()))
        };
        let mut failure_domains: BTreeMap<SocketAddr, FailureDomain> =
            view.members.iter().filter_map(heard).collect();
        let own = FailureDomain { zone: self.settings.zone.clone(), region: self.settings.region.clone() };
        failure_domains.insert(self.settings.endpoint, own);
        failure_domains
    }

    /// The kinds of losses that are to be tolerated but would leave no majority of the voters, as far as their failure domains
    /// are known.
    pub fn fatal_losses(&self) -> Vec<LossKind> {
        let view = self.view();
        let heard = self.failure_domains(view);
        let place = |voter: Voter| {
            let member = view.member(voter)?;
            Some(heard.get(&member.endpoint).cloned().unwrap_or_else(|| member.failure_domain()))
        };
        let voters = view.voter_sets.last().map(Vec::as_slice).unwrap_or_default();
        let failure_domains: Vec<FailureDomain> = voters.iter().filter_map(|voter| place(*voter)).collect();
        let are_known = !failure_domains.is_empty() && failure_domains.iter().all(FailureDomain::is_known);
        let failure_domains: Vec<&FailureDomain> = failure_domains.iter().collect();
        if are_known { fatal_losses(&failure_domains, self.settings.tolerance) } else { Vec::new() }
    }

    /// Whether another may take this voter's seat: its memory is gone, or nobody has heard it for long.
    fn is_lost(&self, now: u64, view: &View, voter: Voter) -> bool {
        let Some(member) = view.member(voter) else { return false };
        let is_silent = self.peers.silence(now, member.endpoint) > self.settings.timing.replacement;
        let is_gone = is_silent && !self.peers.is_heard_by_another(now, member.endpoint);
        member.endpoint != self.settings.endpoint && (is_gone || self.peers.is_reborn(member))
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
            let is_well = self.peers.is_in_touch(now, *endpoint)
                && !heartbeat.is_stalled
                && !heartbeat.is_shutting_down;
            if is_well && peer.steady_since + STEADY <= now && !votes(*endpoint, heartbeat.incarnation) {
                candidates.push(Candidate {
                    endpoint: *endpoint,
                    incarnation: heartbeat.incarnation,
                    failure_domain: heartbeat.failure_domain(),
                    standing: Standing::told(heartbeat.report, false),
                });
            }
        }
        candidates
    }

    fn pairs_apart(&self, now: u64, view: &View) -> BTreeSet<(SocketAddr, SocketAddr)> {
        let members = view.members.iter().map(|member| member.endpoint);
        let heard = self.peers.iter().map(|(endpoint, _)| *endpoint);
        let endpoints: Vec<SocketAddr> = members.chain(heard).collect();
        let mut apart = BTreeSet::new();
        for (index, one) in endpoints.iter().enumerate() {
            for other in &endpoints[index + 1..] {
                if one != other && !self.are_in_touch(now, *one, *other) {
                    apart.insert((*one, *other));
                }
            }
        }
        apart
    }

    fn are_in_touch(&self, now: u64, one: SocketAddr, other: SocketAddr) -> bool {
        let me = self.settings.endpoint;
        match (one == me, other == me) {
            (true, _) => self.peers.is_in_touch(now, other),
            (_, true) => self.peers.is_in_touch(now, one),
            _ => self.peers.hear_each_other(one, other),
        }
    }

    fn propose(&mut self, now: u64) {
        let Some(me) = self.me() else { return };
        self.change.highest_round += 1;
        let round = self.change.highest_round;
        let ballot = Ballot { epoch: EPOCH, round, member: me.member, start: self.settings.start };
        let round = Round::new(ballot, self.view().clone());
        self.change.proposal = Some(Proposal {
            round,
            reports: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            started_at: now,
            asked_at: now,
            majority_at: None,
        });
        self.ask_for_promises();
    }

    fn ask_for_promises(&mut self) {
        let Some(proposal) = &self.change.proposal else { return };
        let ballot = proposal.round.ballot;
        let known = self.view().number;
        for voter in proposal.round.awaiting_promise::<L::Consensus>() {
            if let Some(to) = self.endpoint_of(voter) {
                self.send(to, Message::Prepare { voter, ballot, known });
            }
        }
    }

    fn ask_for_votes(&mut self) {
        let Some(proposal) = &self.change.proposal else { return };
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
        let told = self.change.proposal.as_ref().and_then(|proposal| proposal.endpoints.get(&voter).copied());
        self.view().endpoint(voter).or(told)
    }

    fn continue_proposal(&mut self, now: u64) {
        let timing = self.settings.timing;
        let limit = self.change.stretched(timing.round);
        let Some(proposal) = &mut self.change.proposal else { return };
        if now >= proposal.started_at + limit {
            self.give_up(now);
            return;
        }
        if now >= proposal.asked_at + timing.resend / 2 {
            proposal.asked_at = now;
            if proposal.round.is_proposing() {
                self.ask_for_votes();
            } else {
                self.ask_for_promises();
            }
        }
        self.try_to_write(now);
    }

    fn give_up(&mut self, now: u64) {
        self.change.proposal = None;
        let wait = self.change.stretched(RANK_DELAY);
        self.change.not_before = now + wait + self.chance.below(2 * wait);
        self.change.failed_rounds += 1;
    }

    /// Writes the next view once enough have promised.
    fn try_to_write(&mut self, now: u64) {
        let Some(proposal) = &mut self.change.proposal else { return };
        if proposal.round.is_proposing() {
            return;
        }
        let Some(found) = proposal.round.prepared_value::<L::Consensus>().cloned() else { return };
        let majority_at = *proposal.majority_at.get_or_insert(now);
        let reports = proposal.reports.clone();
        let is_awaited = |voter: Voter| !reports.contains_key(&voter) && self.is_awaited(now, &found, voter);
        if now < majority_at + GRACE && found.voters().into_iter().any(is_awaited) {
            return;
        }
        let promised = reports.iter().filter_map(|(voter, report)| {
            let standing = self.promised_standing(now, &found, *voter, *report)?;
            Some((*voter, standing))
        });
        let mut present: BTreeMap<Voter, Standing> = promised.collect();
        present.extend(self.silent_joiners(now, &found, &reports));
        let situation = self.situation(now, &found, present);
        let Some(next) = next_view(&found, &situation) else { return };
        let Some(proposal) = &mut self.change.proposal else { return };
        proposal.round.propose::<L::Consensus>(next);
        proposal.asked_at = now;
        self.ask_for_votes();
    }

    fn is_awaited(&self, now: u64, found: &View, voter: Voter) -> bool {
        self.peers.well(now, found, voter).is_some()
    }

    /// Voters outside of the chain that are well but have not promised yet, as their disks are slow. What they have is
    /// not asked for: in the chain they are brought up to date before they count. Without them the round would end in
    /// the view that it began with, and the next one would again.
    fn silent_joiners(
        &self,
        now: u64,
        found: &View,
        reports: &BTreeMap<Voter, Report>,
    ) -> Vec<(Voter, Standing)> {
        let is_silent = |voter: &Voter| found.position(*voter).is_none() && !reports.contains_key(voter);
        let me = self.me();
        let standing = |voter: Voter| {
            if me == Some(voter) {
                return Some((voter, Standing::told(self.report(), self.is_shutting_down)));
            }
            let heartbeat = self.peers.well(now, found, voter)?;
            let endpoint = found.endpoint(voter)?;
            let is_steady = self.peers.get(endpoint)?.steady_since + STEADY <= now;
            is_steady.then(|| (voter, Standing::told(heartbeat.report, heartbeat.is_shutting_down)))
        };
        found.voters().into_iter().filter(is_silent).filter_map(standing).collect()
    }

    fn promised_standing(&self, now: u64, found: &View, voter: Voter, report: Report) -> Option<Standing> {
        if self.owes_too_long(now, voter) {
            return None;
        }
        let endpoint = self.view().endpoint(voter);
        let heartbeat = endpoint.and_then(|endpoint| self.peers.get(endpoint)).map(|peer| &peer.heartbeat);
        let is_own = endpoint == Some(self.settings.endpoint);
        let is_shutting_down =
            if is_own { self.is_shutting_down } else { heartbeat.is_some_and(|peer| peer.is_shutting_down) };
        let since = found.link(voter).map_or(0, |link| link.since);
        let complete = L::complete(report.complete, since);
        Some(Standing::promised(Report { complete, ..report }, is_shutting_down))
    }

    pub(crate) fn on_prepare(
        &mut self,
        now: u64,
        from: SocketAddr,
        voter: Voter,
        ballot: Ballot,
        known: u64,
    ) {
        self.change.highest_round = self.change.highest_round.max(ballot.round);
        if !L::is_same_birth(voter.incarnation, self.state.incarnation) {
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
                    self.change.wanted = None;
                }
                let accepted = votes.accepted.clone().map(Box::new);
                if L::records_promises() {
                    self.record_votes(votes);
                } else {
                    self.state.votes = votes;
                }
                let report = self.report();
                let message = Message::Promise { voter, ballot, accepted, report };
                self.afterwards(now, Afterwards::Send { to: from, message: Box::new(message) });
            }
        }
    }

    pub(crate) fn on_accept(&mut self, now: u64, from: SocketAddr, voter: Voter, ballot: Ballot, view: View) {
        self.change.highest_round = self.change.highest_round.max(ballot.round);
        if !L::is_same_birth(voter.incarnation, self.state.incarnation) {
            return;
        }
        let mut votes = self.state.votes.clone();
        match votes.accept::<L::Consensus>(ballot, view) {
            Err(promised) => self.send(from, Message::Rejected { ballot, promised }),
            Ok(()) => {
                self.record_votes(votes);
                let message = Message::Accepted { voter, ballot };
                self.afterwards(now, Afterwards::Send { to: from, message: Box::new(message) });
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
        let Some(proposal) = &mut self.change.proposal else { return };
        if proposal.round.ballot != ballot || proposal.round.is_proposing() {
            return;
        }
        let unheard = proposal.round.awaiting_promise::<L::Consensus>().len();
        let members = accepted.iter().flat_map(|(_, view)| &view.members);
        proposal.endpoints.extend(members.map(|member| (member.voter, member.endpoint)));
        proposal.round.record_promise(voter, accepted);
        proposal.reports.insert(voter, report);
        let has_grown = proposal.round.awaiting_promise::<L::Consensus>().len() >= unheard;
        if has_grown {
            self.ask_for_promises();
        }
        self.try_to_write(now);
    }

    pub(crate) fn on_accepted(&mut self, now: u64, voter: Voter, ballot: Ballot) {
        let Some(proposal) = &mut self.change.proposal else { return };
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
        self.change.highest_round = self.change.highest_round.max(promised.round);
        let is_own = self.change.proposal.as_ref().is_some_and(|proposal| proposal.round.ballot == ballot);
        if is_own {
            self.give_up(now);
        }
    }

    /// Takes part in a view that was agreed on, unless a newer one is known.
    pub(crate) fn adopt(&mut self, now: u64, decided: Decided) {
        if decided.view.number <= self.view().number {
            return;
        }
        let kept = self.last_of_use();
        self.change.decided(decided.ballot);
        self.record(DurableRecord::Decided(decided), true);
        self.begin_session(now);
        if self.session.is_none() {
            self.truncate(kept);
        }
        self.heartbeat_due = now;
    }
}
