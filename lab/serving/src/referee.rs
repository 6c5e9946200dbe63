//! Judges a run by what clients, upstreams and the operator have seen. A state machine without a clock of its own.

mod observation;
mod verdict;
mod windows;

pub use observation::{RequestRules, UpstreamPlace};
pub use verdict::{Referee, Violation, is_promise};
