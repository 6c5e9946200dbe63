//! The state and the time-outs of one connection to a controller.

use std::net::SocketAddr;

use whinspindle_distribution::Link;

/// Time-out of connecting, in milliseconds.
pub(crate) const CONNECT_MS: u64 = 500;
/// Time-out of the first message on an established connection, in milliseconds.
pub(crate) const FIRST_MESSAGE_MS: u64 = 700;
/// After this time without a message another controller is searched for, in milliseconds.
pub(crate) const SUSPECT_MS: u64 = 700;
/// After this time without a message the link is lost, in milliseconds.
pub(crate) const RECEIVE_TIMEOUT_MS: u64 = 1_000;
/// How long the link's controller may be without a quorum before another one is searched for, in milliseconds.
pub(crate) const QUORUM_WAIT_MS: u64 = 1_000;

/// Identifies a connection to a controller; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// The state of a connection to a controller.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    /// The controller's endpoint.
    pub endpoint: SocketAddr,
    phase: Phase,
    /// Since when the controller has no quorum, if it had one on this connection.
    quorum_lost_at: Option<u64>,
}

/// The phases of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Connecting to the controller.
    Connecting { since: u64 },
    /// Established; the controller's state has not been received yet.
    AwaitingState { since: u64 },
    /// The controller has sent its state.
    Established { received_at: u64, in_quorum: bool, shutting_down: bool },
}

impl Connection {
    /// A connection that is being opened.
    pub fn connecting(now: u64, endpoint: SocketAddr) -> Connection {
        Connection { endpoint, phase: Phase::Connecting { since: now }, quorum_lost_at: None }
    }

    /// The connection is established.
    pub fn connected(&mut self, now: u64) {
        self.phase = Phase::AwaitingState { since: now };
    }

    /// Records that something was received.
    pub fn record_received(&mut self, now: u64) {
        if let Phase::Established { received_at, .. } = &mut self.phase {
            *received_at = now;
        }
    }

    /// Takes the controller's state.
    pub fn record_state(&mut self, now: u64, link: &Link) {
        if link.in_quorum {
            self.quorum_lost_at = None;
        } else if self.has_quorum() {
            self.quorum_lost_at = Some(now);
        }
        self.phase = Phase::Established {
            received_at: now,
            in_quorum: link.in_quorum,
            shutting_down: link.shutting_down,
        };
    }

    /// Whether the controller is in a quorum by its last state.
    pub fn has_quorum(&self) -> bool {
        matches!(self.phase, Phase::Established { in_quorum: true, .. })
    }

    /// Whether the controller shuts down by its last state.
    pub fn is_shutting_down(&self) -> bool {
        matches!(self.phase, Phase::Established { shutting_down: true, .. })
    }

    /// Whether the controller can serve as the link.
    pub fn is_usable(&self) -> bool {
        self.has_quorum() && !self.is_shutting_down()
    }

    /// When the connection times out if nothing more is received.
    pub fn times_out_at(&self) -> u64 {
        match self.phase {
            Phase::Connecting { since } => since + CONNECT_MS,
            Phase::AwaitingState { since } => since + FIRST_MESSAGE_MS,
            Phase::Established { received_at, .. } => received_at + RECEIVE_TIMEOUT_MS,
        }
    }

    /// When another link is to be searched for if nothing more is received.
    pub fn unfit_from(&self) -> u64 {
        match self.phase {
            Phase::Established { shutting_down: true, .. } => 0,
            Phase::Established { received_at, in_quorum: true, .. } => received_at + SUSPECT_MS,
            Phase::Established { received_at, .. } => {
                let wait_ends = self.quorum_lost_at.map_or(0, |lost_at| lost_at + QUORUM_WAIT_MS);
                wait_ends.min(received_at + SUSPECT_MS)
            }
            Phase::Connecting { .. } | Phase::AwaitingState { .. } => 0,
        }
    }
}
