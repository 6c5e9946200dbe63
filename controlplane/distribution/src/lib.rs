//! Distributes versioned state from the control plane to the balancers over long-lived connections, and
//! carries the reports of the balancers. Both hops use the same protocol: controller to agent, and agent to
//! proxy. Connections between controllers use the same framing.
//!
//! On the sending side, a [`Publisher`] selects the sections to send to each subscriber. On the receiving
//! side, an [`AppliedState`] stores the newest sections. [`frame`] writes the encoded messages to a byte
//! stream.
//!
//! ```
//! use whinspindle_distribution::{AppliedState, Evacuations, Publisher, SubscriberId, Versions};
//!
//! let subscriber = SubscriberId(1);
//! let (mut publisher, mut applied) = (Publisher::new(), AppliedState::new());
//! publisher.subscribe(subscriber, Versions::default());
//! publisher.set_evacuations(Evacuations { sequence: 1, zones: vec!["zone-a".to_owned()] });
//!
//! let update = publisher.update_for(0, subscriber).expect("there is a new section");
//! applied.apply(0, update);
//! publisher.acknowledge(10, subscriber, applied.versions());
//! assert_eq!(publisher.update_for(20, subscriber), None);
//! ```

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
mod list_budget;
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
