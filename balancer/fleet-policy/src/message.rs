//! What members of a fleet say to one another.

use serde::{Deserialize, Serialize};
use whinspindle_consensus::{Ballot, Voter};
use whinspindle_rollout::{Row, Unit};

use crate::record::{Hash, Record, RequestId};

/// Why a member can't prove a policy against its own settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Objection {
    /// Line of the policy's text, from 1; 0 for the complete of it.
    pub line: u32,
    pub words: String,
}

/// How far a member is with the change under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Readiness {
    #[default]
    Nothing,
    /// Pieces of its text are missing.
    Lacks(u64),
    Ready(u64),
    Objects(u64, Objection),
}

/// By what a member decides now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Right {
    /// It has just started and learns what holds.
    #[default]
    Learning,
    Policy(u64),
    /// It may not know what holds: by the settings for being cut off.
    CutOff,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A follower to a voter: may I go on? `at` is the asker's clock, from which a right counts.
    Ask {
        at: u64,
        incarnation: u64,
        start: u64,
        bootstrap_id: u64,
        version: u64,
        right: Right,
        readiness: Readiness,
    },
    /// A voter to a follower: as long as a right lasts from `at` of that start's clock, this number is in
    /// force.
    Grant {
        at: u64,
        start: u64,
        voter: Voter,
        voter_set_version: u64,
        number: u64,
    },
    /// What is agreed on, to one that knows less.
    Update {
        record: Record,
    },
    /// Pieces of a text: those of the 64 from this one on whose bits are set.
    Fetch {
        hash: Hash,
        chunk: u16,
        missing: u64,
    },
    Chunk {
        hash: Hash,
        chunk: u16,
        length: u32,
        bytes: Vec<u8>,
    },
    /// An operator's request, to the voters.
    OperatorRequest {
        request: RequestKind,
        request_id: RequestId,
    },
    Prepare {
        ballot: Ballot,
    },
    Promise {
        ballot: Ballot,
        voter: Voter,
        accepted: Option<(Ballot, Record)>,
    },
    Accept {
        ballot: Ballot,
        record: Record,
    },
    Accepted {
        ballot: Ballot,
        voter: Voter,
    },
    /// What a member has seen of a release's units since it told last; serial numbers of a start grow.
    Observations {
        release: u64,
        start: u64,
        serial: u32,
        rows: Vec<Row>,
    },
    /// A word of another part of the process to the same part of another one; no concern of the member's.
    Aside {
        bytes: Vec<u8>,
    },
    /// Another round has gone further.
    Refuse {
        ballot: Ballot,
        promised: Ballot,
    },
}

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RequestKind {
    Propose {
        hash: Hash,
        length: u32,
    },
    Withdraw {
        number: u64,
    },
    /// Let a unit out, as a part of the release with this number or for a cause of its own, and take it back.
    Out {
        unit: Unit,
        release: Option<u64>,
    },
    Back {
        unit: Unit,
        /// It carries what it went out for.
        done: bool,
    },
    /// A release begins by this plan, turns back, and is left as it stands.
    Release {
        hash: Hash,
        length: u32,
    },
    Turn {
        number: u64,
    },
    Leave {
        number: u64,
    },
    Halt {
        why: String,
    },
    Resume,
    /// One voter makes way for another member.
    Voters {
        old: u16,
        new: u16,
    },
}
