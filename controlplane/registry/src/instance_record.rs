//! The record of one instance, as controllers exchange it.

use std::net::SocketAddr;

/// One instance, as controllers send it to each other and to balancers. Times are relative to the moment of export.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceRecord {
    /// The instance's own id, unique across services.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: String,
    /// The generation of the instance's software.
    pub generation: String,
    /// Requests that it handles at once.
    pub slots: u32,
    /// The sequence number of its newest heartbeat.
    pub sequence: u64,
    /// It takes no new requests, now or ever again.
    pub draining: bool,
    /// The remaining time of its slow start, in milliseconds; 0 once it is warm.
    pub slow_start_ms: u64,
    /// The time since a controller last received a heartbeat of it, in milliseconds.
    pub age_ms: u64,
}
