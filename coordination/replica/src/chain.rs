//! The chain of one view: entries and reads pass from the head to the tail, acknowledgements come back.

use std::collections::VecDeque;
use std::net::SocketAddr;

use whinspindle_consensus::Voter;

use crate::application::{Answer, Application};
use crate::disk::AfterDurable;
use crate::durable::DurableRecord;
use crate::entry::{Entry, Origin, Read};
use crate::message::Message;
use crate::protocol_rules::ProtocolRules;
use crate::replica::{Output, Replica};
use crate::session::{Predecessor, Session, Successor};

/// The head takes no more commands while so many entries are not committed.
const MAX_PENDING_ENTRIES: usize = 1_024;
/// The head takes no more commands while entries of so many bytes are not committed.
const MAX_PENDING_BYTES: usize = 16 * 1024 * 1024;
/// A message holds entries up to about this many bytes.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// How much longer a member that is still being brought up to date may owe an acknowledgement.
const JOINING_STALL_FACTOR: u64 = 3;

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    /// Takes this replica's place in the view that was adopted or recovered.
    pub(crate) fn begin_session(&mut self, now: u64) {
        let view = &self.state.decided.view;
        let link = self.me().and_then(|me| view.link(me).copied());
        let is_recorded = link.is_some_and(|link| L::complete(self.state.complete, link.since) >= link.since);
        if !is_recorded && !L::keeps_entries() {
            self.truncate(self.state.committed);
        }
        let view = &self.state.decided.view;
        let Some(link) = link else {
            self.session = None;
            return;
        };
        let endpoint = |voter: Option<Voter>| voter.and_then(|voter| view.endpoint(voter));
        let predecessor = endpoint(view.predecessor(link.voter));
        let successor = endpoint(view.successor(link.voter));
        let is_head = view.head() == Some(link.voter);
        self.session = Some(Session {
            view: view.number,
            since: link.since,
            predecessor: predecessor.map(Predecessor::new),
            successor: successor.map(|endpoint| Successor::new(endpoint, now)),
            is_complete: is_recorded && L::complete(self.durable_complete, link.since) >= link.since,
            newest: None,
            reads: VecDeque::new(),
        });
        if is_head {
            self.build_newest();
        }
        self.resume(now);
    }

    /// Up to which entry the log is of use if this replica is left out of the chain. At the tail, what the head took in
    /// the same view and is not committed here is committed nowhere.
    pub(crate) fn last_useful_entry(&self) -> u64 {
        let tail = self.session.as_ref().filter(|session| session.successor.is_none());
        let void = tail.and_then(|tail| self.state.log.iter().find(|entry| entry.view >= tail.view));
        void.map_or(self.state.last(), |entry| entry.sequence - 1)
    }

    fn build_newest(&mut self) {
        let mut newest = self.state.records.clone();
        for entry in &self.state.log {
            newest.apply(entry.sequence, &entry.writes);
        }
        if let Some(session) = &mut self.session {
            session.newest = Some(newest);
        }
    }

    /// The session of this view, if no vote binds this replica to a newer one.
    fn active(&mut self, view: u64) -> Option<&mut Session> {
        if !self.is_chain_active() {
            return None;
        }
        self.session.as_mut().filter(|session| session.view == view)
    }

    fn active_now(&mut self) -> Option<&mut Session> {
        let view = self.state.decided.view.number;
        self.active(view)
    }

    /// Whether the chain of the present view goes on here.
    pub(crate) fn is_chain_active(&self) -> bool {
        !self.state.is_fenced()
    }

    /// Up to which entry the log may be acknowledged, passed on and committed.
    fn durable_position(&self) -> u64 {
        L::durable_position(self.durable_last, self.state.last())
    }

    /// Whether this is the head of a chain that takes writes.
    fn accepts_commands(&self) -> bool {
        let view = &self.state.decided.view;
        let is_head = self.me().is_some() && view.head() == self.me();
        let is_complete = self.session.as_ref().is_some_and(|session| session.is_complete);
        is_head
            && is_complete
            && self.is_chain_active()
            && view.takes_writes(self.settings.tolerance.machines)
    }

    pub(crate) fn on_submit(&mut self, origin: Origin, command: &[u8]) {
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

    fn pending_bytes(&self) -> usize {
        self.state.log.iter().map(Entry::size).sum()
    }

    /// Answers a read that was submitted here from the committed records; returns whether it did.
    pub(crate) fn answer_at_tail(&mut self, origin: Origin, command: &[u8]) -> bool {
        let is_tail = self.me().is_some() && self.view().tail() == self.me();
        let evaluation = self.application.evaluate(&self.state.records, command);
        if !is_tail || !evaluation.writes.is_empty() {
            return false;
        }
        self.reply(origin, self.state.committed, &evaluation.answer);
        true
    }

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

    /// Adds an entry to the log, and goes on with it once it is durable.
    pub(crate) fn add_entry(&mut self, entry: Entry) {
        let sequence = entry.sequence;
        self.record(DurableRecord::Entry(entry), true);
        self.disk.after_durable(AfterDurable::Entry(sequence));
    }

    pub(crate) fn on_append(
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

    /// The predecessor seems not to know where this member stands: it is told again with the next tick.
    fn mark_predecessor_unanswered(&mut self) {
        let session = self.session.as_mut();
        if let Some(predecessor) = session.and_then(|session| session.predecessor.as_mut()) {
            predecessor.has_answered = false;
        }
    }

    /// Reads pass at once; at the tail they wait until what they saw is committed.
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

    pub(crate) fn on_acknowledge(
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

    /// Whether the next member in the chain is this voter and has not acknowledged for too long.
    pub(crate) fn is_acknowledgement_overdue(&self, now: u64, voter: Voter) -> bool {
        let view = &self.state.decided.view;
        let Some(session) = &self.session else { return false };
        let Some(successor) = &session.successor else { return false };
        if view.endpoint(voter) != Some(successor.endpoint) {
            return false;
        }
        let stall = self.settings.timing.chain_stall;
        let patience = if successor.is_ready { stall } else { JOINING_STALL_FACTOR * stall };
        successor.awaiting_since.is_some_and(|since| now > since + patience)
    }

    /// Does whatever has become possible: passes on, commits, answers, acknowledges.
    pub(crate) fn advance_chain(&mut self, now: u64) {
        if !self.is_chain_active() || !self.session.as_ref().is_some_and(|session| session.is_complete) {
            return;
        }
        let is_tail = self.session.as_ref().is_some_and(|session| session.successor.is_none());
        if is_tail {
            self.commit_at_tail();
            self.answer_reads();
        } else {
            self.forward_entries(now);
        }
        self.acknowledge();
    }

    fn commit_at_tail(&mut self) {
        if self.state.decided.view.takes_writes(self.settings.tolerance.machines) {
            self.commit_up_to(self.durable_position());
        }
    }

    /// Sends the successor the durable entries that it has not been sent, and reads that saw nothing beyond.
    fn forward_entries(&mut self, now: u64) {
        let durable = self.durable_position();
        let resend = self.settings.timing.resend;
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

    /// Commits entries that are durable at all members of the chain.
    pub(crate) fn commit_up_to(&mut self, sequence: u64) {
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
        self.acknowledgement_due = true;
        if is_tail {
            self.notify_learners(&entries);
        }
        for entry in entries {
            self.publish_committed(entry);
        }
    }

    /// Tells the embedding program of a committed entry, and keeps it for those that lag.
    pub(crate) fn publish_committed(&mut self, entry: Entry) {
        let Entry { sequence, ref writes, .. } = entry;
        self.outputs.push(Output::Committed { sequence, writes: writes.clone() });
        self.recent_entries.add(entry);
    }

    fn answer_reads(&mut self) {
        let committed = self.state.committed;
        let Some(session) = &mut self.session else { return };
        let (ready, waiting): (VecDeque<Read>, VecDeque<Read>) =
            session.reads.drain(..).partition(|read| read.after <= committed);
        session.reads = waiting;
        for read in ready {
            self.reply(read.origin, committed, &read.answer);
        }
    }

    fn reply(&mut self, origin: Origin, sequence: u64, answer: &Answer) {
        let answer = match answer {
            Answer::Value(value) => value.clone(),
            Answer::Record(key) => {
                let record = self.state.records.get(key);
                record.map(|record| record.value.to_vec()).unwrap_or_default()
            }
        };
        let Origin { endpoint, start, ticket } = origin;
        self.send(endpoint, Message::Replied { start, ticket, sequence, answer });
    }

    /// Tells the predecessor what is durable and committed here, if that has changed.
    fn acknowledge(&mut self) {
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
