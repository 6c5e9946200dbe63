//! Commands on their way to the head, and their answers.

use std::net::SocketAddr;

use whinspindle_consensus::ConsensusRules;

use super::Replica;
use crate::application::{Answer, Application};
use crate::entry::Origin;
use crate::message::Message;
use crate::output::{Output, Reply};
use crate::protocol_rules::ProtocolRules;
use crate::records::Records;

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    /// Sends the submitted commands that are due to the head of the chain.
    pub(super) fn send_submissions(&mut self, now: u64) {
        if self.is_one_of_two_alone() {
            self.answer_reads_alone();
            return;
        }
        let view = self.view();
        let Some(head) = view.head().and_then(|head| view.endpoint(head)) else { return };
        if !self.is_started || self.is_chain_fenced(head) {
            return;
        }
        let (endpoint, start_id) = (self.settings.endpoint, L::start_id(&self.settings));
        let number = view.number;
        for (ticket, command) in self.submissions.due(now, number, &self.settings.timing) {
            let origin = Origin { endpoint, start_id, ticket };
            if L::tail_answers_reads() && self.answer_at_tail(origin, &command) {
                continue;
            }
            self.send(head, Message::Submit { origin, command });
        }
    }

    /// Whether this is one of two voters that are both needed, and the other is out of reach.
    ///
    /// No command can be committed then, so that none is taken: an entry of unknown outcome would stop the reads too.
    pub(super) fn is_one_of_two_alone(&self) -> bool {
        let [voter_set] = self.view().voter_sets.as_slice() else { return false };
        let is_needed = !L::Consensus::is_majority(voter_set.len() - 1, voter_set.len());
        let is_voter = self.me().is_some_and(|me| voter_set.contains(&me));
        voter_set.len() > 1 && is_voter && is_needed && !self.has_majority_contact
    }

    /// Answers, as one of two voters, the submitted commands that write nothing and have one answer whatever else may have
    /// been acknowledged. One that was sent to a head may have been carried out there.
    ///
    /// No view after the present one can have been decided without the vote of this replica, which has accepted none. In the
    /// present view whatever is acknowledged is on its disk, as it is a member of the chain: the state is that of the
    /// committed entries and of any number of those after them in its log.
    fn answer_reads_alone(&mut self) {
        let is_complete = self.session.as_ref().is_some_and(|session| session.is_complete);
        if !is_complete || self.state.has_accepted_another_view() {
            return;
        }
        let (endpoint, start_id) = (self.settings.endpoint, L::start_id(&self.settings));
        let committed = self.state.committed;
        let answer = |(ticket, command)| Some((ticket, self.answer_in_all_states(command)?));
        let answers: Vec<(u64, Vec<u8>)> = self.submissions.unsent().filter_map(answer).collect();
        for (ticket, answer) in answers {
            self.reply(Origin { endpoint, start_id, ticket }, committed, &Answer::Value(answer));
        }
    }

    /// The answer to a command that writes nothing in the committed state and in each state that the entries after it lead
    /// to; `None` if there is not one for all.
    fn answer_in_all_states(&self, command: &[u8]) -> Option<Vec<u8>> {
        let mut records = self.state.records.clone();
        let answer = self.answer_in(&records, command)?;
        for entry in &self.state.log {
            records.apply(entry.sequence, &entry.writes);
            if !L::may_answer_alone(self.answer_in(&records, command).as_ref() == Some(&answer)) {
                return None;
            }
        }
        Some(answer)
    }

    /// The answer to a command in this state; `None` if it writes.
    fn answer_in(&self, records: &Records, command: &[u8]) -> Option<Vec<u8>> {
        let evaluation = self.application.evaluate(records, command);
        evaluation.writes.is_empty().then(|| evaluation.answer.resolve(records))
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
    pub(super) fn on_replied(&mut self, start_id: u64, ticket: u64, reply: Reply) {
        if start_id == L::start_id(&self.settings) && self.submissions.answered(ticket) {
            self.outputs.push(Output::Reply { ticket, result: Ok(reply) });
        }
    }
}
