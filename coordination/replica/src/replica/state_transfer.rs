//! State transfer along the chain: a member reports its state to its predecessor, which sends the missing
//! state.

use std::net::SocketAddr;

use whinspindle_digests::{RangeDigest, differing_ranges, partition};

use super::Replica;
use crate::application::Application;
use crate::disk::DeferredAction;
use crate::durable::DurableRecord;
use crate::entry::Entry;
use crate::message::{ChainState, Message};
use crate::output::Output;
use crate::protocol_rules::ProtocolRules;
use crate::records::Records;
use crate::transfer::{RangeContents, Transfer};

/// The interval between two reports to a predecessor that does not answer.
const RESUME_INTERVAL_MS: u64 = 150;
/// The number of ranges into which the records are divided for digests.
const DIGEST_RANGES: usize = 64;

/// The digests of all ranges of the records.
pub(super) fn range_digests(records: &Records) -> Vec<RangeDigest> {
    partition(records.by_key(), DIGEST_RANGES)
}

/// The local contents of all ranges whose digests differ at the other replica.
fn differing_contents(records: &Records, digests: &[RangeDigest]) -> Vec<RangeContents> {
    let differing = differing_ranges(records.by_key(), digests);
    differing.into_iter().map(|range| RangeContents::copy(records, range)).collect()
}

impl<A: Application, Rules: ProtocolRules> Replica<A, Rules> {
    /// Reports the state of this member to the predecessor.
    pub(super) fn report_state(&mut self, now: u64) {
        let (last, committed) = (self.durable_last, self.state.committed);
        let is_chain_active = self.is_chain_active();
        let Some(session) = &mut self.session else { return };
        let Some(predecessor) = &mut session.predecessor else { return };
        if !is_chain_active {
            return;
        }
        predecessor.has_answered = false;
        predecessor.reported_at = now;
        let (view, is_complete, to) = (session.view, session.is_complete, predecessor.endpoint);
        let is_recorded = self.state.complete_view >= session.since_view;
        if !is_complete && is_recorded {
            // The state transfer is done, but not durable yet.
            return;
        }
        let digests = if is_complete { Vec::new() } else { range_digests(&self.state.records) };
        let state = ChainState { is_complete, last, committed, digests };
        self.send(to, Message::Resume { view, state });
    }

    /// Reports the state again while the predecessor has not answered.
    pub(super) fn tick_resume(&mut self, now: u64) {
        let Some(session) = &self.session else { return };
        let Some(predecessor) = &session.predecessor else { return };
        if !predecessor.has_answered && now >= predecessor.reported_at + RESUME_INTERVAL_MS {
            self.report_state(now);
        }
    }

    /// Handles the restart of a peer. A restarted predecessor does not know the state of this member.
    pub(super) fn on_peer_restart(&mut self, now: u64, endpoint: SocketAddr) {
        let predecessor = self.session.as_ref().and_then(|session| session.predecessor);
        if predecessor.is_some_and(|predecessor| predecessor.endpoint == endpoint) {
            self.report_state(now);
        }
    }

    /// Handles a state report of the successor. A successor with a complete log continues to receive
    /// entries; another one gets a state transfer.
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
            // If the successor is ready, this report is an old one that was delayed.
            successor.awaiting_since.get_or_insert(now);
            let transfer = self.build_transfer(state.committed, &state.digests, true);
            self.send(from, Message::Synchronize { view, transfer });
        }
    }

    /// Builds a transfer from a committed position to the current one. `includes_uncommitted` adds entries
    /// that are durable but not committed.
    pub(super) fn build_transfer(
        &self,
        base: u64,
        digests: &[RangeDigest],
        includes_uncommitted: bool,
    ) -> Transfer {
        let committed = self.state.committed;
        let up_to = if includes_uncommitted { self.durable_last } else { committed };
        let mut transfer = Transfer { base, position: base, committed, ..Transfer::default() };
        match self.recent_entries.after(base, committed) {
            Some(entries) => transfer.entries = entries,
            None => {
                transfer.ranges = differing_contents(&self.state.records, digests);
                transfer.position = committed;
                if Rules::transfers_outcomes() {
                    transfer.outcomes = self.state.outcomes.iter().cloned().collect();
                }
            }
        }
        let after = base.max(committed);
        transfer.entries.extend(self.state.entries(after, up_to).cloned());
        transfer
    }

    /// Handles a state transfer of the predecessor, which makes the log complete in this view.
    pub(super) fn on_synchronize(&mut self, from: SocketAddr, view: u64, transfer: Transfer) {
        if !self.is_chain_active() {
            return;
        }
        let Some(session) = self.session.as_mut().filter(|session| session.view == view) else { return };
        let is_recorded = self.state.complete_view >= session.since_view;
        let Some(predecessor) = &mut session.predecessor else { return };
        if predecessor.endpoint != from || is_recorded || transfer.base != self.state.committed {
            return;
        }
        predecessor.has_answered = true;
        self.replace_ranges(&transfer);
        let last = transfer.last_sequence();
        self.adopt_entries(transfer.entries);
        self.truncate(last);
        self.learn_committed(transfer.committed);
        self.disk.defer_until_durable(DeferredAction::Entry(last));
        self.record(DurableRecord::Complete(view), true);
        self.disk.defer_until_durable(DeferredAction::Complete(view));
    }

    /// Handles that the log is durably complete in this view. From now on, the member forwards and commits
    /// entries.
    pub(super) fn on_log_complete(&mut self, now: u64, view: u64) {
        self.durable_complete = self.durable_complete.max(view);
        let Some(session) = &mut self.session else { return };
        if self.durable_complete < session.since_view || session.is_complete {
            return;
        }
        session.is_complete = true;
        let (view, successor) = (session.view, session.successor);
        self.report_state(now);
        if let Some(successor) = successor {
            // The successor may have reported its state before this member could answer.
            self.send(successor.endpoint, Message::Append { view, entries: Vec::new(), reads: Vec::new() });
        }
    }

    /// Replaces the differing ranges of records with those of a transfer.
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

    /// Adds entries from a log that contains all committed entries. If an entry of this log differs, it and
    /// all later entries were never committed and are removed.
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
            if sequence == self.state.last_sequence() + 1 {
                self.add_entry(entry);
            }
        }
    }

    /// Removes the entries after this one.
    pub(super) fn truncate(&mut self, last: u64) {
        if self.state.last_sequence() > last {
            self.record(DurableRecord::Truncate(last), true);
        }
        self.disk.cancel_entries_after(last);
        self.durable_last = self.durable_last.min(last);
    }

    /// Commits entries that other replicas have committed, whether they are durable at this replica or not.
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
