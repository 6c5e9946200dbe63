//! Controllers that other controllers have mentioned. Two that are no members of the view learn of each other only this
//! way.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A controller that nobody has mentioned for this long is removed, in milliseconds.
const RETENTION_MS: u64 = 5_000;

/// When each controller was mentioned last.
#[derive(Debug, Default)]
pub struct KnownPeers {
    last_mentioned_at: BTreeMap<SocketAddr, u64>,
}

impl KnownPeers {
    /// Records the controllers that another one receives heartbeats from.
    pub fn record(&mut self, now: u64, endpoints: impl Iterator<Item = SocketAddr>) {
        self.last_mentioned_at.extend(endpoints.map(|endpoint| (endpoint, now)));
    }

    /// Removes controllers that have not been mentioned for a while.
    pub fn remove_expired(&mut self, now: u64) {
        self.last_mentioned_at.retain(|_, at| *at + RETENTION_MS >= now);
    }

    /// The mentioned controllers but for this one and those that the replica knows.
    pub fn excluding(&self, own: SocketAddr, replica_peers: &[SocketAddr]) -> BTreeSet<SocketAddr> {
        let mentioned = self.last_mentioned_at.keys().copied();
        mentioned.filter(|endpoint| *endpoint != own && !replica_peers.contains(endpoint)).collect()
    }
}
