//! When the silence of upstreams counts again after this controller has been out of contact.
//!
//! While it was, upstreams turned to other controllers, so that their silence here said nothing. It counts again, from when
//! they were last heard, as soon as each controller that is in contact has sent all that it knows: a live upstream is known to
//! one of them, with its true age. Without these snapshots it counts anew from the return.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The time after a return during which the silence of upstreams is not trusted. Times are milliseconds of the process's
/// steady clock.
#[derive(Debug)]
pub struct SilenceGrace {
    /// The time between two heartbeats of an upstream. A snapshot that came no earlier than this before the return holds
    /// every live upstream: it is heard again by a controller in contact before its silence would count.
    heartbeat_ms: u64,
    returned_at: Option<u64>,
    /// When each other controller last sent a complete snapshot.
    snapshots: BTreeMap<SocketAddr, u64>,
}

impl SilenceGrace {
    /// No return yet.
    pub fn new(heartbeat_ms: u64) -> SilenceGrace {
        SilenceGrace { heartbeat_ms, returned_at: None, snapshots: BTreeMap::new() }
    }

    /// Contact with a majority was lost.
    pub fn contact_lost(&mut self) {
        self.returned_at = None;
    }

    /// There is contact with a majority again.
    pub fn contact_regained(&mut self, now: u64) {
        self.returned_at = Some(now);
    }

    /// Another controller has sent all that it knows.
    pub fn snapshot_received(&mut self, now: u64, from: SocketAddr) {
        self.snapshots.insert(from, now);
    }

    /// Whether the grace ends now, given the controllers that are in contact; once for each return.
    pub fn take_end(&mut self, in_contact: &[SocketAddr]) -> bool {
        let Some(returned_at) = self.returned_at else { return false };
        let has_sent = |peer: &SocketAddr| {
            self.snapshots.get(peer).is_some_and(|at| at + self.heartbeat_ms >= returned_at)
        };
        let ends = !in_contact.is_empty() && in_contact.iter().all(has_sent);
        if ends {
            self.returned_at = None;
        }
        ends
    }
}
