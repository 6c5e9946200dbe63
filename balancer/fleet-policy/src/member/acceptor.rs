//! The answers of a voter: leases granted to followers, and votes in the rounds of other voters.

use whinspindle_consensus::Ballot;

use super::{Environment, Member, MemberRules};
use crate::message::{LeaseState, Message, Readiness};
use crate::record::Record;

/// The last `Message::RenewLease` that a voter received from a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerReport {
    /// When the message arrived, by the voter's clock in microseconds.
    pub received_at: u64,
    /// The incarnation of the member's durable state.
    pub incarnation: u64,
    /// The start number of the member's process.
    pub start: u64,
    /// The bootstrap id of the record that the member knows.
    pub bootstrap_id: u64,
    /// The version of the record that the member knows.
    pub version: u64,
    /// The state of the member's lease.
    pub lease_state: LeaseState,
    /// The member's progress with the change under way.
    pub readiness: Readiness,
}

impl<E: Environment, R: MemberRules> Member<E, R> {
    pub(super) fn answer_renewal(&mut self, now: u64, from: u16, asked_at: u64, report: PeerReport) {
        let (order, start) = ((report.bootstrap_id, report.version), report.start);
        self.peer_reports[from as usize] = Some(report);
        // Asks a member with a newer record for it, since perhaps no voter has that record.
        if order > self.record.order() && from != self.settings.member {
            let renewal = self.renewal_message(now);
            self.environment.send(from, renewal);
        }
        if order < self.record.order() {
            if from != self.settings.member {
                self.environment.send(from, Message::Update { record: self.record.clone() });
            }
            return;
        }
        let voted = self.durable_state.votes.accepted.as_ref().map(|(_, record)| record);
        if order > self.record.order()
            || !self.is_durable
            || !self.is_voter()
            || !R::may_grant(&self.record, voted)
        {
            return;
        }
        let (voter, voter_set_version, number) =
            (self.voter(), self.record.voter_set_version, self.record.policy.number);
        if from == self.settings.member {
            self.receive_grant(now, asked_at, voter, (voter_set_version, number));
        } else {
            self.environment
                .send(from, Message::GrantLease { asked_at, start, voter, voter_set_version, number });
        }
    }

    pub(super) fn receive_prepare(&mut self, from: u16, ballot: Ballot) {
        let promised_before = self.durable_state.votes.promised;
        let answer = match self.durable_state.votes.prepare(ballot) {
            Ok(()) => {
                if (promised_before != ballot || !self.is_durable) && !self.persist() {
                    return;
                }
                Message::Promise {
                    ballot,
                    voter: self.voter(),
                    accepted: self.durable_state.votes.accepted.clone(),
                }
            }
            Err(promised) => Message::Refuse { ballot, promised },
        };
        self.environment.send(from, answer);
    }

    pub(super) fn receive_accept(&mut self, from: u16, ballot: Ballot, record: Record) {
        let answer = match self.durable_state.votes.accept::<R>(ballot, record) {
            Ok(()) if !self.persist() => return,
            Ok(()) => Message::Accepted { ballot, voter: self.voter() },
            Err(promised) => Message::Refuse { ballot, promised },
        };
        self.environment.send(from, answer);
    }
}
