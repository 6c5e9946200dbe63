//! The messages between replicas.

use std::net::SocketAddr;

use whinspindle_consensus::{Ballot, Voter};
use whinspindle_digests::RangeDigest;

use crate::durable::Decided;
use crate::entry::{Entry, Origin, Read};
use crate::placement::FailureDomain;
use crate::transfer::Transfer;
use crate::view::View;

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A periodic heartbeat.
    Heartbeat(Heartbeat),
    /// Phase 1: asks a voter to promise to reject lower ballots.
    Prepare {
        /// The receiving voter.
        voter: Voter,
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The number of the newest view known to the proposer.
        known_view: u64,
    },
    /// The answer of a voter that has promised.
    Promise {
        /// The voter.
        voter: Voter,
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The newest view that the voter has accepted, with its ballot.
        accepted: Option<Box<(Ballot, View)>>,
        /// The progress of the voter's log.
        report: Report,
    },
    /// Phase 2: asks a voter to accept a view.
    Accept {
        /// The receiving voter.
        voter: Voter,
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The proposed view.
        view: View,
    },
    /// The answer of a voter that has accepted.
    Accepted {
        /// The voter.
        voter: Voter,
        /// The ballot of the proposal.
        ballot: Ballot,
    },
    /// The answer of a voter that has promised a higher ballot.
    Rejected {
        /// The ballot of the rejected proposal.
        ballot: Ballot,
        /// The promised ballot.
        promised: Ballot,
    },
    /// The answer to a [`Message::Prepare`] for a voter whose durable state is lost. It is sent by the
    /// replica that replaced the voter at its endpoint with an empty disk.
    VoterLost {
        /// The lost voter.
        voter: Voter,
        /// The ballot of the proposal.
        ballot: Ballot,
    },
    /// A view was decided.
    Decided(Decided),
    /// A command, sent to the head.
    Submit {
        /// Identifies the submitted command.
        origin: Origin,
        /// The command, which the application evaluates.
        command: Vec<u8>,
    },
    /// The answer to a command, sent to the replica that the command was submitted to.
    Replied {
        /// The start ID of the process that the command was submitted to.
        start_id: u64,
        /// The ticket of the command.
        ticket: u64,
        /// The position in the history of the write, or of the state that was read.
        sequence: u64,
        /// The answer of the application.
        answer: Vec<u8>,
    },
    /// Entries and reads, sent to the successor.
    Append {
        /// The view of the sender's session.
        view: u64,
        /// Consecutive entries; may be empty.
        entries: Vec<Entry>,
        /// Reads to forward to the tail.
        reads: Vec<Read>,
    },
    /// Acknowledges entries to the predecessor.
    Acknowledge {
        /// The view of the sender's session.
        view: u64,
        /// The last entry that is durable at the sender.
        last: u64,
        /// The last entry that is committed.
        committed: u64,
    },
    /// The state of a member, sent to its predecessor. A member with an incomplete log needs a
    /// [`Message::Synchronize`].
    Resume {
        /// The view of the sender's session.
        view: u64,
        /// The progress of the member's log.
        state: ChainState,
    },
    /// A state transfer to the successor, which makes the successor's log complete.
    Synchronize {
        /// The view of the sender's session.
        view: u64,
        /// The state that the successor lacks.
        transfer: Transfer,
    },
    /// A request of a replica outside the chain for entries committed after its position.
    Pull {
        /// The committed position of the sender.
        committed: u64,
        /// The digests of the sender's records.
        digests: Vec<RangeDigest>,
    },
    /// Committed entries and records, sent to a replica outside the chain.
    Learn {
        /// The newest view known to the sender.
        view: u64,
        /// The entries and records committed up to that view.
        transfer: Transfer,
    },
}

/// The newest heartbeat received from a replica.
///
/// Each heartbeat echoes the heartbeats that its sender received. The echo proves to the other replica that
/// the sender wrote its heartbeat after receiving the echoed one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedHeartbeat {
    /// The replica that sent the heartbeat.
    pub endpoint: SocketAddr,
    /// The start ID of that replica's process.
    pub start_id: u64,
    /// When the heartbeat was sent, in milliseconds of that replica's clock.
    pub sent_at: u64,
}

/// A periodic heartbeat with the state of its sender.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identifies the durable state of the replica.
    pub incarnation: u64,
    /// Drawn at random at each start of the process.
    pub start_id: u64,
    /// The zone of the replica.
    pub zone: String,
    /// The region of the replica.
    pub region: String,
    /// The number of the newest view known to the replica.
    pub view: u64,
    /// The progress of the replica's log.
    pub report: Report,
    /// When the heartbeat was sent, in milliseconds of the sender's monotonic clock. Only the sender
    /// compares it with other times, when the heartbeat is echoed.
    pub sent_at: u64,
    /// The newest heartbeats received from live peers.
    pub received: Vec<ReceivedHeartbeat>,
    /// Whether the replica has promised a newer view than the one it knows.
    pub is_fenced: bool,
    /// Whether a write to the replica's disk has failed or exceeded the time-out.
    pub is_stalled: bool,
    /// Whether the replica is in graceful shutdown.
    pub is_shutting_down: bool,
    /// The protocol version of the sender, see [`crate::PROTOCOL_VERSION`].
    pub protocol: u16,
}

impl Heartbeat {
    /// Whether the sender receives heartbeats from the replica at this endpoint.
    pub fn receives_from(&self, endpoint: SocketAddr) -> bool {
        self.received.iter().any(|received| received.endpoint == endpoint)
    }

    /// The zone and region of the sender.
    pub fn failure_domain(&self) -> FailureDomain {
        FailureDomain { zone: self.zone.clone(), region: self.region.clone() }
    }
}

/// The progress of a chain member's log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChainState {
    /// Whether the log contains all entries committed before the view.
    pub is_complete: bool,
    /// The last durable entry.
    pub last: u64,
    /// The last committed entry.
    pub committed: u64,
    /// The digests of the committed records, if the log is not complete.
    pub digests: Vec<RangeDigest>,
}

/// The progress of a replica's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The last view in which the log was durably complete.
    pub complete_view: u64,
    /// The last committed entry.
    pub committed: u64,
}
