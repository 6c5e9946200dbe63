//! The replica as a voter: its answers to proposals of all replicas, including its own.

use std::net::SocketAddr;

use whinspindle_consensus::{AcceptorState, Ballot, Voter};

use super::Replica;
use crate::application::Application;
use crate::disk::DeferredAction;
use crate::durable::DurableRecord;
use crate::message::Message;
use crate::protocol_rules::ProtocolRules;
use crate::protocol_version::MIN_VERSION_FOR_VOTER_LOST;
use crate::view::View;

impl<A: Application, Rules: ProtocolRules> Replica<A, Rules> {
    /// Handles phase 1 of a proposal.
    pub(super) fn on_prepare(
        &mut self,
        now: u64,
        from: SocketAddr,
        voter: Voter,
        ballot: Ballot,
        known_view: u64,
    ) {
        self.view_change.highest_round = self.view_change.highest_round.max(ballot.round);
        if self.view().number > known_view {
            let decided = self.state.decided.clone();
            self.send(from, Message::Decided(decided));
            return;
        }
        if !Rules::is_same_incarnation(voter.incarnation, self.state.incarnation) {
            if self.has_replaced(voter) && self.supports_voter_lost(from) {
                self.send(from, Message::VoterLost { voter, ballot });
            }
            return;
        }
        let mut votes = self.state.votes.clone();
        match votes.prepare(ballot) {
            Err(promised) => self.send(from, Message::Rejected { ballot, promised }),
            Ok(()) => {
                if from != self.settings.endpoint {
                    // Let the round of the other proposer finish first.
                    self.view_change.pending = None;
                }
                let accepted = votes.accepted.clone().map(Box::new);
                if Rules::records_promises() {
                    self.record_votes(votes);
                } else {
                    self.state.votes = votes;
                }
                let report = self.report();
                let message = Message::Promise { voter, ballot, accepted, report };
                self.run_when_durable(now, DeferredAction::Send { to: from, message: Box::new(message) });
            }
        }
    }

    /// Handles phase 2 of a proposal.
    pub(super) fn on_accept(&mut self, now: u64, from: SocketAddr, voter: Voter, ballot: Ballot, view: View) {
        self.view_change.highest_round = self.view_change.highest_round.max(ballot.round);
        if !Rules::is_same_incarnation(voter.incarnation, self.state.incarnation) {
            return;
        }
        let mut votes = self.state.votes.clone();
        match votes.accept::<Rules::Consensus>(ballot, view) {
            Err(promised) => self.send(from, Message::Rejected { ballot, promised }),
            Ok(()) => {
                self.record_votes(votes);
                let message = Message::Accepted { voter, ballot };
                self.run_when_durable(now, DeferredAction::Send { to: from, message: Box::new(message) });
            }
        }
    }

    /// Whether this replica has replaced a voter at its endpoint, so that the voter's durable state is
    /// permanently lost.
    ///
    /// Only one process runs at an endpoint at a time, and a voter of another incarnation ran there when
    /// the proposer's view was decided. That voter's disk was the earlier disk of this endpoint and is
    /// lost. The exception is an older voter whose old disk was put back: it must not report its successor
    /// as lost.
    fn has_replaced(&self, voter: Voter) -> bool {
        let accepted = self.state.votes.accepted.as_ref().map(|(_, view)| view);
        let views = [Some(self.view()), accepted].into_iter().flatten();
        let own_numbers = views.filter_map(|view| self.own_voter_in(view)).map(|own| own.member);
        own_numbers.max().is_none_or(|own| Rules::is_successor(own, voter.member))
    }

    /// Whether the protocol version of a replica supports [`Message::VoterLost`].
    fn supports_voter_lost(&self, endpoint: SocketAddr) -> bool {
        let is_supported = |protocol: u16| protocol >= MIN_VERSION_FOR_VOTER_LOST;
        endpoint == self.settings.endpoint
            || self.peers.get(endpoint).is_some_and(|peer| is_supported(peer.heartbeat.protocol))
    }

    /// Makes the acceptor state durable, if it has changed.
    fn record_votes(&mut self, votes: AcceptorState<View>) {
        if votes != self.state.votes {
            self.record(DurableRecord::AcceptorState(votes), true);
        }
    }
}
