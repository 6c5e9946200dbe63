//! Synchronisation: a member of the chain says where it stands, one that joins is brought up to date, and replicas
//! outside of the chain follow what is committed.

use std::net::SocketAddr;

use whinspindle_digests::{RangeDigest, differing, partition};

use crate::application::Application;
use crate::disk::AfterDurable;
use crate::durable::DurableRecord;
use crate::entry::Entry;
use crate::message::{ChainState, Message};
use crate::protocol_rules::ProtocolRules;
use crate::records::Records;
use crate::replica::{Output, Replica};
use crate::transfer::{RangeContents, Transfer};

/// Between two questions to the predecessor, in milliseconds.
const RESUME_INTERVAL: u64 = 150;
/// How long a replica outside of the chain waits for what it lacks before it asks, in milliseconds.
const CATCH_UP_DELAY: u64 = 150;

/// Ranges that the records are divided into where two replicas are compared.
const DIGEST_RANGES: usize = 64;

fn range_digests(records: &Records) -> Vec<RangeDigest> {
    partition(records.by_key(), DIGEST_RANGES)
}

/// The contents here of all ranges for which the other replica has another digest.
fn differing_ranges(records: &Records, digests: &[RangeDigest]) -> Vec<RangeContents> {
    let differing = differing(records.by_key(), digests);
    differing.into_iter().map(|range| RangeContents::copy(records, range)).collect()
}

