//! Commands on their way to the head, and their answers.

use std::net::SocketAddr;

use whinspindle_consensus::ConsensusRules;

use super::Replica;
use crate::application::{Answer, Application};
use crate::entry::Origin;
use crate::message::Message;
use crate::output::{Output, Reply};
use crate::protocol_rules::ProtocolRules;

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    /// Sends the submitted commands that are due to the head of the chain.
    pub(super) fn send_submissions(&mut self, now: u64) {
        if self.may_answer_alone() {
            self.answer_reads_alone();
        }
        let view = self.view();
        let Some(head) = view.head().and_then(|head| view.endpoint(head)) else { return };
        if !self.is_started || self.is_chain_fenced(head) {
            return;
        }
        let (endpoint, start) = (self.settings.endpoint, L::start(&self.settings));
        let number = view.number;
        for (ticket, command) in self.submissions.due(now, number, &self.settings.timing) {
            let origin = Origin { endpoint, start, ticket };
            if L::tail_answers_reads() && self.answer_at_tail(origin, &command) {
                continue;
            }
            self.send(head, Message::Submit { origin, command });
        }
    }

    /// Whether this replica may answer reads without the chain: the others are out of reach, and nothing can have been
    /// acknowledged that is not committed here.
    ///
    /// No view after the present one can have been decided without the vote of one of two voters, which would be fenced then.
    /// In the present view whatever is acknowledged is on its disk, as it is a member of the chain.
    fn may_answer_alone(&self) -> bool {
        let [voter_set] = self.view().voter_sets.as_slice() else { return false };
        let is_needed = self.me().is_some_and(|me| voter_set.contains(&me))
            && !L::Consensus::is_majority(voter_set.len() - 1, voter_set.len());
        let is_complete = self.session.as_ref().is_some_and(|session| session.is_complete);
        let knows_all_committed = self.state.log.is_empty();
        is_needed
            && is_complete
            && self.is_chain_active()
            && !self.has_majority_contact
            && L::answers_alone(knows_all_committed)
    }

    /// Answers the submitted commands that write nothing. One that was sent to a head may have been carried out there.
    fn answer_reads_alone(&mut self) {
        let (endpoint, start) = (self.settings.endpoint, L::start(&self.settings));
        let committed = self.state.committed;
        let evaluate = |(ticket, command): (u64, &[u8])| {
            let evaluation = self.application.evaluate(&self.state.records, command);
            evaluation.writes.is_empty().then_some((ticket, evaluation.answer))
        };
        let answers: Vec<(u64, Answer)> = self.submissions.unsent().filter_map(evaluate).collect();
        for (ticket, answer) in answers {
            self.reply(Origin { endpoint, start, ticket }, committed, &answer);
        }
    }

    /// Whether the chain of the present view is fenced, as far as the votes of this replica and of the head are known.
    /// The head would drop all commands, and large ones would delay the messages of the view change.
    fn is_chain_fenced(&self, head: SocketAddr) -> bool {
        let heartbeat = self.peers.get(head).map(|peer| &peer.heartbeat);
        let number = self.view().number;
        let is_head_fenced = heartbeat.is_some_and(|peer| peer.view == number && peer.is_fenced);
        // A promise that was left over from an earlier view is of no account where this replica has no vote any more.
        let is_fenced_here = self.me().is_some() && self.state.is_fenced();
        is_fenced_here || is_head_fenced
    }

    /// The answer to a command that was submitted here.
    pub(super) fn on_replied(&mut self, start: u64, ticket: u64, reply: Reply) {
        if start == L::start(&self.settings) && self.submissions.answered(ticket) {
            self.outputs.push(Output::Reply { ticket, result: Ok(reply) });
        }
    }
}
