//! Selects the controller that the agent is linked to. A new link is established before the old one is closed, as long as
//! the old one works.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use whinspindle_distribution::Link;

use crate::catalog::ControllerCatalog;
use crate::connection::{Connection, ConnectionId};

/// The most concurrent attempts.
const MAXIMUM_ATTEMPTS: usize = 3;
/// The least time between the starts of two attempts, unless one has failed, in milliseconds.
const ATTEMPT_SPACING_MS: u64 = 150;
/// Interval of attempts at nearer controllers while the link is healthy, in milliseconds.
const IMPROVEMENT_MS: u64 = 5_000;

/// Why a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The connection was closed, or could not be made.
    Closed,
    /// Nothing was received within the time-out.
    TimedOut,
}

/// Outputs of the selector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// Connect to a controller.
    Connect {
        /// The id of the new connection.
        connection: ConnectionId,
        /// The controller's endpoint.
        endpoint: SocketAddr,
    },
    /// Close a connection.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// This connection has become the link.
    Linked {
        /// The connection.
        connection: ConnectionId,
        /// The controller's endpoint.
        endpoint: SocketAddr,
        /// Whether the controller is in a quorum.
        in_quorum: bool,
    },
    /// The link has ended, and no other one is there.
    Lost {
        /// The controller's endpoint.
        endpoint: SocketAddr,
        /// Why.
        reason: LossReason,
    },
}

/// Selects the link among the controllers of a catalog.
#[derive(Clone, Debug)]
pub struct LinkSelector {
    catalog: ControllerCatalog,
    connections: BTreeMap<ConnectionId, Connection>,
    current: Option<ConnectionId>,
    last_connection: u64,
    next_attempt_at: u64,
    next_improvement_at: u64,
}

impl LinkSelector {
    /// A selector without connections.
    pub fn new(catalog: ControllerCatalog) -> Self {
        LinkSelector {
            catalog,
            connections: BTreeMap::new(),
            current: None,
            last_connection: 0,
            next_attempt_at: 0,
            next_improvement_at: 0,
        }
    }

    /// The connection that is the link.
    pub fn current_link(&self) -> Option<ConnectionId> {
        self.current
    }

    /// Whether there is a link whose controller is in a quorum.
    pub fn has_quorum(&self) -> bool {
        self.current_connection().is_some_and(Connection::has_quorum)
    }

    /// Replaces the controllers of the settings.
    pub fn set_seeds(&mut self, now: u64, seeds: &[SocketAddr]) -> Vec<LinkEvent> {
        self.catalog.set_seeds(now, seeds);
        self.tick(now)
    }

