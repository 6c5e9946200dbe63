//! The messages between the members of a fleet.

use serde::{Deserialize, Serialize};
use whinspindle_consensus::{Ballot, Voter};
use whinspindle_rollout::{ObservationRow, Unit};

use crate::record::{Hash, Record, RequestId};

/// Why a member can't prove a policy against its own settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Objection {
    /// Line of the policy's text, from 1; 0 for the text as a whole.
    pub line: u32,
    /// What is wrong, as a message for operators.
    pub reason: String,
}

/// A member's progress with the change under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Readiness {
    /// No change is under way.
    #[default]
    NoChange,
    /// The member still lacks this number of chunks of the policy's text.
    MissingChunks(u64),
    /// The member has proved the policy with this number.
    Ready(u64),
    /// The member can't prove the policy with this number.
    Objected(u64, Objection),
}

/// The state of a member's lease, which decides the policy that the member serves by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseState {
    /// The member has just started and doesn't know the policy in force yet.
    #[default]
    Learning,
    /// The member holds a lease for the policy with this number.
    Policy(u64),
    /// The member's lease has expired. The member may not know the policy in force, so it follows the
    /// settings for a partition.
    CutOff,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A follower asks a voter to renew its lease.
    RenewLease {
        /// The time of the request by the follower's clock, in microseconds. The lease starts at this time.
        asked_at: u64,
        /// The incarnation of the follower's durable state.
        incarnation: u64,
        /// The start number of the follower's process.
        start: u64,
        /// The bootstrap id of the record that the follower knows.
        bootstrap_id: u64,
        /// The version of the record that the follower knows.
        version: u64,
        /// The state of the follower's lease.
        lease_state: LeaseState,
        /// The follower's progress with the change under way.
        readiness: Readiness,
    },
    /// A voter grants a lease.
    GrantLease {
        /// The value of `asked_at` in the follower's request.
        asked_at: u64,
        /// The value of `start` in the follower's request.
        start: u64,
        /// The voter that grants the lease.
        voter: Voter,
        /// The version of the voter sets for which the grant is made.
        voter_set_version: u64,
        /// The policy in force.
        number: u64,
    },
    /// Sends the record to a member that has an older one.
    Update {
        /// The agreed record.
        record: Record,
    },
    /// Requests chunks of a text.
    Fetch {
        /// The hash of the text.
        hash: Hash,
        /// The first requested chunk.
        chunk: u16,
        /// A bit for each of the 64 chunks from `chunk` on, set if the chunk is requested.
        missing: u64,
    },
    /// A chunk of a text.
    Chunk {
        /// The hash of the text.
        hash: Hash,
        /// The chunk's index.
        chunk: u16,
        /// The length of the whole text in bytes.
        length: u32,
        /// The bytes of the chunk.
        bytes: Vec<u8>,
    },
    /// An operator's request, forwarded to the voters.
    OperatorRequest {
        /// The request.
        request: RequestKind,
        /// The id of the request, the same each time it is sent.
        request_id: RequestId,
    },
    /// First phase of a ballot.
    Prepare {
        /// The proposer's ballot.
        ballot: Ballot,
    },
    /// The answer to `Prepare`.
    Promise {
        /// The promised ballot.
        ballot: Ballot,
        /// The voter that promises.
        voter: Voter,
        /// The ballot and record that the voter accepted last.
        accepted: Option<(Ballot, Record)>,
    },
    /// Second phase of a ballot.
    Accept {
        /// The proposer's ballot.
        ballot: Ballot,
        /// The proposed value.
        record: Record,
    },
    /// The answer to `Accept`.
    Accepted {
        /// The accepted ballot.
        ballot: Ballot,
        /// The voter that accepts.
        voter: Voter,
    },
    /// A member's observations of a release's units since its last message of this kind.
    Observations {
        /// The number of the release.
        release: u64,
        /// The start number of the member's process.
        start: u64,
        /// A number that grows with each message of a start, so that duplicates count once.
        serial: u32,
        /// The counts.
        rows: Vec<ObservationRow>,
    },
    /// A message of another part of the process, which the member passes on without decoding it.
    Opaque {
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// The answer of a voter that rejects a ballot because it has promised a higher one.
    Refuse {
        /// The rejected ballot.
        ballot: Ballot,
        /// The ballot that the voter has promised.
        promised: Ballot,
    },
}

/// A request of an operator or a supervisor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RequestKind {
    /// Propose a new policy.
    Propose {
        /// The hash of the policy's text.
        hash: Hash,
        /// The length of the policy's text in bytes.
        length: u32,
    },
    /// Withdraw the change under way.
    Withdraw {
        /// The number of the proposed policy.
        number: u64,
    },
    /// Take a unit out of service to restart it.
    TakeOut {
        /// The unit.
        unit: Unit,
        /// The number of the release that the unit restarts for; `None` for a restart outside a release.
        release: Option<u64>,
    },
    /// Report that a unit has returned to service.
    Return {
        /// The unit.
        unit: Unit,
        /// Whether the unit has the build that it was restarted for.
        done: bool,
    },
    /// Begin a new release.
    BeginRelease {
        /// The hash of the plan's text.
        hash: Hash,
        /// The length of the plan's text in bytes.
        length: u32,
    },
    /// Roll the release back.
    RollBack {
        /// The number of the release.
        number: u64,
    },
    /// End the release as it stands.
    EndRelease {
        /// The number of the release.
        number: u64,
    },
    /// Stop granting restarts.
    Halt {
        /// The cause, for operators.
        reason: String,
    },
    /// Grant restarts again.
    Resume,
    /// Replace a voter by another member.
    ReplaceVoter {
        /// The present voter.
        old: u16,
        /// The member that becomes a voter in its place.
        new: u16,
    },
}
