//! The record of one instance that controllers exchange.

use std::net::SocketAddr;

/// The state of one instance, which controllers send to each other and to balancers. Durations are relative
/// to the time at which the record was created.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceRecord {
    /// The id of the instance, unique across services.
    pub id: String,
    /// The service to which the instance belongs.
    pub service: String,
    /// The address on which the instance accepts requests.
    pub address: SocketAddr,
    /// The zone in which the instance runs.
    pub zone: String,
    /// The generation of the instance's software.
    pub generation: String,
    /// The number of requests that the instance handles concurrently.
    pub slots: u32,
    /// The sequence number of the newest heartbeat.
    pub sequence: u64,
    /// Whether the instance is draining. A draining instance never accepts new requests again.
    pub draining: bool,
    /// The remaining time of the slow start, in milliseconds; 0 once the instance is warm.
    pub slow_start_ms: u64,
    /// The time since a controller last received a heartbeat from the instance, in milliseconds.
    pub age_ms: u64,
}
