//! The registries of a controller: [`InstanceRegistry`] tracks upstream instances by their heartbeats, and
//! [`LeaseTable`] tracks balancers by their leases.
//!
//! Both are state machines without a clock or sockets. The caller passes the time in milliseconds of a
//! monotonic clock, and merges the observations of other controllers as records.
//!
//! ```
//! use whinspindle_registry::{InstanceRegistry, RegistryTiming, ServiceSize};
//!
//! let mut registry = InstanceRegistry::new(RegistryTiming { heartbeat_ms: 1_000 });
//! assert!(registry.is_empty());
//! assert!(!registry.expire(5_000), "the registry is empty");
//! ```

mod departures;
mod instance_record;
mod instances;
mod known_instances;
mod leases;
mod recent_deregistrations;

pub use instance_record::InstanceRecord;
pub use instances::{HeartbeatEffect, InstanceRegistry, RegistryTiming, ServiceSize};
pub use leases::{Lease, LeaseRecord, LeaseTable, LeaseTiming, ObservedFailures, RegionRequestRate};
