//! What a replica is told when it starts.

use std::net::SocketAddr;

use crate::placement::Tolerance;

/// Settings of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Where the other replicas reach this one.
    pub endpoint: SocketAddr,
    pub zone: String,
    pub region: String,
    /// Endpoints of the bootstrap members, or, later, of some replicas to ask.
    pub seeds: Vec<SocketAddr>,
    /// The whole system starts for the first time.
    pub bootstrap: bool,
    /// Drawn at random: the identity taken with an empty disk, unless this is a bootstrap member.
    pub incarnation: u64,
    /// Drawn at random at each start of the process; also the seed of the jitter.
    pub start: u64,
    /// What may be lost at once while commands are still taken.
    pub tolerance: Tolerance,
    pub timing: Timing,
}

/// Spans of time, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two heartbeats to the same peer.
    pub heartbeat: u64,
    /// Silence after which a peer is suspected.
    pub suspicion: u64,
    /// How long contact with a peer counts, from the sending of the heartbeat that it has answered.
    pub contact: u64,
    /// How long a write to the disk may last before the disk counts as stalled.
    pub disk_stall: u64,
    /// How long entries may wait for a neighbour in the chain before it is suspected.
    pub chain_stall: u64,
    /// Silence after which a voter may be replaced by a candidate.
    pub replacement: u64,
    /// How long a promise or a vote is waited for before a round is given up.
    pub round: u64,
    /// How long a submitted command may stay without an answer.
    pub submit: u64,
    /// After this an unanswered message of the chain, of a submission or of a synchronisation is sent again.
    pub resend: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat: 200,
            suspicion: 900,
            contact: 1_300,
            disk_stall: 800,
            chain_stall: 1_000,
            replacement: 2_000,
            round: 600,
            submit: 4_000,
            resend: 400,
        }
    }
}
