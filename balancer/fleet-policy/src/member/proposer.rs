//! The rounds that this member begins: a step is prepared, written and counted until a majority of each voter set
//! has voted for it.

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
    pub(super) began: u64,
    /// The order of the record that the step was decided on for.
    pub(super) based_on: (u64, u64),
}

impl<O: Environment, L: MemberRules> Member<O, L> {
    pub(super) fn begin(&mut self, now: u64, step: Step) {
        let is_bootstrap = matches!(step, Step::Bootstrap { .. });
        let known = if is_bootstrap {
            let incarnation = |member: &u16| {
                let received = self.received.get(*member as usize)?.as_ref();
                let own = (*member == self.settings.me).then_some(self.memory.incarnation);
                Some(Voter {
                    member: *member,
                    incarnation: own.or(received.map(|received| received.incarnation))?,
                })
            };
            // A bootstrap needs every voter of the settings.
            let voters: Option<Vec<Voter>> = self.settings.voters.iter().map(incarnation).collect();
            let Some(voters) = voters else { return };
            Record::before_bootstrap(voters)
        } else {
            self.record.clone()
        };
        self.highest_round = self.highest_round.max(self.memory.votes.promised.round) + 1;
        let epoch = self.record.epoch() + u64::from(is_bootstrap);
        let ballot =
            Ballot { epoch, round: self.highest_round, member: self.settings.me, start_id: self.start };
        let mut round = Round::new(ballot, known);
        if self.memory.votes.prepare(ballot).is_err() || !self.persist() {
            return;
        }
        round.record_promise(self.voter(), self.memory.votes.accepted.clone());
        for voter in round.awaiting_promise::<L>() {
            self.environment.send(voter.member, Message::Prepare { ballot });
        }
        self.round = Some(OngoingRound { round, step, began: now, based_on: self.record.order() });
        self.write(now);
    }

    /// Sends the messages of the present phase again to those that haven't answered.
    pub(super) fn retry_round(&mut self) {
        let Some(OngoingRound { round, .. }) = &self.round else { return };
        let ballot = round.ballot;
        let again: Vec<(u16, Message)> = match round.awaiting_vote() {
            Some((record, voters)) => {
                let accept =
                    |voter: Voter| (voter.member, Message::Accept { ballot, record: record.clone() });
                voters.into_iter().map(accept).collect()
            }
            None => {
                let prepare = |voter: Voter| (voter.member, Message::Prepare { ballot });
                round.awaiting_promise::<L>().into_iter().map(prepare).collect()
            }
        };
        let me = self.settings.me;
        for (to, message) in again.into_iter().filter(|(to, _)| *to != me) {
            self.environment.send(to, message);
        }
    }

    /// Once a quorum has promised, applies the step to the prepared value and proposes the result, or completes
    /// the prepared value.
    pub(super) fn write(&mut self, now: u64) {
        // Guards against a step that is no longer due: since the ballot began the process may have been
        // suspended, and balancers may have failed or objected.
        let due = self.next_step(now);
        let Some(OngoingRound { round, step, based_on, .. }) = &mut self.round else { return };
        if round.is_proposing() {
            return;
        }
        let Some(found) = round.prepared_value::<L>().cloned() else { return };
        // Guards against a step that was decided on for another record, by whose limits and times it was
        // checked. What has been agreed or begun since is only completed.
        let is_known = found.order() == *based_on || found.bootstrap_id == 0;
        let next = found.after(step).filter(|_| is_known && due.as_ref() == Some(step));
        let Some(record) = next.or((found.order() > self.record.order()).then_some(found)) else {
            self.round = None;
            return;
        };
        let ballot = round.ballot;
        let voters = round.propose::<L>(record.clone());
        let me = self.voter();
        if self.memory.votes.accept::<L>(ballot, record.clone()).is_err() || !self.persist() {
            self.round = None;
            return;
        }
        for voter in voters.into_iter().filter(|voter| *voter != me) {
            self.environment.send(voter.member, Message::Accept { ballot, record: record.clone() });
        }
        self.voted(now, me);
    }

    pub(super) fn voted(&mut self, now: u64, voter: Voter) {
        let Some(OngoingRound { round, .. }) = &mut self.round else { return };
        let Some(record) = round.record_vote::<L>(voter).cloned() else { return };
        self.round = None;
        self.update_record(now, record);
        // Without this the others would learn of it only by their next request for the lease.
        let members = self.received.iter().enumerate().filter(|(_, received)| received.is_some());
        let members: BTreeSet<u16> = members.map(|(member, _)| member as u16).collect();
        for member in members.into_iter().chain(self.voters()).collect::<BTreeSet<u16>>() {
            if member != self.settings.me {
                self.environment.send(member, Message::Update { record: self.record.clone() });
            }
        }
        self.lead(now);
    }

    pub(super) fn promised(
        &mut self,
        now: u64,
        ballot: Ballot,
        voter: Voter,
        accepted: Option<(Ballot, Record)>,
    ) {
        if let Some(ongoing) = self.round.as_mut().filter(|on| on.round.ballot == ballot) {
            ongoing.round.record_promise(voter, accepted);
            self.write(now);
        }
    }

    pub(super) fn accepted(&mut self, now: u64, ballot: Ballot, voter: Voter) {
        if self.round.as_ref().is_some_and(|on| on.round.ballot == ballot) {
            self.voted(now, voter);
        }
    }

    /// A voter has promised a higher ballot than that of this member's round.
    pub(super) fn refused(&mut self, now: u64, ballot: Ballot, promised: Ballot) {
        self.highest_round = self.highest_round.max(promised.round);
        if self.round.take_if(|on| on.round.ballot == ballot).is_some() {
            // Proposers that outbid one another wait for different times.
            self.quiet_until = now + self.settings.pace * (1 + u64::from(self.settings.me)) / 4;
        }
    }
}
