//! A voter's answers: leases granted to followers, and votes in the rounds of others.

use whinspindle_consensus::Ballot;

use super::{Environment, Member, MemberRules};
use crate::message::{LeaseState, Message, Readiness};
use crate::record::Record;

/// What a voter last received of a member, by its `Message::RenewLease`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerReport {
    /// When it arrived, by the voter's clock in microseconds.
    pub received_at: u64,
    /// Of the member's durable state.
    pub incarnation: u64,
    /// The start number of the member's process.
    pub start: u64,
    /// Of the record that the member knows.
    pub bootstrap_id: u64,
    /// Of the record that the member knows.
    pub version: u64,
    /// What the member decides by.
    pub lease_state: LeaseState,
    /// How far it is with the change under way.
    pub readiness: Readiness,
}

impl<O: Environment, L: MemberRules> Member<O, L> {
    pub(super) fn answer(&mut self, now: u64, from: u16, at: u64, received: PeerReport) {
        let (order, start) = ((received.bootstrap_id, received.version), received.start);
        self.received[from as usize] = Some(received);
        // A member with a newer record sends it when it is asked; it may be that no voter has it.
        if order > self.record.order() && from != self.settings.member {
            let ask = self.question(now);
            self.environment.send(from, ask);
        }
        if order < self.record.order() {
            if from != self.settings.member {
                self.environment.send(from, Message::Update { record: self.record.clone() });
            }
            return;
        }
        let voted = self.memory.votes.accepted.as_ref().map(|(_, record)| record);
        if order > self.record.order()
            || !self.is_durable
            || !self.is_voter()
            || !L::may_grant(&self.record, voted)
        {
            return;
        }
        let (voter, voter_set_version, number) =
            (self.voter(), self.record.voter_set_version, self.record.policy.number);
        if from == self.settings.member {
            self.granted(now, at, voter, (voter_set_version, number));
        } else {
            self.environment
                .send(from, Message::GrantLease { asked_at: at, start, voter, voter_set_version, number });
        }
    }

    pub(super) fn prepare(&mut self, from: u16, ballot: Ballot) {
        let before = self.memory.votes.promised;
        let answer = match self.memory.votes.prepare(ballot) {
            Ok(()) => {
                if (before != ballot || !self.is_durable) && !self.persist() {
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