    /// The connection is established.
    pub fn record_connected(&mut self, now: u64, id: ConnectionId) -> Vec<LinkEvent> {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.connected(now);
        }
        self.tick(now)
    }

    /// The connection has ended, or could not be made.
    pub fn record_closed(&mut self, now: u64, id: ConnectionId) -> Vec<LinkEvent> {
        let mut events = Vec::new();
        self.drop_connection(now, id, LossReason::Closed, &mut events);
        events.extend(self.tick(now));
        events
    }

    /// Records that something other than the controller's state was received.
    pub fn record_received(&mut self, now: u64, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.record_received(now);
        }
    }

    /// Takes the state of a controller.
    pub fn record_state(&mut self, now: u64, id: ConnectionId, link: &Link) -> Vec<LinkEvent> {
        let Some(connection) = self.connections.get_mut(&id) else { return Vec::new() };
        connection.record_state(now, link);
        self.catalog.learn(now, &link.controllers);
        let mut events = Vec::new();
        if self.current != Some(id) {
            self.evaluate(now, id, &mut events);
        }
        events.extend(self.tick(now));
        events
    }

    /// Drops connections that have timed out, and starts the attempts that are due.
    pub fn tick(&mut self, now: u64) -> Vec<LinkEvent> {
        let mut events = Vec::new();
        self.drop_timed_out(now, &mut events);
        self.search(now, &mut events);
        self.improve(now, &mut events);
        events
    }

    /// The time of the next [`LinkSelector::tick`] at the latest.
    pub fn next_wake(&self, now: u64) -> u64 {
        let time_out = self.connections.values().map(Connection::times_out_at).min();
        let search = match self.current_connection() {
            Some(current) if current.unfit_from() > now => Some(current.unfit_from()),
            _ => self.next_search_at(),
        };
        let improvement =
            self.improvement().filter(|_| self.may_improve(now)).map(|_| self.next_improvement_at);
        let wakes = [time_out, search, improvement];
        wakes.into_iter().flatten().min().unwrap_or(now + IMPROVEMENT_MS)
    }

    fn current_connection(&self) -> Option<&Connection> {
        self.current.and_then(|id| self.connections.get(&id))
    }

    fn is_fit(&self, now: u64) -> bool {
        self.current_connection().is_some_and(|current| now < current.unfit_from())
    }

    fn attempts(&self) -> usize {
        self.connections.len() - usize::from(self.current.is_some())
    }

    fn is_connected(&self, endpoint: SocketAddr) -> bool {
        self.connections.values().any(|connection| connection.endpoint == endpoint)
    }

    /// Makes a candidate the link, or closes it.
    fn evaluate(&mut self, now: u64, id: ConnectionId, events: &mut Vec<LinkEvent>) {
        let Some(candidate) = self.connections.get(&id) else { return };
        let endpoint = candidate.endpoint;
        let better = match self.current_connection() {
            None => !candidate.is_shutting_down(),
            Some(current) => {
                let nearer = self.catalog.proximity(endpoint) < self.catalog.proximity(current.endpoint);
                candidate.is_usable() && (nearer || !self.is_fit(now))
            }
        };
        if better {
            self.adopt(now, id, events);
            return;
        }
        if !candidate.is_usable() {
            self.catalog.record_rejection(now, endpoint);
        }
        self.close(id, events);
    }

    fn adopt(&mut self, now: u64, id: ConnectionId, events: &mut Vec<LinkEvent>) {
        let Some(adopted) = self.connections.get(&id) else { return };
        let (endpoint, in_quorum) = (adopted.endpoint, adopted.has_quorum());
        let previous = self.current.replace(id);
        self.catalog.record_success(endpoint);
        self.next_improvement_at = now + IMPROVEMENT_MS;
        events.push(LinkEvent::Linked { connection: id, endpoint, in_quorum });
        if let Some(previous) = previous {
            self.close(previous, events);
        }
        if in_quorum {
            self.close_attempts(events);
        }
    }

    fn close_attempts(&mut self, events: &mut Vec<LinkEvent>) {
        let attempts: Vec<_> =
            self.connections.keys().copied().filter(|&id| self.current != Some(id)).collect();
        for id in attempts {
            self.close(id, events);
        }
    }

    fn close(&mut self, id: ConnectionId, events: &mut Vec<LinkEvent>) {
        if self.connections.remove(&id).is_some() {
            events.push(LinkEvent::Close { connection: id });
        }
    }

    fn drop_timed_out(&mut self, now: u64, events: &mut Vec<LinkEvent>) {
        let silent: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.times_out_at() <= now)
            .map(|(&id, _)| id)
            .collect();
        for id in silent {
            self.drop_connection(now, id, LossReason::TimedOut, events);
            events.push(LinkEvent::Close { connection: id });
        }
    }

    fn drop_connection(
        &mut self,
        now: u64,
        id: ConnectionId,
        reason: LossReason,
        events: &mut Vec<LinkEvent>,
    ) {
        let Some(connection) = self.connections.remove(&id) else { return };
        self.catalog.record_failure(now, connection.endpoint);
        self.next_attempt_at = now;
        if self.current == Some(id) {
            self.current = None;
            events.push(LinkEvent::Lost { endpoint: connection.endpoint, reason });
        }
    }

    /// Starts an attempt if there is no healthy link.
    fn search(&mut self, now: u64, events: &mut Vec<LinkEvent>) {
        if self.is_fit(now) || now < self.next_attempt_at || self.attempts() >= MAXIMUM_ATTEMPTS {
            return;
        }
        if let Some(endpoint) = self.catalog.next_candidate(now, |endpoint| self.is_connected(endpoint)) {
            self.attempt(now, endpoint, events);
        }
    }

    fn next_search_at(&self) -> Option<u64> {
        if self.attempts() >= MAXIMUM_ATTEMPTS {
            return None;
        }
        let eligible_at = self.catalog.next_candidate_at(|endpoint| self.is_connected(endpoint))?;
        Some(eligible_at.max(self.next_attempt_at))
    }

    /// Starts an attempt at a nearer controller from time to time while the link is healthy.
    fn improve(&mut self, now: u64, events: &mut Vec<LinkEvent>) {
        if now < self.next_improvement_at || !self.may_improve(now) {
            return;
        }
        if let Some(endpoint) = self.improvement() {
            self.next_improvement_at = now + IMPROVEMENT_MS;
            self.attempt(now, endpoint, events);
        }
    }

    fn may_improve(&self, now: u64) -> bool {
        self.is_fit(now) && self.attempts() == 0
    }

    fn improvement(&self) -> Option<SocketAddr> {
        let proximity = self.catalog.proximity(self.current_connection()?.endpoint);
        self.catalog.nearer_candidate(proximity)
    }

    fn attempt(&mut self, now: u64, endpoint: SocketAddr, events: &mut Vec<LinkEvent>) {
        self.last_connection += 1;
        let connection = ConnectionId(self.last_connection);
        self.connections.insert(connection, Connection::connecting(now, endpoint));
        self.catalog.record_attempt(now, endpoint);
        self.next_attempt_at = now + ATTEMPT_SPACING_MS;
        events.push(LinkEvent::Connect { connection, endpoint });
    }
}
