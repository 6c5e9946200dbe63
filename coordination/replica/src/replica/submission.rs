//! Sending of submitted commands to the head, and handling of their answers.

use std::net::SocketAddr;

use whinspindle_consensus::ConsensusRules;

use super::Replica;
use crate::application::{Answer, Application};
use crate::entry::Origin;
use crate::message::Message;
use crate::output::{Output, Reply};
use crate::protocol_rules::ProtocolRules;
use crate::records::Records;

impl<A: Application, Rules: ProtocolRules> Replica<A, Rules> {
    /// Sends the commands that are due to the head of the chain.
    pub(super) fn send_submissions(&mut self, now: u64) {
        if self.is_isolated_from_required_voter() {
            self.answer_reads_alone();
            return;
        }
        let view = self.view();
        let Some(head) = view.head().and_then(|head| view.endpoint(head)) else { return };
        if !self.is_started || self.is_chain_fenced(head) {
            return;
        }
        let (endpoint, start_id) = (self.settings.endpoint, Rules::start_id(&self.settings));
        let number = view.number;
        for (ticket, command) in self.submissions.take_due(now, number, &self.settings.timing) {
            let origin = Origin { endpoint, start_id, ticket };
            if Rules::tail_answers_reads() && self.answer_at_tail(origin, &command) {
                continue;
            }
            self.send(head, Message::Submit { origin, command });
        }
    }

    /// Whether this replica is one of two voters that are both required, and the other one is unreachable.
    ///
    /// Commands are then not accepted, because none can be committed, and an entry with an unknown outcome
    /// would prevent reads too.
    pub(super) fn is_isolated_from_required_voter(&self) -> bool {
        let [voter_set] = self.view().voter_sets.as_slice() else { return false };
        let is_other_required = !Rules::Consensus::is_majority(voter_set.len() - 1, voter_set.len());
        let is_voter = self.own_voter().is_some_and(|voter| voter_set.contains(&voter));
        voter_set.len() > 1 && is_voter && is_other_required && !self.has_majority_contact
    }

    /// As one of two voters, answers submitted reads whose answer is the same whatever else may have been
    /// acknowledged. Skips commands that were sent to a head, because they may have been executed there.
    ///
    /// No view after the current one can have been decided without the vote of this replica, which has
    /// accepted none. In the current view, all acknowledged entries are on the disk of this replica,
    /// because it is a member of the chain. The current state therefore consists of the committed entries
    /// and any number of the log entries after them.
    fn answer_reads_alone(&mut self) {
        let is_complete = self.session.as_ref().is_some_and(|session| session.is_complete);
        if !is_complete || self.state.has_accepted_another_view() {
            return;
        }
        let (endpoint, start_id) = (self.settings.endpoint, Rules::start_id(&self.settings));
        let committed = self.state.committed;
        let answer = |(ticket, command)| Some((ticket, self.answer_in_all_states(command)?));
        let answers: Vec<(u64, Vec<u8>)> = self.submissions.unsent().filter_map(answer).collect();
        for (ticket, answer) in answers {
            self.reply(Origin { endpoint, start_id, ticket }, committed, &Answer::Value(answer));
        }
    }

    /// The answer to a read if it is the same in the committed state and in each state that results from
    /// applying further log entries; `None` otherwise.
    fn answer_in_all_states(&self, command: &[u8]) -> Option<Vec<u8>> {
        let mut records = self.state.records.clone();
        let answer = self.answer_in(&records, command)?;
        for entry in &self.state.log {
            records.apply(entry.sequence, &entry.writes);
            if !Rules::may_answer_alone(self.answer_in(&records, command).as_ref() == Some(&answer)) {
                return None;
            }
        }
        Some(answer)
    }

    /// The answer to a command in a given state; `None` if the command writes.
    fn answer_in(&self, records: &Records, command: &[u8]) -> Option<Vec<u8>> {
        let evaluation = self.application.evaluate(records, command);
        evaluation.writes.is_empty().then(|| evaluation.answer.resolve(records))
    }

    /// Whether the chain of the current view is fenced, according to the votes of this replica and of the
    /// head. A fenced head would drop all commands, and large commands would delay the messages of the view
    /// change.
    fn is_chain_fenced(&self, head: SocketAddr) -> bool {
        let heartbeat = self.peers.get(head).map(|peer| &peer.heartbeat);
        let number = self.view().number;
        let is_head_fenced = heartbeat.is_some_and(|peer| peer.view == number && peer.is_fenced);
        // A promise left over from an earlier view does not matter if this replica is no longer a voter.
        let is_own_fenced = self.own_voter().is_some() && self.state.is_fenced();
        is_own_fenced || is_head_fenced
    }

    /// Handles the answer to a command that was submitted to this replica.
    pub(super) fn on_replied(&mut self, start_id: u64, ticket: u64, reply: Reply) {
        if start_id == Rules::start_id(&self.settings) && self.submissions.remove_answered(ticket) {
            self.outputs.push(Output::Reply { ticket, result: Ok(reply) });
        }
    }
}
