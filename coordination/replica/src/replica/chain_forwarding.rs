//! Forwarding of entries and reads to the successor, and of acknowledgements to the predecessor.

use std::net::SocketAddr;

use whinspindle_consensus::Voter;

use super::Replica;
use crate::application::Application;
use crate::disk::AfterDurable;
use crate::durable::DurableRecord;
use crate::entry::{Entry, Read};
use crate::message::Message;
use crate::protocol_rules::ProtocolRules;

/// The size up to which entries are put into one message, in bytes.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// How many times longer a member that is still being brought up to date may take to acknowledge.
const JOINING_STALL_FACTOR: u64 = 3;

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    /// Appends an entry to the log; it is forwarded once it is durable.
    pub(super) fn add_entry(&mut self, entry: Entry) {
        let sequence = entry.sequence;
        self.record(DurableRecord::Entry(entry), true);
        self.disk.after_durable(AfterDurable::Entry(sequence));
    }

    /// Entries and reads arrive from the predecessor.
    pub(super) fn on_append(
        &mut self,
        now: u64,
        from: SocketAddr,
        view: u64,
        entries: Vec<Entry>,
        reads: Vec<Read>,
    ) {
        let Some(session) = self.active(view) else { return };
        let Some(predecessor) = &mut session.predecessor else { return };
        if predecessor.endpoint != from {
            return;
        }
        if !session.is_complete {
            self.resume(now);
            return;
        }
        predecessor.has_answered = true;
        let before = self.state.last();
        let is_repeated = !entries.is_empty();
        for entry in entries {
            if entry.sequence == self.state.last() + 1 {
                self.add_entry(entry);
            } else if entry.sequence > self.state.last() + 1 {
                self.mark_predecessor_unanswered();
                break;
            }
        }
        self.acknowledgement_due |= is_repeated && self.state.last() == before;
        self.forward_reads(reads);
    }

    /// Has the next tick send the state of this member to the predecessor again.
    fn mark_predecessor_unanswered(&mut self) {
        let session = self.session.as_mut();
        if let Some(predecessor) = session.and_then(|session| session.predecessor.as_mut()) {
            predecessor.has_answered = false;
        }
    }

    /// Forwards reads at once; at the tail they wait until the entries they were evaluated on are committed.
    fn forward_reads(&mut self, reads: Vec<Read>) {
        if reads.is_empty() {
            return;
        }
        let Some(session) = &mut self.session else { return };
        let view = session.view;
        match session.successor {
            None => session.reads.extend(reads),
            Some(successor) if successor.is_ready => {
                let message = Message::Append { view, entries: Vec::new(), reads };
                self.send(successor.endpoint, message);
            }
            Some(_) => {}
        }
    }

    /// Sends the successor the durable entries that it has not been sent, and the reads evaluated on no later ones.
    pub(super) fn forward_entries(&mut self, now: u64) {
        let durable = self.durable_position();
        let resend = self.settings.timing.resend_interval_ms;
        let Some(session) = &mut self.session else { return };
        let view = session.view;
        let Some(successor) = &mut session.successor else { return };
        if !successor.is_ready {
            return;
        }
        successor.rewind_unacknowledged(now, resend);
        let to = successor.endpoint;
        let from = successor.sent;
        successor.send(now, durable);
        let ready = session.reads.iter().take_while(|read| read.after <= durable).count();
        let reads: Vec<Read> = session.reads.drain(..ready).collect();
        let entries: Vec<Entry> = self.state.entries(from, durable).cloned().collect();
        for entries in batches(entries) {
            self.send(to, Message::Append { view, entries, reads: Vec::new() });
        }
        if !reads.is_empty() {
            self.send(to, Message::Append { view, entries: Vec::new(), reads });
        }
    }

    /// The successor has made entries durable and knows of a committed position.
    pub(super) fn on_acknowledge(
        &mut self,
        now: u64,
        from: SocketAddr,
        view: u64,
        last: u64,
        committed: u64,
    ) {
        let Some(session) = self.active(view) else { return };
        let Some(successor) = &mut session.successor else { return };
        if successor.endpoint != from {
            return;
        }
        successor.acknowledge(now, last);
        if session.is_complete {
            self.commit_up_to(committed);
        }
    }

    /// Whether this voter is the successor and has not acknowledged in time.
    pub(super) fn is_acknowledgement_overdue(&self, now: u64, voter: Voter) -> bool {
        let view = &self.state.decided.view;
        let Some(session) = &self.session else { return false };
        let Some(successor) = &session.successor else { return false };
        if view.endpoint(voter) != Some(successor.endpoint) {
            return false;
        }
        let stall = self.settings.timing.chain_stall_timeout_ms;
        let patience = if successor.is_ready { stall } else { JOINING_STALL_FACTOR * stall };
        successor.awaiting_since.is_some_and(|since| now > since + patience)
    }

    /// Sends the predecessor the durable and the committed position, if one has changed.
    pub(super) fn acknowledge(&mut self) {
        if !std::mem::take(&mut self.acknowledgement_due) {
            return;
        }
        let (last, committed) = (self.durable_position(), self.state.committed);
        let Some(session) = self.active_now() else { return };
        let Some(predecessor) = session.predecessor else { return };
        let view = session.view;
        self.send(predecessor.endpoint, Message::Acknowledge { view, last, committed });
    }
}

/// Splits entries into messages of a moderate size.
fn batches(entries: Vec<Entry>) -> Vec<Vec<Entry>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = 0;
    for entry in entries {
        bytes += entry.size();
        batch.push(entry);
        if bytes > MAX_MESSAGE_BYTES {
            batches.push(std::mem::take(&mut batch));
            bytes = 0;
        }
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches
}
