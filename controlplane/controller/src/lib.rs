//! The controller: operator API, upstream registry, directory and distribution over the replicated state.
//!
//! [`Controller`] is a state machine over the replica, the registry and the publisher: it is given the time and what
//! happened and returns what to answer, to send and to write. [`run`] is the process around it.

#![allow(missing_docs, reason = "not every public item is documented yet")]

mod acquaintances;
pub mod api;
mod contact;
mod controller;
mod directory;
pub mod evidence;
mod exchange;
mod fleet;
mod memory;
pub mod orders;
mod pending;
mod protocol_rules;
mod residency;
mod runtime;
mod status;

pub use controller::{Action, Controller, ControllerSettings, Event};
pub use pending::CallId;
pub use protocol_rules::{ProtocolRules, StandardRules};
pub use runtime::{ControllerError, DiskError, ListenError, run, run_directory};
