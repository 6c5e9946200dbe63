//! A policy that takes hold everywhere or nowhere. Each process of the fleet has a `Member`: it asks the
//! voters for the right to decide by the policy in force, proves the one that is to come, and, if it votes,
//! agrees with the others on each step. No I/O, no clock: one method for each thing that can happen, with the
//! time as the process's own monotonic clock tells it; it acts through `Environment`. `docs/fleet-design.md` has
//! the promises.

#![allow(missing_docs, reason = "not every public item is documented yet")]
#![allow(clippy::too_many_lines, reason = "functions from before the limit, to be split")]

mod member;
mod message;
mod record;
mod texts;

pub use member::{DurableState, Environment, Member, MemberRules, MemberSettings, PeerReport};
pub use message::{Message, Objection, Readiness, RequestKind, Right};
pub use record::{
    Change, ChangeOutcome, Close, Halt, Hash, MAX_TEXT_BYTES, Out, Part, Past, PastRelease, Policy, Record,
    Release, RequestId, Step,
};
pub use texts::CHUNK_BYTES;
pub use whinspindle_consensus::{Ballot, StandardConsensusRules, Voter};
pub use whinspindle_rollout::{No, Plan, Row, Unit, Way};
