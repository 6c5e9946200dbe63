//! One connection to a controller, from the attempt to its end.

use std::net::SocketAddr;

use whinspindle_distribution::Link;

/// An attempt that takes longer is given up.
pub(crate) const CONNECT_MS: u64 = 500;
/// A controller that says nothing for this long after the connection stands is given up.
pub(crate) const GREETING_MS: u64 = 700;
/// A link that is silent for this long is suspected, and another one is looked for.
pub(crate) const SUSPECT_MS: u64 = 700;
/// A link that is silent for this long is lost.
pub(crate) const SILENCE_MS: u64 = 1_000;
/// How long a controller may be without a quorum before another one is looked for.
pub(crate) const QUORUM_PATIENCE_MS: u64 = 1_000;

/// A connection to a controller; a number is not used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

#[derive(Clone, Debug)]
pub(crate) struct Connection {
    pub endpoint: SocketAddr,
    phase: Phase,
    /// Since when the controller has had no quorum, if it had one on this connection.
    quorum_lost_at: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Connecting { since: u64 },
    Greeting { since: u64 },
    Speaking { heard_at: u64, in_quorum: bool, shutting_down: bool },
}

impl Connection {
    pub fn connecting(now: u64, endpoint: SocketAddr) -> Connection {
        Connection { endpoint, phase: Phase::Connecting { since: now }, quorum_lost_at: None }
    }

    pub fn connected(&mut self, now: u64) {
        self.phase = Phase::Greeting { since: now };
    }

    /// Something arrived.
    pub fn heard(&mut self, now: u64) {
        if let Phase::Speaking { heard_at, .. } = &mut self.phase {
            *heard_at = now;
        }
    }

    /// The controller told of its state.
    pub fn told(&mut self, now: u64, link: &Link) {
        if link.in_quorum {
            self.quorum_lost_at = None;
        } else if self.has_quorum() {
            self.quorum_lost_at = Some(now);
        }
        self.phase =
            Phase::Speaking { heard_at: now, in_quorum: link.in_quorum, shutting_down: link.shutting_down };
    }

    pub fn has_quorum(&self) -> bool {
        matches!(self.phase, Phase::Speaking { in_quorum: true, .. })
    }

    pub fn is_shutting_down(&self) -> bool {
        matches!(self.phase, Phase::Speaking { shutting_down: true, .. })
    }

    /// The controller can serve as the link.
    pub fn is_usable(&self) -> bool {
        self.has_quorum() && !self.is_shutting_down()
    }

    /// When the connection is given up if nothing more arrives.
    pub fn gives_up_at(&self) -> u64 {
        match self.phase {
            Phase::Connecting { since } => since + CONNECT_MS,
            Phase::Greeting { since } => since + GREETING_MS,
            Phase::Speaking { heard_at, .. } => heard_at + SILENCE_MS,
        }
    }

    /// From when on another link is to be looked for if nothing more arrives.
    pub fn unfit_from(&self) -> u64 {
        match self.phase {
            Phase::Speaking { shutting_down: true, .. } => 0,
            Phase::Speaking { heard_at, in_quorum: true, .. } => heard_at + SUSPECT_MS,
            Phase::Speaking { heard_at, .. } => {
                let patience_ends = self.quorum_lost_at.map_or(0, |lost_at| lost_at + QUORUM_PATIENCE_MS);
                patience_ends.min(heard_at + SUSPECT_MS)
            }
            Phase::Connecting { .. } | Phase::Greeting { .. } => 0,
        }
    }
}
