//! Selection of the controller that the agent is linked to. While the old link works, the new link is
//! established before the old one is closed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use whinspindle_distribution::Link;

use crate::catalog::ControllerCatalog;
use crate::connection::{Connection, ConnectionId};

/// Maximum number of concurrent connection attempts.
const MAX_CONCURRENT_ATTEMPTS: usize = 3;
/// Minimum time between the starts of two attempts, in milliseconds. A failure allows the next attempt at
/// once.
const ATTEMPT_SPACING_MS: u64 = 150;
/// Interval of connection attempts to nearer controllers while the link is healthy, in milliseconds.
const IMPROVEMENT_INTERVAL_MS: u64 = 5_000;

/// Reason of the loss of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The connection was closed or could not be established.
    Closed,
    /// No message was received within the timeout.
    TimedOut,
}

/// Output of the selector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// Connect to a controller.
    Connect {
        /// Id of the new connection.
        connection: ConnectionId,
        /// Endpoint of the controller.
        endpoint: SocketAddr,
    },
    /// Close a connection.
    Close {
        /// Id of the connection.
        connection: ConnectionId,
    },
    /// A connection has become the link.
    Linked {
        /// Id of the connection.
        connection: ConnectionId,
        /// Endpoint of the controller.
        endpoint: SocketAddr,
        /// Whether the controller is in a quorum.
        in_quorum: bool,
    },
    /// The link has ended without a replacement.
    Lost {
        /// Endpoint of the controller.
        endpoint: SocketAddr,
        /// Reason of the loss.
        reason: LossReason,
    },
}

/// Selects the link among the controllers of a catalog.
#[derive(Clone, Debug)]
pub struct LinkSelector {
    catalog: ControllerCatalog,
    connections: BTreeMap<ConnectionId, Connection>,
    current: Option<ConnectionId>,
    last_connection_id: u64,
    next_attempt_at: u64,
    next_improvement_at: u64,
}

impl LinkSelector {
    /// Creates a selector without connections.
    pub fn new(catalog: ControllerCatalog) -> Self {
        LinkSelector {
            catalog,
            connections: BTreeMap::new(),
            current: None,
            last_connection_id: 0,
            next_attempt_at: 0,
            next_improvement_at: 0,
        }
    }

    /// Returns the connection that is the link.
    pub fn current_link(&self) -> Option<ConnectionId> {
        self.current
    }

    /// Whether a controller is linked and in a quorum.
    pub fn has_quorum(&self) -> bool {
        self.current_connection().is_some_and(Connection::has_quorum)
    }

    /// Replaces the controllers from the settings.
    pub fn set_seeds(&mut self, now: u64, seeds: &[SocketAddr]) -> Vec<LinkEvent> {
        self.catalog.set_seeds(now, seeds);
        self.tick(now)
    }

