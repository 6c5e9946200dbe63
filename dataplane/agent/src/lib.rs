//! The agent beside each proxy: link to the control plane, feeds the proxy over loopback.
//!
//! The state machines [`LinkSelector`] (which controller) and [`Agent`] (what goes where) have no clock, socket or
//! chance of their own; [`run`] is the program around them.

#![allow(missing_docs, reason = "not every public item is documented yet")]

mod agent;
mod catalog;
mod connection;
pub mod figures;
mod link_list;
mod protocol_rules;
mod report;
mod sections;
mod selector;
pub mod settings_file;
mod shell;

pub use agent::{Agent, AgentSettings, Input, Notice, Output};
pub use catalog::{ControllerCatalog, Rank};
pub use connection::ConnectionId;
pub use protocol_rules::{ProtocolRules, StandardRules};
pub use selector::{LinkEvent, LinkSelector, LossReason};
pub use shell::{AgentError, run};
