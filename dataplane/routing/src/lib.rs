//! Which upstream a request goes to. A state machine: times are handed in, nothing is read from a clock or a
//! socket, and chance comes from a seeded generator.
//!
//! The ordinary path is the design's: a region drawn by weights that are solved for from measured latency and exchanged
//! load, a random pick inside it that passes over the crowded. `docs/routing-design.md` tells when an exception acts.

#![allow(missing_docs, reason = "not every public item is documented yet")]

mod affinity;
mod balancer_count;
mod budget;
mod catalogue;
mod cold;
mod counts;
mod even_draw;
mod figures;
mod health;
mod home;
mod instance;
mod rate;
mod reachability;
mod region;
mod request;
mod router;
mod service;
mod turning_zone;

pub use figures::{RegionFigures, ServiceFigures};
pub use request::{Attempt, Choice, InstanceKey, Outcome, PromptPart, Refusal, RefusalReason, RequestFacts};
pub use router::{InstanceTarget, Router, RouterSettings};
