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

/// How far a member is with the change under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Readiness {
    /// No change is under way.
    #[default]
    NoChange,
    /// So many chunks of its text are missing.
    MissingChunks(u64),
    /// It has proved the policy with this number.
    Ready(u64),
    /// It can't prove the policy with this number.
    Objected(u64, Objection),
}

/// What a member decides by now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseState {
    /// It has just started and doesn't know yet what is in force.
    #[default]
    Learning,
    /// It holds a lease for the policy with this number.
    Policy(u64),
    /// Its lease has expired, and it may not know the policy in force: by the settings for a partition.
    CutOff,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A follower asks a voter to renew its lease.
    RenewLease {
        /// The follower's clock in microseconds, from which the lease counts.
        asked_at: u64,
        /// Of the follower's durable state.
        incarnation: u64,
        /// The start number of the follower's process.
        start: u64,
        /// Of the record it knows.
        bootstrap_id: u64,
        /// Of the record it knows.
        version: u64,
        /// What it decides by.
        lease_state: LeaseState,
        /// How far it is with the change under way.
        readiness: Readiness,
    },
    /// A voter grants a lease.
    GrantLease {
        /// From the request: the follower's clock, from which the lease counts.
        asked_at: u64,
        /// From the request: the start number of the follower's process.
        start: u64,
        /// Who grants it.
        voter: Voter,
        /// The voter sets that the grant counts in.
        voter_set_version: u64,
        /// The policy in force.
        number: u64,
    },
    /// The record, to a member that has an older one.
    Update {
        /// What is agreed.
        record: Record,
    },
    /// Asks for chunks of a text.
    Fetch {
        /// Of the text.
        hash: Hash,
        /// The first chunk asked for.
        chunk: u16,
        /// A bit for each of the 64 chunks from `chunk` on, set if it is asked for.
        missing: u64,
    },
    /// A chunk of a text.
    Chunk {
        /// Of the text.
        hash: Hash,
        /// The chunk's index.
        chunk: u16,
        /// Of the whole text, in bytes.
        length: u32,
        /// The chunk.
        bytes: Vec<u8>,
    },
    /// An operator's request, passed on to the voters.
    OperatorRequest {
        /// What is asked for.
        request: RequestKind,
        /// The same each time it is sent.
        request_id: RequestId,
    },
    /// First phase of a ballot.
    Prepare {
        /// The proposer's ballot.
        ballot: Ballot,
    },
    /// The answer to `Prepare`.
    Promise {
        /// The ballot that is promised.
        ballot: Ballot,
        /// Who promises.
        voter: Voter,
        /// What it has accepted last.
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
        /// The ballot that is accepted.
        ballot: Ballot,
        /// Who accepts.
        voter: Voter,
    },
    /// What a member has observed of a release's units since its last such message.
    Observations {
        /// The number of the release.
        release: u64,
        /// The start number of the member's process.
        start: u64,
        /// Grows with each message of a start, so that one that arrives twice counts once.
        serial: u32,
        /// The counts.
        rows: Vec<ObservationRow>,
    },
    /// A message of another part of the process, which the member passes through unread.
    Opaque {
        /// Its encoding.
        bytes: Vec<u8>,
    },
    /// A voter rejects a ballot, as it has promised a higher one.
    Refuse {
        /// The rejected ballot.
        ballot: Ballot,
        /// The ballot that it has promised.
        promised: Ballot,
    },
}

/// What an operator or a supervisor asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RequestKind {
    /// A new policy.
    Propose {
        /// Of its text.
        hash: Hash,
        /// Of its text, in bytes.
        length: u32,
    },
    /// The end of the change under way.
    Withdraw {
        /// The number of its policy.
        number: u64,
    },
    /// Leave for a unit to restart.
    TakeOut {
        /// The unit.
        unit: Unit,
        /// The number of the release that it restarts for; none for another cause.
        release: Option<u64>,
    },
    /// A unit has returned to service.
    Return {
        /// The unit.
        unit: Unit,
        /// Whether it has the build that it was restarted for.
        done: bool,
    },
    /// A new release.
    BeginRelease {
        /// Of its plan's text.
        hash: Hash,
        /// Of its plan's text, in bytes.
        length: u32,
    },
    /// The release is rolled back.
    RollBack {
        /// The number of the release.
        number: u64,
    },
    /// The release ends as it stands.
    EndRelease {
        /// The number of the release.
        number: u64,
    },
    /// No unit gets leave to restart any more.
    Halt {
        /// The cause, for operators.
        reason: String,
    },
    /// Units get leave again.
    Resume,
    /// A voter is replaced by another member.
    ReplaceVoter {
        /// The member that votes now.
        old: u16,
        /// The member that votes in its place.
        new: u16,
    },
}
