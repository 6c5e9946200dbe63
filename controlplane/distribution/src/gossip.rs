//! Gossip: the soft state that controllers exchange, heartbeats of upstreams and leases of balancers. Times are ages and
//! remaining times, so that the clocks of two machines need not agree.

use std::net::SocketAddr;

use crate::{InstanceFailures, RegionLoad};

/// The records of one message: changes since the last one on a connection, or everything on a new one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gossip {
    /// What the records cover.
    pub scope: GossipScope,
    /// Records of upstream instances.
    pub instances: Vec<GossipInstance>,
    /// Records of balancers.
    pub leases: Vec<GossipLease>,
}

/// What the records of a message cover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GossipScope {
    /// What was reported to the sender since its last message.
    #[default]
    Changes,
    /// All that the sender has observed since it started, a short while ago.
    Observed,
    /// All that is live: the sender has run for long enough to have observed it.
    Complete,
    /// What the sender restored from its disk when it started and has not observed since.
    Restored,
}

/// The newest heartbeat of an upstream that the sender knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipInstance {
    /// The id of the instance.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: String,
    /// Requests that it handles at once.
    pub slots: u32,
    /// The sequence number of the heartbeat: a higher one is newer.
    pub sequence: u64,
    /// It takes no new requests, now or ever again.
    pub draining: bool,
    /// It has deregistered.
    pub deregistered: bool,
    /// The remaining time of its slow start when this was sent, in milliseconds.
    pub slow_start_ms: u64,
    /// The time since the heartbeat arrived, in milliseconds.
    pub age_ms: u64,
}

/// The lease of a balancer at the controller that its agent reports to.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipLease {
    /// The name of the balancer's node.
    pub node: String,
    /// Differs for each start of the balancer.
    pub incarnation: u64,
    /// The zone that it runs in.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// Where clients connect.
    pub front: SocketAddr,
    /// It can handle requests.
    pub ready: bool,
    /// It is in graceful shutdown.
    pub shutting_down: bool,
    /// The time since the last renewal, in milliseconds.
    pub age_ms: u64,
    /// The rates of requests that it sends.
    pub sends: Vec<RegionLoad>,
    /// Instances that have failed requests of it.
    pub failing: Vec<InstanceFailures>,
}
