//! Controllers that others have heard of. Two that are no members of the view learn of each other only this way.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A controller that nobody has mentioned for this long is forgotten.
const FORGOTTEN_AFTER_MS: u64 = 5_000;

/// When each controller was mentioned last.
#[derive(Debug, Default)]
pub struct Acquaintances {
    mentioned_at: BTreeMap<SocketAddr, u64>,
}

impl Acquaintances {
    /// Another controller says that it hears these.
    pub fn mentioned(&mut self, now: u64, endpoints: impl Iterator<Item = SocketAddr>) {
        self.mentioned_at.extend(endpoints.map(|endpoint| (endpoint, now)));
    }

    pub fn forget_old(&mut self, now: u64) {
        self.mentioned_at.retain(|_, at| *at + FORGOTTEN_AFTER_MS >= now);
    }

    /// Those that are not among the known ones.
    pub fn beyond(&self, own: SocketAddr, known: &[SocketAddr]) -> BTreeSet<SocketAddr> {
        let mentioned = self.mentioned_at.keys().copied();
        mentioned.filter(|endpoint| *endpoint != own && !known.contains(endpoint)).collect()
    }
}
