//! Commits at the members of the chain, and answers at the tail.

use std::collections::VecDeque;

use super::Replica;
use crate::application::{Answer, Application};
use crate::durable::DurableRecord;
use crate::entry::{Entry, Origin, Read};
use crate::message::Message;
use crate::output::Output;
use crate::protocol_rules::ProtocolRules;

impl<A: Application, Rules: ProtocolRules> Replica<A, Rules> {
    /// Commits the durable entries at the tail, since they are durable at all members.
    pub(super) fn commit_at_tail(&mut self) {
        if self.state.decided.view.accepts_writes(self.settings.tolerance.machines) {
            self.commit_up_to(self.durable_position());
        }
    }

    /// Commits entries up to a position that are durable at all members of the chain.
    pub(super) fn commit_up_to(&mut self, sequence: u64) {
        let sequence = sequence.min(self.durable_position());
        if sequence <= self.state.committed {
            return;
        }
        let entries: Vec<Entry> = self.state.entries(self.state.committed, sequence).cloned().collect();
        let is_tail = self.session.as_ref().is_some_and(|session| session.successor.is_none());
        for entry in &entries {
            self.state.apply(DurableRecord::Committed(entry.sequence));
            if is_tail {
                self.reply(entry.origin, entry.sequence, &entry.answer);
            }
        }
        self.record(DurableRecord::Committed(sequence), false);
        self.is_acknowledgement_due = true;
        if is_tail {
            self.notify_learners(&entries);
        }
        for entry in entries {
            self.publish_committed(entry);
        }
    }

    /// Reports a committed entry to the embedding program, and caches it for replicas that are slightly
    /// behind.
    pub(super) fn publish_committed(&mut self, entry: Entry) {
        let Entry { sequence, ref writes, .. } = entry;
        self.outputs.push(Output::Committed { sequence, writes: writes.clone() });
        self.recent_entries.add(entry);
    }

    /// Answers the reads that were evaluated on committed entries.
    pub(super) fn answer_reads(&mut self) {
        let committed = self.state.committed;
        let Some(session) = &mut self.session else { return };
        let (ready, waiting): (VecDeque<Read>, VecDeque<Read>) =
            session.waiting_reads.drain(..).partition(|read| read.after <= committed);
        session.waiting_reads = waiting;
        for read in ready {
            self.reply(read.origin, committed, &read.answer);
        }
    }

    /// Sends an answer to the replica that the command was submitted to.
    pub(super) fn reply(&mut self, origin: Origin, sequence: u64, answer: &Answer) {
        let answer = answer.resolve(&self.state.records);
        let Origin { endpoint, start_id, ticket } = origin;
        self.send(endpoint, Message::Replied { start_id, ticket, sequence, answer });
    }
}
