//! Forwarding of entries and reads to the successor, and sending of acknowledgements to the predecessor.

use std::net::SocketAddr;

use whinspindle_consensus::Voter;

use super::Replica;
use crate::application::Application;
use crate::disk::DeferredAction;
use crate::durable::DurableRecord;
use crate::entry::{Entry, Read};
use crate::message::Message;
use crate::protocol_rules::ProtocolRules;

/// Entries are added to a message until it exceeds this size.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// The factor by which the acknowledgement time-out is longer for a member that is still joining.
const JOINING_TIMEOUT_FACTOR: u64 = 3;

impl<A: Application, Rules: ProtocolRules> Replica<A, Rules> {
    /// Appends an entry to the log. The entry is forwarded once it is durable.
    pub(super) fn add_entry(&mut self, entry: Entry) {
        let sequence = entry.sequence;
        self.record(DurableRecord::Entry(entry), true);
        self.disk.defer_until_durable(DeferredAction::Entry(sequence));
    }

    /// Handles entries and reads from the predecessor.
    pub(super) fn on_append(
        &mut self,
        now: u64,
        from: SocketAddr,
        view: u64,
        entries: Vec<Entry>,
        reads: Vec<Read>,
    ) {
        let Some(session) = self.active_session(view) else { return };
        let Some(predecessor) = &mut session.predecessor else { return };
        if predecessor.endpoint != from {
            return;
        }
        if !session.is_complete {
            self.report_state(now);
            return;
        }
        predecessor.has_answered = true;
        let last_before = self.state.last_sequence();
        let has_entries = !entries.is_empty();
        for entry in entries {
            if entry.sequence == self.state.last_sequence() + 1 {
                self.add_entry(entry);
            } else if entry.sequence > self.state.last_sequence() + 1 {
                self.mark_predecessor_unanswered();
                break;
            }
        }
        self.is_acknowledgement_due |= has_entries && self.state.last_sequence() == last_before;
        self.forward_reads(reads);
    }

    /// Lets the next tick report the state of this member to the predecessor again.
    fn mark_predecessor_unanswered(&mut self) {
        let session = self.session.as_mut();
        if let Some(predecessor) = session.and_then(|session| session.predecessor.as_mut()) {
            predecessor.has_answered = false;
        }
    }

    /// Forwards reads immediately. At the tail, they wait until the entries that they were evaluated on are
    /// committed.
    fn forward_reads(&mut self, reads: Vec<Read>) {
        if reads.is_empty() {
            return;
        }
        let Some(session) = &mut self.session else { return };
        let view = session.view;
        match session.successor {
            None => session.waiting_reads.extend(reads),
            Some(successor) if successor.is_ready => {
                let message = Message::Append { view, entries: Vec::new(), reads };
                self.send(successor.endpoint, message);
            }
            Some(_) => {}
        }
    }

    /// Sends the successor the durable entries that were not sent yet, and the reads that were evaluated on
    /// durable entries.
    pub(super) fn forward_entries(&mut self, now: u64) {
        let durable = self.durable_position();
        let resend_interval_ms = self.settings.timing.resend_interval_ms;
        let Some(session) = &mut self.session else { return };
        let view = session.view;
        let Some(successor) = &mut session.successor else { return };
        if !successor.is_ready {
            return;
        }
        successor.rewind_unacknowledged(now, resend_interval_ms);
        let to = successor.endpoint;
        let last_sent = successor.last_sent;
        successor.record_sent(now, durable);
        let ready = session.waiting_reads.iter().take_while(|read| read.after <= durable).count();
        let reads: Vec<Read> = session.waiting_reads.drain(..ready).collect();
        let entries: Vec<Entry> = self.state.entries(last_sent, durable).cloned().collect();
        for entries in split_into_batches(entries) {
            self.send(to, Message::Append { view, entries, reads: Vec::new() });
        }
        if !reads.is_empty() {
            self.send(to, Message::Append { view, entries: Vec::new(), reads });
        }
    }

    /// Handles an acknowledgement of the successor, with its durable and its committed position.
    pub(super) fn on_acknowledge(
        &mut self,
        now: u64,
        from: SocketAddr,
        view: u64,
        last: u64,
        committed: u64,
    ) {
        let Some(session) = self.active_session(view) else { return };
        let Some(successor) = &mut session.successor else { return };
        if successor.endpoint != from {
            return;
        }
        successor.acknowledge(now, last);
        if session.is_complete {
            self.commit_up_to(committed);
        }
    }

    /// Whether a voter is the successor and its acknowledgement is overdue.
    pub(super) fn is_acknowledgement_overdue(&self, now: u64, voter: Voter) -> bool {
        let view = &self.state.decided.view;
        let Some(session) = &self.session else { return false };
        let Some(successor) = &session.successor else { return false };
        if view.endpoint(voter) != Some(successor.endpoint) {
            return false;
        }
        let stall_timeout_ms = self.settings.timing.chain_stall_timeout_ms;
        let timeout_ms =
            if successor.is_ready { stall_timeout_ms } else { JOINING_TIMEOUT_FACTOR * stall_timeout_ms };
        successor.awaiting_since.is_some_and(|since| now > since + timeout_ms)
    }

    /// Sends the durable and the committed position to the predecessor if one of them has changed.
    pub(super) fn acknowledge(&mut self) {
        if !std::mem::take(&mut self.is_acknowledgement_due) {
            return;
        }
        let (last, committed) = (self.durable_position(), self.state.committed);
        let Some(session) = self.current_active_session() else { return };
        let Some(predecessor) = session.predecessor else { return };
        let view = session.view;
        self.send(predecessor.endpoint, Message::Acknowledge { view, last, committed });
    }
}

/// Splits entries into batches for messages of limited size.
fn split_into_batches(entries: Vec<Entry>) -> Vec<Vec<Entry>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = 0;
    for entry in entries {
        bytes += entry.size_bytes();
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
