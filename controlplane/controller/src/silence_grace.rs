//! The grace period for silent upstreams after this controller has regained contact with a majority.
//!
//! While a controller is out of contact, upstreams send their heartbeats to other controllers, so their
//! silence at this controller is meaningless. The silence counts again, from the last heartbeat, as soon as
//! each controller in contact has sent a complete snapshot: every live upstream is then known from one of
//! them, with its true age. Until then, the silence counts only from the time at which contact was regained.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The grace period after contact was regained. Times are in milliseconds of the process's monotonic clock.
#[derive(Debug)]
pub struct SilenceGrace {
    /// The time between two heartbeats of an upstream, in milliseconds. A snapshot is recent enough if it was
    /// received at most this long before contact was regained. An upstream that is missing from it sends a
    /// heartbeat to a controller in contact before its silence timeout passes.
    heartbeat_ms: u64,
    regained_at: Option<u64>,
    /// The time at which each other controller last sent a complete snapshot.
    snapshot_received_at: BTreeMap<SocketAddr, u64>,
}

impl SilenceGrace {
    /// Creates a state without a grace period.
    pub fn new(heartbeat_ms: u64) -> SilenceGrace {
        SilenceGrace { heartbeat_ms, regained_at: None, snapshot_received_at: BTreeMap::new() }
    }

    /// Records the loss of contact with a majority.
    pub fn record_contact_loss(&mut self) {
        self.regained_at = None;
    }

    /// Records that contact with a majority was regained, which starts the grace period.
    pub fn record_contact_return(&mut self, now: u64) {
        self.regained_at = Some(now);
    }

    /// Records that another controller has sent a complete snapshot.
    pub fn record_snapshot(&mut self, now: u64, from: SocketAddr) {
        self.snapshot_received_at.insert(from, now);
    }

    /// Ends the grace period if all controllers in contact have sent snapshots. Returns whether it has ended
    /// now.
    pub fn end_if_complete(&mut self, peers_in_contact: &[SocketAddr]) -> bool {
        let Some(regained_at) = self.regained_at else { return false };
        let has_sent = |peer: &SocketAddr| {
            self.snapshot_received_at.get(peer).is_some_and(|at| at + self.heartbeat_ms >= regained_at)
        };
        let is_complete = !peers_in_contact.is_empty() && peers_in_contact.iter().all(has_sent);
        if is_complete {
            self.regained_at = None;
        }
        is_complete
    }
}
