//! The voter's part in proposals of other replicas and of its own.

use std::net::SocketAddr;

use whinspindle_consensus::{AcceptorState, Ballot, Voter};

use super::Replica;
use crate::application::Application;
use crate::disk::AfterDurable;
use crate::durable::DurableRecord;
use crate::message::Message;
use crate::protocol_rules::ProtocolRules;
use crate::protocol_version::MIN_VERSION_FOR_VOTER_LOST;
use crate::view::View;

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    /// Phase 1 at the voter.
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
        if !L::is_same_incarnation(voter.incarnation, self.state.incarnation) {
            if self.has_replaced(voter) && self.reads_voter_lost(from) {
                self.send(from, Message::VoterLost { voter, ballot });
            }
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

    /// Phase 2 at the voter.
    pub(super) fn on_accept(&mut self, now: u64, from: SocketAddr, voter: Voter, ballot: Ballot, view: View) {
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

    /// Whether this replica took the place of a voter at its endpoint: that one's durable state is lost for good.
    ///
    /// At one endpoint runs one process at a time, and a voter of another incarnation was there when the proposer's view
    /// was decided. Its disk is this replica's former one, unless this replica is the older of the two, and its own old
    /// disk is back: then it says nothing.
    fn has_replaced(&self, voter: Voter) -> bool {
        let accepted = self.state.votes.accepted.as_ref().map(|(_, view)| view);
        let views = [Some(self.view()), accepted].into_iter().flatten();
        let own_numbers = views.filter_map(|view| self.voter_in(view)).map(|own| own.member);
        own_numbers.max().is_none_or(|own| L::is_successor(own, voter.member))
    }

    /// Whether a replica speaks a version of the protocol that has [`Message::VoterLost`].
    fn reads_voter_lost(&self, endpoint: SocketAddr) -> bool {
        let is_recent = |protocol: u16| protocol >= MIN_VERSION_FOR_VOTER_LOST;
        endpoint == self.settings.endpoint
            || self.peers.get(endpoint).is_some_and(|peer| is_recent(peer.heartbeat.protocol))
    }

    /// Makes the acceptor state durable, if it has changed.
    fn record_votes(&mut self, votes: AcceptorState<View>) {
        if votes != self.state.votes {
            self.record(DurableRecord::AcceptorState(votes), true);
        }
    }
}
