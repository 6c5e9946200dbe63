//! The registries of a controller: upstream instances by their heartbeats, and balancers by their leases.
//!
//! Both are state machines without a clock or sockets: the time is passed in as milliseconds of a steady clock, and the
//! observations of other controllers are merged as records.
//!
//! ```
//! use whinspindle_registry::{InstanceRegistry, RegistryTiming, ServiceSize};
//!
//! let mut registry = InstanceRegistry::new(RegistryTiming { heartbeat_ms: 1_000 });
//! assert!(registry.is_empty());
//! assert!(!registry.expire(5_000), "there is nothing to remove");
//! ```

mod departures;
mod instance_record;
mod instances;
mod known_instances;
mod leases;
mod recent_ends;

pub use instance_record::InstanceRecord;
pub use instances::{HeartbeatEffect, InstanceRegistry, RegistryTiming, ServiceSize};
pub use leases::{Lease, LeaseRecord, LeaseTable, LeaseTiming, ObservedFailures, RegionRequestRate};
