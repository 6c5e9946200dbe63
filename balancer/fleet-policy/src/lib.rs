//! A policy that takes hold everywhere or nowhere. Each process of the fleet has a `Member`: it asks the
//! voters for the right to decide by the policy in force, proves the one that is to come, and, if it votes,
//! agrees with the others on each step. No I/O, no clock: one method for each thing that can happen, with the
//! time as the process's own monotonic clock tells it; it acts through `Outside`. `docs/fleet-design.md` has
//! the promises.

#![allow(missing_docs, reason = "not every public item is documented yet")]
#![allow(clippy::too_many_lines, reason = "functions from before the limit, to be split")]

mod member;
mod message;
mod record;
mod texts;

pub use member::{Heard, Member, MemberRules, Memory, Outside, Terms};
pub use message::{Message, Objection, Readiness, Right, Want};
pub use record::{
    Change, Close, Fate, Halt, Hash, LONGEST_TEXT, Out, Part, Past, PastRelease, Policy, Record, Release,
    Step, Wish,
};
pub use texts::PIECE;
pub use whinspindle_consensus::{Ballot, StandardConsensusRules, Voter};
pub use whinspindle_rollout::{No, Plan, Row, Unit, Way};
