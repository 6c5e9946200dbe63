//! The replica as a member of the chain of the current view.
//!
//! Chain replication (R. van Renesse and F. Schneider, 2004, section 3): entries are forwarded from the
//! head to the tail, and acknowledgements are sent back. Reads pass through the chain as well, so that a
//! replaced tail never answers a read.

use std::collections::VecDeque;

use whinspindle_consensus::Voter;

use super::Replica;
use crate::application::Application;
use crate::protocol_rules::ProtocolRules;
use crate::session::{Predecessor, Session, Successor};

impl<A: Application, Rules: ProtocolRules> Replica<A, Rules> {
    /// Begins the session for the adopted or recovered view, if this replica is in its chain.
    pub(super) fn begin_session(&mut self, now: u64) {
        let view = &self.state.decided.view;
        let link = self.own_voter().and_then(|own_voter| view.chain_link(own_voter).copied());
        let is_recorded = link.is_some_and(|link| {
            Rules::complete_view(self.state.complete_view, link.since_view) >= link.since_view
        });
        if !is_recorded && !Rules::keeps_uncertain_entries() {
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
            since_view: link.since_view,
            predecessor: predecessor.map(Predecessor::new),
            successor: successor.map(|endpoint| Successor::new(endpoint, now)),
            is_complete: is_recorded
                && Rules::complete_view(self.durable_complete, link.since_view) >= link.since_view,
            newest_records: None,
            waiting_reads: VecDeque::new(),
        });
        if is_head {
            self.build_newest_records();
        }
        self.report_state(now);
    }

    /// The last entry of the log to keep if this replica is not in the next chain.
    ///
    /// An entry that the tail received in its own view and did not commit is not committed anywhere.
    pub(super) fn last_possibly_committed_entry(&self) -> u64 {
        let tail = self.session.as_ref().filter(|session| session.successor.is_none());
        let first_uncommitted =
            tail.and_then(|tail| self.state.log.iter().find(|entry| entry.view >= tail.view));
        first_uncommitted.map_or(self.state.last_sequence(), |entry| entry.sequence - 1)
    }

    /// Builds the records with all entries of the log applied. The head evaluates commands on these records.
    fn build_newest_records(&mut self) {
        let mut newest_records = self.state.records.clone();
        for entry in &self.state.log {
            newest_records.apply(entry.sequence, &entry.writes);
        }
        if let Some(session) = &mut self.session {
            session.newest_records = Some(newest_records);
        }
    }

    /// The session of this view, unless this replica is fenced.
    pub(super) fn active_session(&mut self, view: u64) -> Option<&mut Session> {
        if !self.is_chain_active() {
            return None;
        }
        self.session.as_mut().filter(|session| session.view == view)
    }

    /// The session of the current view, unless this replica is fenced.
    pub(super) fn current_active_session(&mut self) -> Option<&mut Session> {
        let view = self.state.decided.view.number;
        self.active_session(view)
    }

    /// Whether this replica may act in the chain of the current view, because it has not promised a newer
    /// view.
    pub(super) fn is_chain_active(&self) -> bool {
        !self.state.is_fenced()
    }

    /// The last entry that may be acknowledged, forwarded and committed.
    pub(super) fn durable_position(&self) -> u64 {
        Rules::durable_position(self.durable_last, self.state.last_sequence())
    }

    /// Forwards, commits, answers and acknowledges all entries and reads that are ready.
    pub(super) fn advance_chain(&mut self, now: u64) {
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
}
