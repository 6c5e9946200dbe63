//! What replicas say to each other.

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
    Heartbeat(Heartbeat),
    /// Asks a voter to promise to vote for nothing older. `known` is the newest view known to the proposer.
    Prepare {
        voter: Voter,
        ballot: Ballot,
        known: u64,
    },
    Promise {
        voter: Voter,
        ballot: Ballot,
        accepted: Option<Box<(Ballot, View)>>,
        report: Report,
    },
    Accept {
        voter: Voter,
        ballot: Ballot,
        view: View,
    },
    Accepted {
        voter: Voter,
        ballot: Ballot,
    },
    /// The voter is bound to `promised`, which is newer than `ballot`.
    Rejected {
        ballot: Ballot,
        promised: Ballot,
    },
    /// A view was agreed on.
    Decided(Decided),
    /// A command, to the head.
    Submit {
        origin: Origin,
        command: Vec<u8>,
    },
    /// The answer to a command, to where it was submitted.
    Replied {
        start: u64,
        ticket: u64,
        sequence: u64,
        answer: Vec<u8>,
    },
    /// Entries and reads, down the chain.
    Append {
        view: u64,
        entries: Vec<Entry>,
        reads: Vec<Read>,
    },
    /// Up the chain: entries up to `last` are durable here, up to `committed` they are committed.
    Acknowledge {
        view: u64,
        last: u64,
        committed: u64,
    },
    /// To the predecessor: where this member stands. One that is not `complete` needs a [`Message::Synchronize`].
    Resume {
        view: u64,
        state: ChainState,
    },
    /// Brings a new member of the chain up to date.
    Synchronize {
        view: u64,
        transfer: Transfer,
    },
    /// A replica outside of the chain asks for what was committed after its position.
    Pull {
        committed: u64,
        digests: Vec<RangeDigest>,
    },
    /// What was committed up to the sender's view, to replicas outside of the chain.
    Learn {
        view: u64,
        transfer: Transfer,
    },
}

/// The newest heartbeat of a replica that was heard. It proves to that replica that what stands beside it was said after
/// that heartbeat was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedHeartbeat {
    pub endpoint: SocketAddr,
    pub start: u64,
    pub sent_at: u64,
}

/// Says that a replica is alive and where it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    pub incarnation: u64,
    /// Another one after each start of the process.
    pub start: u64,
    pub zone: String,
    pub region: String,
    pub view: u64,
    pub report: Report,
    /// By the steady clock of the sender; only its own echo is compared with it.
    pub sent_at: u64,
    /// Replicas that were heard lately.
    pub received: Vec<ReceivedHeartbeat>,
    pub is_fenced: bool,
    /// Its disk does not answer.
    pub is_stalled: bool,
    /// It is about to stop.
    pub is_shutting_down: bool,
}

impl Heartbeat {
    /// Whether the sender has lately heard the replica at this endpoint.
    pub fn receives_from(&self, endpoint: SocketAddr) -> bool {
        self.received.iter().any(|received| received.endpoint == endpoint)
    }

    pub fn failure_domain(&self) -> FailureDomain {
        FailureDomain { zone: self.zone.clone(), region: self.region.clone() }
    }
}

/// Where a member of the chain stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChainState {
    /// Its log is complete but for the newest entries.
    pub is_complete: bool,
    /// The last durable entry.
    pub last: u64,
    pub committed: u64,
    /// Digests of its committed records, if it is not complete.
    pub digests: Vec<RangeDigest>,
}

/// How far a replica's log is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The last view in which its log was durably complete.
    pub complete: u64,
    pub committed: u64,
}
