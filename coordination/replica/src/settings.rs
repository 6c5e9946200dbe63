//! Settings of a replica.

use std::net::SocketAddr;

use crate::placement::Tolerance;

/// Settings of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Where the other replicas reach this one.
    pub endpoint: SocketAddr,
    /// The zone of this replica.
    pub zone: String,
    /// The region of this replica.
    pub region: String,
    /// The endpoints of the bootstrap members, or, later, of some replicas to contact.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Drawn at random: the identity taken with an empty disk, unless this is a bootstrap member.
    pub incarnation: u64,
    /// Drawn at random at each start of the process; also the seed of the jitter.
    pub start_id: u64,
    /// The losses at once that should not stop writes.
    pub tolerance: Tolerance,
    /// Intervals and time-outs.
    pub timing: Timing,
}

/// Intervals and time-outs, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between two heartbeats to the same peer.
    pub heartbeat_interval_ms: u64,
    /// A peer is suspected after this long without a heartbeat.
    pub suspicion_timeout_ms: u64,
    /// How long contact with a peer counts, from the sending of the heartbeat that it has answered.
    pub contact_lifetime_ms: u64,
    /// A write to the disk that takes longer counts as stalled.
    pub disk_stall_timeout_ms: u64,
    /// A neighbour in the chain is suspected after this long without a due acknowledgement.
    pub chain_stall_timeout_ms: u64,
    /// A voter may be replaced after this long without a heartbeat.
    pub replacement_timeout_ms: u64,
    /// A proposal is abandoned after this long without enough promises and votes.
    pub round_timeout_ms: u64,
    /// How long a submitted command may stay without an answer.
    pub submit_timeout_ms: u64,
    /// An unanswered message of the chain, of a submission or of a state transfer is sent again after this long.
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
