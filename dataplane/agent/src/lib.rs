//! The agent next to each proxy. It keeps a link to a controller, sends the updates of the control plane to
//! the proxy over loopback, and forwards the reports of the proxy.
//!
//! [`Agent`] is the state machine, and [`LinkSelector`] chooses the controller. Both work without I/O: the
//! caller passes in inputs and the time, and carries out the returned outputs. [`run`] is the process around
//! them.

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
