//! Gossip messages. Controllers exchange their soft state with them: heartbeats of upstreams and leases of
//! balancers. Times are sent as ages and remaining durations, so the clocks of two machines need not agree.

use std::net::SocketAddr;

use crate::{InstanceFailures, RegionLoad};

/// A gossip message. On a new connection it contains all records, later only the changes since the last
/// message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gossip {
    /// The selection of records in this message.
    pub scope: GossipScope,
    /// Records of upstream instances.
    pub instances: Vec<GossipInstance>,
    /// Records of balancers.
    pub leases: Vec<GossipLease>,
}

/// The selection of records in a gossip message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GossipScope {
    /// The records that were reported to the sender since its last message.
    #[default]
    Changes,
    /// All records that the sender has observed since it started. It started recently, so records may be
    /// missing.
    Observed,
    /// All live records. The sender has run for long enough to have observed each of them.
    Complete,
    /// The records that the sender restored from disk when it started and has not observed since.
    Restored,
}

/// The newest heartbeat of an upstream instance known to the sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipInstance {
    /// The ID of the instance.
    pub id: String,
    /// The service to which the instance belongs.
    pub service: String,
    /// The address on which the instance accepts requests.
    pub address: SocketAddr,
    /// The zone in which the instance runs.
    pub zone: String,
    /// The number of requests that the instance handles concurrently.
    pub slots: u32,
    /// The sequence number of the heartbeat; a higher number is newer.
    pub sequence: u64,
    /// Whether the instance has permanently stopped accepting new requests.
    pub draining: bool,
    /// Whether the instance has deregistered.
    pub deregistered: bool,
    /// The remaining duration of the slow start when the message was sent, in milliseconds.
    pub slow_start_ms: u64,
    /// The time since the heartbeat was received, in milliseconds.
    pub age_ms: u64,
}

/// The lease of a balancer at the controller to which its agent reports.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipLease {
    /// The name of the node on which the balancer runs.
    pub node: String,
    /// A number that is different for each start of the balancer.
    pub incarnation: u64,
    /// The zone in which the balancer runs.
    pub zone: String,
    /// The region of the zone.
    pub region: String,
    /// The address to which clients connect.
    pub front: SocketAddr,
    /// Whether the balancer can handle requests.
    pub ready: bool,
    /// Whether the balancer is in graceful shutdown.
    pub shutting_down: bool,
    /// The time since the lease was last renewed, in milliseconds.
    pub age_ms: u64,
    /// The rates at which the balancer sends requests, by service and region.
    pub sends: Vec<RegionLoad>,
    /// The instances at which requests of the balancer failed recently.
    pub failing: Vec<InstanceFailures>,
}
