//! A whole fleet in virtual time: many copies of the decisions among the servers, network, discovery and
//! clients of the world, event by event. The same scenario, seed and build bring the same run to the last
//! digit.

#![allow(missing_docs, reason = "not every public item is documented yet")]
#![allow(clippy::too_many_lines, reason = "functions from before the limit, to be split")]

mod decider;
mod plain;
mod play;
mod queue;
mod release;
mod rules;
mod troubles;

pub use decider::Policy;
pub use play::{Fleet, Progress};
pub use rules::{invariant_rules, report_listing, server_id, terms};
