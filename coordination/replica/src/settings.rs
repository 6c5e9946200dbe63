//! Settings of a replica.

use std::net::SocketAddr;

use crate::placement::Tolerance;

/// Settings of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The address at which other replicas reach this one.
    pub endpoint: SocketAddr,
    /// The zone of this replica.
    pub zone: String,
    /// The region of this replica.
    pub region: String,
    /// The endpoints of the bootstrap members. After the bootstrap, the endpoints of some replicas to
    /// contact.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// A random number, used as the incarnation if the disk is empty and this is not a bootstrap member.
    pub incarnation: u64,
    /// A random number drawn at each start of the process. Also used as the seed of the jitter.
    pub start_id: u64,
    /// The simultaneous losses that should not stop writes.
    pub tolerance: Tolerance,
    /// Intervals and time-outs.
    pub timing: Timing,
}

/// Intervals and time-outs, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The interval between two heartbeats to the same peer.
    pub heartbeat_interval_ms: u64,
    /// A peer is suspected after this long without a heartbeat.
    pub suspicion_timeout_ms: u64,
    /// How long contact with a peer stays confirmed after sending a heartbeat that the peer has echoed.
    pub contact_lifetime_ms: u64,
    /// The disk counts as stalled if a write takes at least this long.
    pub disk_stall_timeout_ms: u64,
    /// A neighbour in the chain is suspected if a due acknowledgement is missing for this long.
    pub chain_stall_timeout_ms: u64,
    /// A voter may be replaced after this long without a heartbeat.
    pub replacement_timeout_ms: u64,
    /// A proposal is abandoned if it does not succeed within this time.
    pub round_timeout_ms: u64,
    /// A submitted command fails if it is not answered within this time.
    pub submit_timeout_ms: u64,
    /// An unanswered message of the chain, of a submission or of a state transfer is sent again after this
    /// time.
    pub resend_interval_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat_interval_ms: 200,
            suspicion_timeout_ms: 900,
            contact_lifetime_ms: 1_300,
            disk_stall_timeout_ms: 800,
            chain_stall_timeout_ms: 1_000,
            replacement_timeout_ms: 2_000,
            round_timeout_ms: 600,
            submit_timeout_ms: 4_000,
            resend_interval_ms: 400,
        }
    }
}
