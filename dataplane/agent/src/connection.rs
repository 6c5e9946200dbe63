//! State and timeouts of one connection to a controller.

use std::net::SocketAddr;

use whinspindle_distribution::Link;

/// Timeout of a connection attempt, in milliseconds.
pub(crate) const CONNECT_TIMEOUT_MS: u64 = 500;
/// Timeout of the first message on an established connection, in milliseconds.
pub(crate) const FIRST_MESSAGE_TIMEOUT_MS: u64 = 700;
/// Time without a message after which the agent searches for another controller, in milliseconds.
pub(crate) const SUSPECT_TIMEOUT_MS: u64 = 700;
/// Time without a message after which the link is lost, in milliseconds.
pub(crate) const RECEIVE_TIMEOUT_MS: u64 = 1_000;
/// Time without a quorum of the linked controller after which the agent searches for another one, in
/// milliseconds.
pub(crate) const QUORUM_LOSS_TOLERANCE_MS: u64 = 1_000;

/// Identifies a connection to a controller. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// State of a connection to a controller.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    /// Endpoint of the controller.
    pub endpoint: SocketAddr,
    phase: Phase,
    /// Time at which the controller lost its quorum; `None` if it has one or never had one on this
    /// connection.
    quorum_lost_at: Option<u64>,
}

/// Phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The connection is being established.
    Connecting { since: u64 },
    /// The connection is established, and the controller has not sent its state yet.
    AwaitingState { since: u64 },
    /// The controller has sent its state.
    Established { received_at: u64, in_quorum: bool, shutting_down: bool },
}

impl Connection {
    /// Creates a connection that is being established.
    pub fn connecting(now: u64, endpoint: SocketAddr) -> Connection {
        Connection { endpoint, phase: Phase::Connecting { since: now }, quorum_lost_at: None }
    }

    /// Records that the connection is established.
    pub fn record_connected(&mut self, now: u64) {
        self.phase = Phase::AwaitingState { since: now };
    }

    /// Records that a message was received.
    pub fn record_received(&mut self, now: u64) {
        if let Phase::Established { received_at, .. } = &mut self.phase {
            *received_at = now;
        }
    }

    /// Records the state of the controller.
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

    /// Whether the last state of the controller reports a quorum.
    pub fn has_quorum(&self) -> bool {
        matches!(self.phase, Phase::Established { in_quorum: true, .. })
    }

    /// Whether the last state of the controller reports a shutdown.
    pub fn is_shutting_down(&self) -> bool {
        matches!(self.phase, Phase::Established { shutting_down: true, .. })
    }

    /// Whether the controller can serve as the link.
    pub fn is_usable(&self) -> bool {
        self.has_quorum() && !self.is_shutting_down()
    }

    /// Time at which the connection times out without further messages.
    pub fn timeout_at(&self) -> u64 {
        match self.phase {
            Phase::Connecting { since } => since + CONNECT_TIMEOUT_MS,
            Phase::AwaitingState { since } => since + FIRST_MESSAGE_TIMEOUT_MS,
            Phase::Established { received_at, .. } => received_at + RECEIVE_TIMEOUT_MS,
        }
    }

    /// Time from which the connection is unhealthy as a link without further messages.
    pub fn unhealthy_at(&self) -> u64 {
        match self.phase {
            Phase::Established { shutting_down: true, .. } => 0,
            Phase::Established { received_at, in_quorum: true, .. } => received_at + SUSPECT_TIMEOUT_MS,
            Phase::Established { received_at, .. } => {
                let tolerance_ends_at =
                    self.quorum_lost_at.map_or(0, |lost_at| lost_at + QUORUM_LOSS_TOLERANCE_MS);
                tolerance_ends_at.min(received_at + SUSPECT_TIMEOUT_MS)
            }
            Phase::Connecting { .. } | Phase::AwaitingState { .. } => 0,
        }
    }
}