    /// Records that a connection is established.
    pub fn record_connected(&mut self, now: u64, id: ConnectionId) -> Vec<LinkEvent> {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.record_connected(now);
        }
        self.tick(now)
    }

    /// Records that a connection has ended or could not be established.
    pub fn record_closed(&mut self, now: u64, id: ConnectionId) -> Vec<LinkEvent> {
        let mut events = Vec::new();
        self.drop_connection(now, id, LossReason::Closed, &mut events);
        events.extend(self.tick(now));
        events
    }

    /// Records the receipt of a message other than the state of the controller.
    pub fn record_received(&mut self, now: u64, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.record_received(now);
        }
    }

    /// Records the state of a controller.
    pub fn record_state(&mut self, now: u64, id: ConnectionId, link: &Link) -> Vec<LinkEvent> {
        let Some(connection) = self.connections.get_mut(&id) else { return Vec::new() };
        connection.record_state(now, link);
        self.catalog.learn(now, &link.controllers);
        let mut events = Vec::new();
        if self.current != Some(id) {
            self.evaluate_candidate(now, id, &mut events);
        }
        events.extend(self.tick(now));
        events
    }

    /// Drops connections that have timed out and starts the attempts that are due.
    pub fn tick(&mut self, now: u64) -> Vec<LinkEvent> {
        let mut events = Vec::new();
        self.drop_timed_out(now, &mut events);
        self.start_search_attempt(now, &mut events);
        self.start_improvement_attempt(now, &mut events);
        events
    }

    /// Returns the latest time of the next [`LinkSelector::tick`].
    pub fn next_wake(&self, now: u64) -> u64 {
        let timeout = self.connections.values().map(Connection::timeout_at).min();
        let search = match self.current_connection() {
            Some(current) if current.unhealthy_at() > now => Some(current.unhealthy_at()),
            _ => self.next_search_at(),
        };
        let improvement =
            self.nearer_controller().filter(|_| self.can_improve(now)).map(|_| self.next_improvement_at);
        let wakes = [timeout, search, improvement];
        wakes.into_iter().flatten().min().unwrap_or(now + IMPROVEMENT_INTERVAL_MS)
    }

    fn current_connection(&self) -> Option<&Connection> {
        self.current.and_then(|id| self.connections.get(&id))
    }

    fn is_link_healthy(&self, now: u64) -> bool {
        self.current_connection().is_some_and(|current| now < current.unhealthy_at())
    }

    fn attempt_count(&self) -> usize {
        self.connections.len() - usize::from(self.current.is_some())
    }

    fn is_connected(&self, endpoint: SocketAddr) -> bool {
        self.connections.values().any(|connection| connection.endpoint == endpoint)
    }

    /// Makes a candidate connection the link, or closes it.
    fn evaluate_candidate(&mut self, now: u64, id: ConnectionId, events: &mut Vec<LinkEvent>) {
        let Some(candidate) = self.connections.get(&id) else { return };
        let endpoint = candidate.endpoint;
        let is_better = match self.current_connection() {
            None => !candidate.is_shutting_down(),
            Some(current) => {
                let is_nearer = self.catalog.proximity(endpoint) < self.catalog.proximity(current.endpoint);
                candidate.is_usable() && (is_nearer || !self.is_link_healthy(now))
            }
        };
        if is_better {
            self.switch_link(now, id, events);
            return;
        }
        if !candidate.is_usable() {
            self.catalog.record_rejection(now, endpoint);
        }
        self.close(id, events);
    }

    fn switch_link(&mut self, now: u64, id: ConnectionId, events: &mut Vec<LinkEvent>) {
        let Some(connection) = self.connections.get(&id) else { return };
        let (endpoint, in_quorum) = (connection.endpoint, connection.has_quorum());
        let previous = self.current.replace(id);
        self.catalog.record_success(endpoint);
        self.next_improvement_at = now + IMPROVEMENT_INTERVAL_MS;
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
        let timed_out: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.timeout_at() <= now)
            .map(|(&id, _)| id)
            .collect();
        for id in timed_out {
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

    /// Starts a connection attempt if there is no healthy link.
    fn start_search_attempt(&mut self, now: u64, events: &mut Vec<LinkEvent>) {
        if self.is_link_healthy(now)
            || now < self.next_attempt_at
            || self.attempt_count() >= MAX_CONCURRENT_ATTEMPTS
        {
            return;
        }
        if let Some(endpoint) = self.catalog.next_candidate(now, |endpoint| self.is_connected(endpoint)) {
            self.start_attempt(now, endpoint, events);
        }
    }

    fn next_search_at(&self) -> Option<u64> {
        if self.attempt_count() >= MAX_CONCURRENT_ATTEMPTS {
            return None;
        }
        let eligible_at = self.catalog.next_candidate_at(|endpoint| self.is_connected(endpoint))?;
        Some(eligible_at.max(self.next_attempt_at))
    }

    /// Starts a connection attempt to a nearer controller at intervals while the link is healthy.
    fn start_improvement_attempt(&mut self, now: u64, events: &mut Vec<LinkEvent>) {
        if now < self.next_improvement_at || !self.can_improve(now) {
            return;
        }
        if let Some(endpoint) = self.nearer_controller() {
            self.next_improvement_at = now + IMPROVEMENT_INTERVAL_MS;
            self.start_attempt(now, endpoint, events);
        }
    }

    fn can_improve(&self, now: u64) -> bool {
        self.is_link_healthy(now) && self.attempt_count() == 0
    }

    fn nearer_controller(&self) -> Option<SocketAddr> {
        let proximity = self.catalog.proximity(self.current_connection()?.endpoint);
        self.catalog.nearer_candidate(proximity)
    }

    fn start_attempt(&mut self, now: u64, endpoint: SocketAddr, events: &mut Vec<LinkEvent>) {
        self.last_connection_id += 1;
        let connection = ConnectionId(self.last_connection_id);
        self.connections.insert(connection, Connection::connecting(now, endpoint));
        self.catalog.record_attempt(now, endpoint);
        self.next_attempt_at = now + ATTEMPT_SPACING_MS;
        events.push(LinkEvent::Connect { connection, endpoint });
    }
}
