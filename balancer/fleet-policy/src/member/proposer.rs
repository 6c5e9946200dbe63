//! The rounds that this member begins. A step is prepared and proposed until a majority of each voter set has
//! voted for it.

use std::collections::BTreeSet;

use whinspindle_consensus::{Ballot, Round, Voter};

use super::{Environment, Member, MemberRules};
use crate::message::Message;
use crate::record::{Record, Step};

/// A round that this member has begun.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct OngoingRound {
    pub(super) round: Round<Record>,
    pub(super) step: Step,
    pub(super) begun_at: u64,
    /// The order of the record that the step was chosen for.
    pub(super) based_on: (u64, u64),
}

impl<E: Environment, R: MemberRules> Member<E, R> {
    pub(super) fn begin_round(&mut self, now: u64, step: Step) {
        let is_bootstrap = matches!(step, Step::Bootstrap { .. });
        let known = if is_bootstrap {
            let voter_of = |member: &u16| {
                let report = self.peer_reports.get(*member as usize)?.as_ref();
                let own = (*member == self.settings.member).then_some(self.durable_state.incarnation);
                Some(Voter { member: *member, incarnation: own.or(report.map(|report| report.incarnation))? })
            };
            // A bootstrap needs every voter of the settings.
            let voters: Option<Vec<Voter>> = self.settings.voters.iter().map(voter_of).collect();
            let Some(voters) = voters else { return };
            Record::before_bootstrap(voters)
        } else {
            self.record.clone()
        };
        self.highest_round = self.highest_round.max(self.durable_state.votes.promised.round) + 1;
        let epoch = self.record.epoch() + u64::from(is_bootstrap);
        let ballot = Ballot {
            epoch,
            round: self.highest_round,
            member: self.settings.member,
            start_id: self.process_start,
        };
        let mut round = Round::new(ballot, known);
        if self.durable_state.votes.prepare(ballot).is_err() || !self.persist() {
            return;
        }
        round.record_promise(self.voter(), self.durable_state.votes.accepted.clone());
        for voter in round.awaiting_promise::<R>() {
            self.environment.send(voter.member, Message::Prepare { ballot });
        }
        self.round = Some(OngoingRound { round, step, begun_at: now, based_on: self.record.order() });
        self.propose_value(now);
    }

    /// Repeats the messages of the present phase to the voters that haven't answered.
    pub(super) fn retry_round(&mut self) {
        let Some(OngoingRound { round, .. }) = &self.round else { return };
        let ballot = round.ballot;
        let messages: Vec<(u16, Message)> = match round.awaiting_vote() {
            Some((record, voters)) => {
                let accept =
                    |voter: Voter| (voter.member, Message::Accept { ballot, record: record.clone() });
                voters.into_iter().map(accept).collect()
            }
            None => {
                let prepare = |voter: Voter| (voter.member, Message::Prepare { ballot });
                round.awaiting_promise::<R>().into_iter().map(prepare).collect()
            }
        };
        let own_number = self.settings.member;
        for (to, message) in messages.into_iter().filter(|(to, _)| *to != own_number) {
            self.environment.send(to, message);
        }
    }

    /// Once a quorum has promised, applies the step to the prepared value and proposes the result, or
    /// proposes the prepared value itself to complete it.
    pub(super) fn propose_value(&mut self, now: u64) {
        // Guards against a step that is no longer due: since the ballot began the process may have been
        // suspended, and balancers may have failed or objected.
        let due_step = self.next_step(now);
        let Some(OngoingRound { round, step, based_on, .. }) = &mut self.round else { return };
        if round.is_proposing() {
            return;
        }
        let Some(prepared) = round.prepared_value::<R>().cloned() else { return };
        // Guards against a step that was checked against the limits and times of another record. A record
        // that was agreed or proposed since is only completed.
        let is_base = prepared.order() == *based_on || prepared.bootstrap_id == 0;
        let next = prepared.apply_step(step).filter(|_| is_base && due_step.as_ref() == Some(step));
        let Some(record) = next.or((prepared.order() > self.record.order()).then_some(prepared)) else {
            self.round = None;
            return;
        };
        let ballot = round.ballot;
        let voters = round.propose::<R>(record.clone());
        let own_voter = self.voter();
        if self.durable_state.votes.accept::<R>(ballot, record.clone()).is_err() || !self.persist() {
            self.round = None;
            return;
        }
        for voter in voters.into_iter().filter(|voter| *voter != own_voter) {
            self.environment.send(voter.member, Message::Accept { ballot, record: record.clone() });
        }
        self.record_vote(now, own_voter);
    }

    pub(super) fn record_vote(&mut self, now: u64, voter: Voter) {
        let Some(OngoingRound { round, .. }) = &mut self.round else { return };
        let Some(record) = round.record_vote::<R>(voter).cloned() else { return };
        self.round = None;
        self.update_record(now, record);
        // Otherwise the other members would learn of the record only at their next lease renewal.
        let members = self.peer_reports.iter().enumerate().filter(|(_, report)| report.is_some());
        let members: BTreeSet<u16> = members.map(|(member, _)| member as u16).collect();
        for member in members.into_iter().chain(self.voters()).collect::<BTreeSet<u16>>() {
            if member != self.settings.member {
                self.environment.send(member, Message::Update { record: self.record.clone() });
            }
        }
        self.drive_ballot(now);
    }

    pub(super) fn receive_promise(
        &mut self,
        now: u64,
        ballot: Ballot,
        voter: Voter,
        accepted: Option<(Ballot, Record)>,
    ) {
        if let Some(ongoing) = self.round.as_mut().filter(|ongoing| ongoing.round.ballot == ballot) {
            ongoing.round.record_promise(voter, accepted);
            self.propose_value(now);
        }
    }

    pub(super) fn receive_accepted(&mut self, now: u64, ballot: Ballot, voter: Voter) {
        if self.round.as_ref().is_some_and(|ongoing| ongoing.round.ballot == ballot) {
            self.record_vote(now, voter);
        }
    }

    /// A voter has promised a higher ballot than that of this member's round.
    pub(super) fn receive_refusal(&mut self, now: u64, ballot: Ballot, promised: Ballot) {
        self.highest_round = self.highest_round.max(promised.round);
        if self.round.take_if(|ongoing| ongoing.round.ballot == ballot).is_some() {
            // The wait differs by member, so that competing proposers don't outbid one another for ever.
            self.backoff_until =
                now + self.settings.renewal_interval_us * (1 + u64::from(self.settings.member)) / 4;
        }
    }
}
