//! The part of this replica in the chain of the present view.
//!
//! Chain replication (R. van Renesse and F. Schneider, 2004, section 3): entries pass from the head to the tail, and
//! acknowledgements come back. Reads pass the chain as well, so that a replaced tail never answers one.

use std::collections::VecDeque;

use whinspindle_consensus::Voter;

use super::Replica;
use crate::application::Application;
use crate::protocol_rules::ProtocolRules;
use crate::session::{Predecessor, Session, Successor};

impl<A: Application, L: ProtocolRules> Replica<A, L> {
    /// Begins the session of the view that was adopted or recovered, if this replica is in its chain.
    pub(super) fn begin_session(&mut self, now: u64) {
        let view = &self.state.decided.view;
        let link = self.me().and_then(|me| view.chain_link(me).copied());
        let is_recorded = link
            .is_some_and(|link| L::complete_view(self.state.complete, link.since_view) >= link.since_view);
        if !is_recorded && !L::keeps_uncertain_entries() {
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
            since: link.since_view,
            predecessor: predecessor.map(Predecessor::new),
            successor: successor.map(|endpoint| Successor::new(endpoint, now)),
            is_complete: is_recorded
                && L::complete_view(self.durable_complete, link.since_view) >= link.since_view,
            newest: None,
            reads: VecDeque::new(),
        });
        if is_head {
            self.build_newest();
        }
        self.resume(now);
    }

    /// The last entry of the log worth keeping if this replica is left out of the next chain.
    ///
    /// An entry that the tail has received in its own view and not committed is committed nowhere.
    pub(super) fn last_useful_entry(&self) -> u64 {
        let tail = self.session.as_ref().filter(|session| session.successor.is_none());
        let void = tail.and_then(|tail| self.state.log.iter().find(|entry| entry.view >= tail.view));
        void.map_or(self.state.last(), |entry| entry.sequence - 1)
    }

    /// Builds the records with all entries of the log applied, which the head evaluates commands on.
    fn build_newest(&mut self) {
        let mut newest = self.state.records.clone();
        for entry in &self.state.log {
            newest.apply(entry.sequence, &entry.writes);
        }
        if let Some(session) = &mut self.session {
            session.newest = Some(newest);
        }
    }

    /// The session of this view, unless this replica is fenced.
    pub(super) fn active(&mut self, view: u64) -> Option<&mut Session> {
        if !self.is_chain_active() {
            return None;
        }
        self.session.as_mut().filter(|session| session.view == view)
    }

    /// The session of the present view, unless this replica is fenced.
    pub(super) fn active_now(&mut self) -> Option<&mut Session> {
        let view = self.state.decided.view.number;
        self.active(view)
    }

    /// Whether this replica may still act in the chain of the present view: it has promised no newer one.
    pub(super) fn is_chain_active(&self) -> bool {
        !self.state.is_fenced()
    }

    /// The position up to which the log may be acknowledged, forwarded and committed.
    pub(super) fn durable_position(&self) -> u64 {
        L::durable_position(self.durable_last, self.state.last())
    }

    /// Forwards, commits, answers and acknowledges whatever has become possible.
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
