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
    /// A sign of life.
    Heartbeat(Heartbeat),
    /// Phase 1: asks a voter to promise to accept nothing of a lower ballot.
    Prepare {
        /// The voter that is asked.
        voter: Voter,
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The newest view known to the proposer.
        known_view: u64,
    },
    /// The answer of a voter that promises.
    Promise {
        /// The voter that promises.
        voter: Voter,
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The newest view that the voter has accepted, with its ballot.
        accepted: Option<Box<(Ballot, View)>>,
        /// How far the log of the voter is.
        report: Report,
    },
    /// Phase 2: asks a voter to accept a view.
    Accept {
        /// The voter that is asked.
        voter: Voter,
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The proposed view.
        view: View,
    },
    /// The answer of a voter that accepts.
    Accepted {
        /// The voter that accepts.
        voter: Voter,
        /// The ballot of the proposal.
        ballot: Ballot,
    },
    /// The answer of a voter that has promised a higher ballot.
    Rejected {
        /// The ballot of the rejected proposal.
        ballot: Ballot,
        /// The ballot that was promised.
        promised: Ballot,
    },
    /// The answer to a [`Message::Prepare`] for a voter whose durable state is lost, by the replica that took its place
    /// at its endpoint with an empty disk.
    VoterLost {
        /// The voter that was asked.
        voter: Voter,
        /// The ballot of the proposal.
        ballot: Ballot,
    },
    /// A view was decided.
    Decided(Decided),
    /// A command, sent to the head.
    Submit {
        /// Where it was submitted.
        origin: Origin,
        /// What the application evaluates.
        command: Vec<u8>,
    },
    /// The answer to a command, sent to where it was submitted.
    Replied {
        /// The start of the process that it was submitted to.
        start_id: u64,
        /// The ticket of the command.
        ticket: u64,
        /// The position in the history of the write, or of the state that was read.
        sequence: u64,
        /// What the application answered.
        answer: Vec<u8>,
    },
    /// Entries and reads, sent to the successor.
    Append {
        /// The view of the sender's session.
        view: u64,
        /// Consecutive entries; may be empty.
        entries: Vec<Entry>,
        /// Reads on their way to the tail.
        reads: Vec<Read>,
    },
    /// Acknowledges entries to the predecessor.
    Acknowledge {
        /// The view of the sender's session.
        view: u64,
        /// Entries up to here are durable at the sender.
        last: u64,
        /// Entries up to here are committed.
        committed: u64,
    },
    /// The state of a member, sent to its predecessor. One that is not complete needs a [`Message::Synchronize`].
    Resume {
        /// The view of the sender's session.
        view: u64,
        /// How far its log is.
        state: ChainState,
    },
    /// State transfer to the successor, whose log is complete after it.
    Synchronize {
        /// The view of the sender's session.
        view: u64,
        /// What the successor lacks.
        transfer: Transfer,
    },
    /// A replica outside of the chain asks for what was committed after its position.
    Pull {
        /// That position.
        committed: u64,
        /// The digests of its records.
        digests: Vec<RangeDigest>,
    },
    /// What was committed, sent to replicas outside of the chain.
    Learn {
        /// The newest view known to the sender.
        view: u64,
        /// What was committed up to that view.
        transfer: Transfer,
    },
}

/// The newest heartbeat that was received from a replica.
///
/// Echoed in a heartbeat, it proves to that replica that the sender has composed the heartbeat later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedHeartbeat {
    /// The replica that sent it.
    pub endpoint: SocketAddr,
    /// The start of its process.
    pub start_id: u64,
    /// When it was sent, by the clock of that replica.
    pub sent_at: u64,
}

/// A periodic sign of life, with the state of the replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identifies the durable state of the replica.
    pub incarnation: u64,
    /// Drawn at each start of the process.
    pub start_id: u64,
    /// The zone of the replica.
    pub zone: String,
    /// The region of the replica.
    pub region: String,
    /// The number of the newest view known to the replica.
    pub view: u64,
    /// How far its log is.
    pub report: Report,
    /// In milliseconds of the sender's monotonic clock; only its own echo is compared with it.
    pub sent_at: u64,
    /// The newest heartbeats of its live peers.
    pub received: Vec<ReceivedHeartbeat>,
    /// It has promised a newer view than the one it knows.
    pub is_fenced: bool,
    /// Its disk does not answer in time.
    pub is_stalled: bool,
    /// It is in graceful shutdown.
    pub is_shutting_down: bool,
    /// The version of the protocol that the sender speaks, see [`crate::PROTOCOL_VERSION`].
    pub protocol: u16,
}

impl Heartbeat {
    /// Whether the sender receives heartbeats of the replica at this endpoint.
    pub fn receives_from(&self, endpoint: SocketAddr) -> bool {
        self.received.iter().any(|received| received.endpoint == endpoint)
    }

    /// The zone and region of the sender.
    pub fn failure_domain(&self) -> FailureDomain {
        FailureDomain { zone: self.zone.clone(), region: self.region.clone() }
    }
}

/// How far the log of a chain member is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChainState {
    /// The log holds all that was committed before the view.
    pub is_complete: bool,
    /// The last durable entry.
    pub last: u64,
    /// The last committed entry.
    pub committed: u64,
    /// The digests of its committed records, if the log is not complete.
    pub digests: Vec<RangeDigest>,
}

/// How far the log of a replica is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The last view in which the log was durably complete.
    pub complete: u64,
    /// The last committed entry.
    pub committed: u64,
}
