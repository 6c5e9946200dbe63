//! The head of the chain: evaluates commands, in the order in which they arrive.

use super::Replica;
use crate::application::Application;
use crate::entry::{Entry, Origin, Read};
use crate::protocol_rules::ProtocolRules;

/// The head takes no more commands while this many entries are not committed.
const MAX_PENDING_ENTRIES: usize = 1_024;
/// The head takes no more commands while entries of this many bytes are not committed.
const MAX_PENDING_BYTES: usize = 16 * 1024 * 1024;

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    /// A command arrives at the head. One that was carried out before is answered with its kept outcome.
    pub(super) fn on_submit(&mut self, origin: Origin, command: &[u8]) {
        if !self.accepts_commands() || L::is_duplicate(self.state.is_pending(origin)) {
            return;
        }
        if let Some(outcome) = self.state.outcome(origin).filter(|_| L::is_duplicate(true)) {
            let (sequence, answer) = (outcome.sequence, outcome.answer.clone());
            self.reply(origin, sequence, &answer);
            return;
        }
        if self.state.log.len() >= MAX_PENDING_ENTRIES || self.pending_bytes() >= MAX_PENDING_BYTES {
            return;
        }
        self.execute_command(origin, command);
    }

    /// Whether this is the head of a chain that takes writes.
    fn accepts_commands(&self) -> bool {
        let view = &self.state.decided.view;
        let is_head = self.me().is_some() && view.head() == self.me();
        let is_complete = self.session.as_ref().is_some_and(|session| session.is_complete);
        is_head
            && is_complete
            && self.is_chain_active()
            && !self.is_one_of_two_alone()
            && view.accepts_writes(self.settings.tolerance.machines)
    }

    /// The size of the entries that are not committed, in bytes.
    fn pending_bytes(&self) -> usize {
        self.state.log.iter().map(Entry::size).sum()
    }

    /// Evaluates a command at the head and appends its writes, or queues its read.
    fn execute_command(&mut self, origin: Origin, command: &[u8]) {
        let last = self.state.last();
        let view = self.state.decided.view.number;
        let Some(session) = &mut self.session else { return };
        let Some(newest) = &mut session.newest else { return };
        let evaluation = self.application.evaluate(newest, command);
        if evaluation.writes.is_empty() && L::head_answers_reads() {
            self.reply(origin, last, &evaluation.answer);
            return;
        }
        if evaluation.writes.is_empty() {
            session.reads.push_back(Read { after: last, answer: evaluation.answer, origin });
            return;
        }
        let sequence = last + 1;
        newest.apply(sequence, &evaluation.writes);
        let (writes, answer) = (evaluation.writes, evaluation.answer);
        self.add_entry(Entry { sequence, view, writes, answer, origin });
    }

    /// Answers a read that was submitted at the tail from the committed records; returns whether it did. Only faulty
    /// protocol rules use it.
    pub(super) fn answer_at_tail(&mut self, origin: Origin, command: &[u8]) -> bool {
        let is_tail = self.me().is_some() && self.view().tail() == self.me();
        let evaluation = self.application.evaluate(&self.state.records, command);
        if !is_tail || !evaluation.writes.is_empty() {
            return false;
        }
        self.reply(origin, self.state.committed, &evaluation.answer);
        true
    }
}
