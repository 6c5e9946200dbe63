//! The agent beside each proxy: keeps a link to a controller, sends the control plane's updates to the proxy over loopback
//! and forwards the proxy's reports.
//!
//! [`Agent`] is the state machine, with [`LinkSelector`] to choose the controller. Both have no clock, socket or random
//! numbers of their own: inputs and times are passed in, outputs are returned. [`run`] is the process around them.

mod agent;
mod catalog;
mod connection;
mod endpoint_list;
mod guarded_sections;
mod messages;
pub mod metrics;
mod protocol_rules;
mod proxy_state;
mod runtime;
mod selector;
pub mod settings_file;

pub use agent::Agent;
pub use catalog::{ControllerCatalog, Proximity};
pub use connection::ConnectionId;
pub use messages::{AgentSettings, Input, Notice, Output};
pub use protocol_rules::{ProtocolRules, StandardRules};
pub use runtime::{AgentError, run};
pub use selector::{LinkEvent, LinkSelector, LossReason};
