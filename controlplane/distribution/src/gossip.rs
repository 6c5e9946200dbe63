//! Soft state that controllers tell each other: heartbeats of upstreams and leases of balancers. Times are ages and
//! remaining times, so that the clocks of two machines need not agree.

use std::net::SocketAddr;

use crate::{InstanceFailures, RegionLoad};

/// Changes since the last gossip on a connection, or everything on a new one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gossip {
    pub scope: GossipScope,
    pub instances: Vec<GossipInstance>,
    pub leases: Vec<GossipLease>,
}

/// What a gossip covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GossipScope {
    /// What the sender heard since its last gossip.
    #[default]
    Changes,
    /// All that the sender has heard since it started, a short while ago.
    Heard,
    /// All that lives: the sender has had the time to hear of it.
    Complete,
    /// What the sender found on its disk when it started and has not heard of since.
    Restored,
}

/// The newest heartbeat of an upstream that the sender knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipInstance {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    /// The heartbeat's own counter: a higher one is newer.
    pub sequence: u64,
    pub draining: bool,
    /// The upstream has signed off.
    pub gone: bool,
    /// Remaining time for which the upstream is cold, from the moment this was sent.
    pub slow_start_ms: u64,
    /// Time since the heartbeat arrived.
    pub age_ms: u64,
}

/// The lease of a balancer at the controller that its agent reports to.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipLease {
    pub node: String,
    pub incarnation: u64,
    pub zone: String,
    pub region: String,
    pub front: SocketAddr,
    pub ready: bool,
    pub shutting_down: bool,
    /// Time since the last renewal.
    pub age_ms: u64,
    pub sends: Vec<RegionLoad>,
    pub failing: Vec<InstanceFailures>,
}
