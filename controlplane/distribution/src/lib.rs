//! Versioned updates from the control plane to the balancers over long-lived connections, and what the balancers
//! report back. One protocol serves both hops: controller to agent, and agent to proxy. The controllers' own links
//! use the same framing.

#![allow(missing_docs, reason = "not every public item is documented yet")]

mod allowance;
mod applied_state;
mod changes;
mod codec;
pub mod connect;
#[allow(
    clippy::all,
    clippy::pedantic,
    clippy::unwrap_used,
    dead_code,
    missing_docs,
    unused_qualifications,
    reason = "generated code"
)]
mod distribution_capnp;
pub mod frame;
mod gossip;
mod message;
mod publisher;

pub use applied_state::AppliedState;
pub use codec::{
    DecodeError, decode_gossip, decode_hello, decode_report, decode_to_balancer, encode_gossip, encode_hello,
    encode_report, encode_to_balancer,
};
pub use gossip::{Gossip, GossipInstance, GossipLease, GossipScope};
pub use message::{
    Configured, ControllerAddress, Evacuations, Fleet, Hello, Instance, InstanceChanges, InstanceFailures,
    Instances, Link, RegionLoad, Report, Role, ServiceRegion, ToBalancer, Update, Versions,
};
pub use publisher::{Lag, Publisher, Section, SubscriberId};