/// What a replica outside of the chain waits for.
#[derive(Clone, Copy, Debug, Default)]
pub struct CatchUpState {
    pub behind_since: Option<u64>,
    pub asked_at: Option<u64>,
}

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    /// Tells the predecessor where this member stands.
    pub(crate) fn resume(&mut self, now: u64) {
        let (last, committed) = (self.durable_last, self.state.committed);
        let is_chain_active = self.is_chain_active();
        let Some(session) = &mut self.session else { return };
        let Some(predecessor) = &mut session.predecessor else { return };
        if !is_chain_active {
            return;
        }
        predecessor.has_answered = false;
        predecessor.asked_at = now;
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

    pub(crate) fn tick_resume(&mut self, now: u64) {
        let Some(session) = &self.session else { return };
        let Some(predecessor) = &session.predecessor else { return };
        if !predecessor.has_answered && now >= predecessor.asked_at + RESUME_INTERVAL {
            self.resume(now);
        }
    }

    /// A predecessor that has started anew does not know where this member stands.
    pub(crate) fn on_restart(&mut self, now: u64, endpoint: SocketAddr) {
        let predecessor = self.session.as_ref().and_then(|session| session.predecessor);
        if predecessor.is_some_and(|predecessor| predecessor.endpoint == endpoint) {
            self.resume(now);
        }
    }

    pub(crate) fn on_resume(&mut self, now: u64, from: SocketAddr, view: u64, state: &ChainState) {
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

    /// What leads from a position to the one here; `pending` includes entries that are not committed.
    fn transfer(&self, base: u64, digests: &[RangeDigest], pending: bool) -> Transfer {
        let committed = self.state.committed;
        let up_to = if pending { self.durable_last } else { committed };
        let mut transfer = Transfer { base, position: base, committed, ..Transfer::default() };
        match self.recent_entries.after(base, committed) {
            Some(entries) => transfer.entries = entries,
            None => {
                transfer.ranges = differing_ranges(&self.state.records, digests);
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

    /// The predecessor has sent what this member lacks.
    pub(crate) fn on_synchronize(&mut self, from: SocketAddr, view: u64, transfer: Transfer) {
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

    /// The log is durably complete as of this view.
    pub(crate) fn on_complete(&mut self, now: u64, view: u64) {
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

    fn replace_ranges(&mut self, transfer: &Transfer) {
        if transfer.position == transfer.base {
            return;
        }
        let Transfer { position, ranges, outcomes, .. } = transfer.clone();
        self.recent_entries.clear();
        self.record(DurableRecord::Replace { position, ranges, outcomes }, true);
        self.durable_last = self.durable_last.max(position);
        self.outputs.push(Output::Replaced);
    }

    /// Adds entries to the log. What the log holds in the place of one of them, and after it, was never committed: they
    /// come from a log with all that was.
    fn adopt_entries(&mut self, entries: Vec<Entry>) {
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
    pub(crate) fn truncate(&mut self, last: u64) {
        if self.state.last() > last {
            self.record(DurableRecord::Truncate(last), true);
        }
        self.disk.forget_entries(last);
        self.durable_last = self.durable_last.min(last);
    }

    /// Commits entries that are known to be committed elsewhere, durable here or not.
    fn learn_committed(&mut self, committed: u64) {
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

    /// At the tail: sends what was just committed to the replicas outside of the chain.
    pub(crate) fn notify_learners(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let base = first.sequence - 1;
        let transfer = Transfer {
            base,
            position: base,
            entries: entries.to_vec(),
            committed: self.state.committed,
            ..Transfer::default()
        };
        let view = self.view().number;
        for learner in self.learners() {
            self.send(learner, Message::Learn { view, transfer: transfer.clone() });
        }
    }

    fn learners(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let is_in_chain = |endpoint: SocketAddr| {
            view.member_at(endpoint).is_some_and(|member| view.position(member.voter).is_some())
        };
        self.peers.iter().map(|(endpoint, _)| *endpoint).filter(|endpoint| !is_in_chain(*endpoint)).collect()
    }

    pub(crate) fn on_pull(&mut self, from: SocketAddr, committed: u64, digests: &[RangeDigest]) {
        if committed < self.state.committed {
            let transfer = self.transfer(committed, digests, false);
            let view = self.view().number;
            self.send(from, Message::Learn { view, transfer });
        }
    }

    /// What was committed in a view that is not known here yet must wait: else a member of the chain that takes the
    /// older view for the present one would be told a position that its own log holds something else at.
    pub(crate) fn on_learn(&mut self, view: u64, transfer: Transfer) {
        if self.session.is_some() || view > self.view().number {
            return;
        }
        let committed = self.state.committed;
        let is_known = transfer.committed <= committed;
        if is_known
            || transfer.base > committed
            || (transfer.position > transfer.base && transfer.base != committed)
        {
            return;
        }
        self.replace_ranges(&transfer);
        self.adopt_entries(transfer.entries);
        self.learn_committed(transfer.committed);
        self.durable_last = self.durable_last.max(self.state.committed);
        self.catch_up.asked_at = None;
    }

    /// Outside of the chain: asks the most advanced member of the chain for what is lacking.
    pub(crate) fn tick_catch_up(&mut self, now: u64) {
        if self.session.is_some() {
            return;
        }
        let Some((source, committed)) = self.most_advanced(now) else { return };
        if committed <= self.state.committed {
            self.catch_up.behind_since = None;
            return;
        }
        let since = *self.catch_up.behind_since.get_or_insert(now);
        let is_asked = self.catch_up.asked_at.is_some_and(|at| now < at + self.settings.timing.resend);
        let is_new = self.state.committed == 0;
        if !is_asked && (is_new || now >= since + CATCH_UP_DELAY) {
            self.catch_up.asked_at = Some(now);
            let digests = range_digests(&self.state.records);
            let committed = self.state.committed;
            self.send(source, Message::Pull { committed, digests });
        }
    }

    fn most_advanced(&self, now: u64) -> Option<(SocketAddr, u64)> {
        let view = self.view();
        let members = view.chain.iter().filter_map(|link| view.member(link.voter));
        let well = members.filter_map(|member| {
            let heartbeat = self.peers.healthy_heartbeat(now, view, member.voter)?;
            Some((member.endpoint, heartbeat.report.committed))
        });
        well.max_by_key(|(_, committed)| *committed)
    }
}
