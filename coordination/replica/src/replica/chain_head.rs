//! The head of the chain, which evaluates commands in the order of their arrival.

use super::Replica;
use crate::application::Application;
use crate::entry::{Entry, Origin, Read};
use crate::protocol_rules::ProtocolRules;

/// The head drops commands while this many entries are not committed.
const MAX_PENDING_ENTRIES: usize = 1_024;
/// The head drops commands while entries of this total size are not committed.
const MAX_PENDING_BYTES: usize = 16 * 1024 * 1024;

impl<A: Application, Rules: ProtocolRules> Replica<A, Rules> {
    /// Handles a command at the head. Answers a command that was executed before with its kept outcome.
    pub(super) fn on_submit(&mut self, origin: Origin, command: &[u8]) {
        if !self.accepts_commands() || Rules::is_duplicate(self.state.is_pending(origin)) {
            return;
        }
        if let Some(outcome) = self.state.outcome(origin).filter(|_| Rules::is_duplicate(true)) {
            let (sequence, answer) = (outcome.sequence, outcome.answer.clone());
            self.reply(origin, sequence, &answer);
            return;
        }
        if self.state.log.len() >= MAX_PENDING_ENTRIES || self.pending_bytes() >= MAX_PENDING_BYTES {
            return;
        }
        self.execute_command(origin, command);
    }

    /// Whether this replica is the head of a chain that accepts commands.
    fn accepts_commands(&self) -> bool {
        let view = &self.state.decided.view;
        let is_head = self.own_voter().is_some() && view.head() == self.own_voter();
        let is_complete = self.session.as_ref().is_some_and(|session| session.is_complete);
        is_head
            && is_complete
            && self.is_chain_active()
            && !self.is_isolated_from_required_voter()
            && view.accepts_writes(self.settings.tolerance.machines)
    }

    /// The total size of the entries that are not committed.
    fn pending_bytes(&self) -> usize {
        self.state.log.iter().map(Entry::size_bytes).sum()
    }

    /// Evaluates a command at the head. Appends an entry with its writes, or queues it as a read.
    fn execute_command(&mut self, origin: Origin, command: &[u8]) {
        let last = self.state.last_sequence();
        let view = self.state.decided.view.number;
        let Some(session) = &mut self.session else { return };
        let Some(newest_records) = &mut session.newest_records else { return };
        let evaluation = self.application.evaluate(newest_records, command);
        if evaluation.writes.is_empty() && Rules::head_answers_reads() {
            self.reply(origin, last, &evaluation.answer);
            return;
        }
        if evaluation.writes.is_empty() {
            session.waiting_reads.push_back(Read { after: last, answer: evaluation.answer, origin });
            return;
        }
        let sequence = last + 1;
        newest_records.apply(sequence, &evaluation.writes);
        let (writes, answer) = (evaluation.writes, evaluation.answer);
        self.add_entry(Entry { sequence, view, writes, answer, origin });
    }

    /// Answers a read at the tail from the committed records. Returns whether it was answered. Only faulty
    /// protocol rules call this method.
    pub(super) fn answer_at_tail(&mut self, origin: Origin, command: &[u8]) -> bool {
        let is_tail = self.own_voter().is_some() && self.view().tail() == self.own_voter();
        let evaluation = self.application.evaluate(&self.state.records, command);
        if !is_tail || !evaluation.writes.is_empty() {
            return false;
        }
        self.reply(origin, self.state.committed, &evaluation.answer);
        true
    }
}
