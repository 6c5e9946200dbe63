//! Controllers that other controllers have mentioned in their heartbeats. Two controllers that are not
//! members of the view learn of each other only in this way.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The time after its last mention at which a controller is removed, in milliseconds.
const RETENTION_MS: u64 = 5_000;

/// The mentioned controllers, with the time of the last mention.
#[derive(Debug, Default)]
pub struct KnownPeers {
    last_mentioned_at: BTreeMap<SocketAddr, u64>,
}

impl KnownPeers {
    /// Records the controllers from which another controller receives heartbeats.
    pub fn record(&mut self, now: u64, endpoints: impl Iterator<Item = SocketAddr>) {
        self.last_mentioned_at.extend(endpoints.map(|endpoint| (endpoint, now)));
    }

    /// Removes controllers that have not been mentioned for the retention time.
    pub fn remove_expired(&mut self, now: u64) {
        self.last_mentioned_at.retain(|_, at| *at + RETENTION_MS >= now);
    }

    /// The mentioned controllers, except this controller and the peers of its replica.
    pub fn excluding(&self, own: SocketAddr, replica_peers: &[SocketAddr]) -> BTreeSet<SocketAddr> {
        let mentioned = self.last_mentioned_at.keys().copied();
        mentioned.filter(|endpoint| *endpoint != own && !replica_peers.contains(endpoint)).collect()
    }
}
