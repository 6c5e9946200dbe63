//! State transfer along the chain: a member reports its state to the predecessor, which brings it up to date.

use std::net::SocketAddr;

use whinspindle_digests::{RangeDigest, differing_ranges, partition};

use super::Replica;
use crate::application::Application;
use crate::disk::AfterDurable;
use crate::durable::DurableRecord;
use crate::entry::Entry;
use crate::message::{ChainState, Message};
use crate::output::Output;
use crate::protocol_rules::ProtocolRules;
use crate::records::Records;
use crate::transfer::{RangeContents, Transfer};

/// Interval between two reports to a predecessor that does not answer, in milliseconds.
const RESUME_INTERVAL: u64 = 150;
/// Number of ranges that the records are divided into for digests.
const DIGEST_RANGES: usize = 64;

/// The digests of the records, range by range.
pub(super) fn range_digests(records: &Records) -> Vec<RangeDigest> {
    partition(records.by_key(), DIGEST_RANGES)
}

/// The local contents of all ranges whose digest differs at the other replica.
fn differing_contents(records: &Records, digests: &[RangeDigest]) -> Vec<RangeContents> {
    let differing = differing_ranges(records.by_key(), digests);
    differing.into_iter().map(|range| RangeContents::copy(records, range)).collect()
}

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    /// Sends the predecessor the state of this member.
    pub(super) fn resume(&mut self, now: u64) {
        let (last, committed) = (self.durable_last, self.state.committed);
        let is_chain_active = self.is_chain_active();
        let Some(session) = &mut self.session else { return };
        let Some(predecessor) = &mut session.predecessor else { return };
        if !is_chain_active {
            return;
        }
        predecessor.has_answered = false;
        predecessor.requested_at = now;
        let (view, complete, to) = (session.view, session.is_complete, predecessor.endpoint);
        let is_recorded = self.state.complete >= session.since;
        if !complete && is_recorded {
            // Only the disk is waited for.
            return;
        }
        let digests = if complete { Vec::new() } else { range_digests(&self.state.records) };
        let state = ChainState { is_complete: complete, last, committed, digests };
        self.send(to, Message::Resume { view, state });
    }

    /// Sends the state again while the predecessor has not answered.
    pub(super) fn tick_resume(&mut self, now: u64) {
        let Some(session) = &self.session else { return };
        let Some(predecessor) = &session.predecessor else { return };
        if !predecessor.has_answered && now >= predecessor.requested_at + RESUME_INTERVAL {
            self.resume(now);
        }
    }

    /// A predecessor that was restarted does not know the state of this member.
    pub(super) fn on_restart(&mut self, now: u64, endpoint: SocketAddr) {
        let predecessor = self.session.as_ref().and_then(|session| session.predecessor);
        if predecessor.is_some_and(|predecessor| predecessor.endpoint == endpoint) {
            self.resume(now);
        }
    }

    /// The successor reports its state: one that is complete continues with entries, another gets a state transfer.
    pub(super) fn on_resume(&mut self, now: u64, from: SocketAddr, view: u64, state: &ChainState) {
        if !self.is_chain_active() {
            return;
        }
        let Some(session) = self.session.as_mut().filter(|session| session.view == view) else { return };
        if !session.is_complete {
            return;
        }
        let Some(successor) = session.successor.as_mut().filter(|successor| successor.endpoint == from)
        else {
            return;
        };
        if state.is_complete {
            successor.resume_at(state.last);
            self.commit_up_to(state.committed);
            self.send(from, Message::Append { view, entries: Vec::new(), reads: Vec::new() });
        } else if !successor.is_ready {
            // Once it was complete, this question is an old one that was late.
            successor.awaiting_since.get_or_insert(now);
            let transfer = self.transfer(state.committed, &state.digests, true);
            self.send(from, Message::Synchronize { view, transfer });
        }
    }

    /// The transfer from a committed position to the one here. `pending` includes entries that are not committed.
    pub(super) fn transfer(&self, base: u64, digests: &[RangeDigest], pending: bool) -> Transfer {
        let committed = self.state.committed;
        let up_to = if pending { self.durable_last } else { committed };
        let mut transfer = Transfer { base, position: base, committed, ..Transfer::default() };
        match self.recent_entries.after(base, committed) {
            Some(entries) => transfer.entries = entries,
            None => {
                transfer.ranges = differing_contents(&self.state.records, digests);
                transfer.position = committed;
                if L::transfers_outcomes() {
                    transfer.outcomes = self.state.outcomes.iter().cloned().collect();
                }
            }
        }
        let after = base.max(committed);
        transfer.entries.extend(self.state.entries(after, up_to).cloned());
        transfer
    }

    /// The state transfer of the predecessor: after it the log is complete in this view.
    pub(super) fn on_synchronize(&mut self, from: SocketAddr, view: u64, transfer: Transfer) {
        if !self.is_chain_active() {
            return;
        }
        let Some(session) = self.session.as_mut().filter(|session| session.view == view) else { return };
        let is_recorded = self.state.complete >= session.since;
        let Some(predecessor) = &mut session.predecessor else { return };
        if predecessor.endpoint != from || is_recorded || transfer.base != self.state.committed {
            return;
        }
        predecessor.has_answered = true;
        self.replace_ranges(&transfer);
        let last = transfer.last();
        self.adopt_entries(transfer.entries);
        self.truncate(last);
        self.learn_committed(transfer.committed);
        self.disk.after_durable(AfterDurable::Entry(last));
        self.record(DurableRecord::Complete(view), true);
        self.disk.after_durable(AfterDurable::Complete(view));
    }

    /// The log is durably complete in this view: the member takes its full part in the chain.
    pub(super) fn on_complete(&mut self, now: u64, view: u64) {
        self.durable_complete = self.durable_complete.max(view);
        let Some(session) = &mut self.session else { return };
        if self.durable_complete < session.since || session.is_complete {
            return;
        }
        session.is_complete = true;
        let (view, successor) = (session.view, session.successor);
        self.resume(now);
        if let Some(successor) = successor {
            // It may have asked before there was something to tell.
            self.send(successor.endpoint, Message::Append { view, entries: Vec::new(), reads: Vec::new() });
        }
    }

    /// Replaces the ranges of records that differ.
    pub(super) fn replace_ranges(&mut self, transfer: &Transfer) {
        if transfer.position == transfer.base {
            return;
        }
        let Transfer { position, ranges, outcomes, .. } = transfer.clone();
        self.recent_entries.clear();
        self.record(DurableRecord::Replace { position, ranges, outcomes }, true);
        self.durable_last = self.durable_last.max(position);
        self.outputs.push(Output::RecordsReplaced);
    }

    /// Adds entries to the log. An entry of the log that differs from one of them, and all after it, was never committed:
    /// they come from a log that holds all that was.
    pub(super) fn adopt_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let sequence = entry.sequence;
            let known = self.state.entry(sequence);
            if known == Some(&entry) {
                continue;
            }
            if known.is_some() {
                self.truncate(sequence - 1);
            }
            if sequence == self.state.last() + 1 {
                self.add_entry(entry);
            }
        }
    }

    /// Drops the entries after this one.
    pub(super) fn truncate(&mut self, last: u64) {
        if self.state.last() > last {
            self.record(DurableRecord::Truncate(last), true);
        }
        self.disk.forget_entries(last);
        self.durable_last = self.durable_last.min(last);
    }

    /// Commits entries that are known to be committed elsewhere, durable here or not.
    pub(super) fn learn_committed(&mut self, committed: u64) {
        let entries: Vec<Entry> = self.state.entries(self.state.committed, committed).cloned().collect();
        if entries.is_empty() {
            return;
        }
        let last = self.state.committed + entries.len() as u64;
        self.record(DurableRecord::Committed(last), true);
        for entry in entries {
            self.publish_committed(entry);
        }
    }
}
