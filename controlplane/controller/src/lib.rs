//! The controller. It serves the operator API, the registry of upstream instances and the client directory,
//! and distributes the replicated state to balancers.
//!
//! [`Controller`] is a state machine over the replica, the registries and the publisher. It receives the time
//! and an [`Event`], and returns the [`Action`]s to perform. [`run`] is the process around it. Tests and
//! simulations drive the state machine directly.

pub mod api;
pub mod commands;
mod controller;
mod directory;
mod evacuation_admission;
pub mod failing_instances;
mod fleet_state;
mod gossip_records;
mod host_region_cache;
mod known_peers;
mod pending_commands;
mod process_pauses;
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
