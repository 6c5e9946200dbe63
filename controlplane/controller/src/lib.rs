//! The controller: operator API, upstream registry, directory and distribution over the replicated state.
//!
//! [`Controller`] is a state machine over the replica, the registries and the publisher: it is given the time and an
//! [`Event`], and returns the [`Action`]s to carry out. [`run`] is the process around it; tests and simulations drive the
//! state machine directly.

pub mod api;
pub mod commands;
mod controller;
mod directory;
pub mod failing_instances;
mod fleet_state;
mod gossip_records;
mod host_region_cache;
mod known_peers;
mod pending_commands;
mod protocol_rules;
mod quorum_contact;
mod runtime;
mod save_schedule;
mod silence_grace;
mod status;

pub use controller::{Action, Controller, ControllerSettings, Event};
pub use pending_commands::CallId;
pub use protocol_rules::{ProtocolRules, StandardRules};
pub use runtime::{ControllerError, DiskError, ListenError, run, run_directory};
