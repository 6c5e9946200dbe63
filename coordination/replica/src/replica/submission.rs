//! Commands on their way to the head, and their answers.

use std::net::SocketAddr;

use super::Replica;
use crate::application::Application;
use crate::entry::Origin;
use crate::message::Message;
use crate::output::{Output, Reply};
use crate::protocol_rules::ProtocolRules;

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    /// Sends the submitted commands that are due to the head of the chain.
    pub(super) fn send_submissions(&mut self, now: u64) {
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
