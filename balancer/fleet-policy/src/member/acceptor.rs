//! A voter's answers: leases granted to followers, and votes in the rounds of others.

use whinspindle_consensus::Ballot;

use super::{Environment, Member, MemberRules};
use crate::message::{Message, Readiness, Right};
use crate::record::Record;

/// What a voter last received of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerReport {
    pub at: u64,
    pub incarnation: u64,
    pub start: u64,
    pub bootstrap_id: u64,
    pub version: u64,
    pub right: Right,
    pub readiness: Readiness,
}

impl<O: Environment, L: MemberRules> Member<O, L> {
    pub(super) fn answer(&mut self, now: u64, from: u16, at: u64, received: PeerReport) {
        let (order, start) = ((received.bootstrap_id, received.version), received.start);
        self.received[from as usize] = Some(received);
        // One that knows more tells it when it is asked; it may be that no voter does.
        if order > self.record.order() && from != self.settings.me {
            let ask = self.question(now);
            self.environment.send(from, ask);
        }
        if order < self.record.order() {
            if from != self.settings.me {
                self.environment.send(from, Message::Update { record: self.record.clone() });
            }
            return;
        }
        let voted = self.memory.votes.accepted.as_ref().map(|(_, record)| record);
        if order > self.record.order() || !self.kept || !self.is_voter() || !L::may_grant(&self.record, voted)
        {
            return;
        }
        let (voter, voter_set_version, number) =
            (self.voter(), self.record.voter_set_version, self.record.policy.number);
        if from == self.settings.me {
            self.granted(now, at, voter, (voter_set_version, number));
        } else {
            self.environment.send(from, Message::Grant { at, start, voter, voter_set_version, number });
        }
    }

    pub(super) fn prepare(&mut self, from: u16, ballot: Ballot) {
        let before = self.memory.votes.promised;
        let answer = match self.memory.votes.prepare(ballot) {
            Ok(()) => {
                if (before != ballot || !self.kept) && !self.persist() {
                    return;
                }
                Message::Promise { ballot, voter: self.voter(), accepted: self.memory.votes.accepted.clone() }
            }
            Err(promised) => Message::Refuse { ballot, promised },
        };
        self.environment.send(from, answer);
    }

    pub(super) fn accept(&mut self, from: u16, ballot: Ballot, record: Record) {
        let answer = match self.memory.votes.accept::<L>(ballot, record) {
            Ok(()) if !self.persist() => return,
            Ok(()) => Message::Accepted { ballot, voter: self.voter() },
            Err(promised) => Message::Refuse { ballot, promised },
        };
        self.environment.send(from, answer);
    }
}
