//! Upstream instances by heartbeats and balancers by leases, as state machines: the time is handed in as milliseconds
//! of a steady clock, and what other controllers learned comes in as records.

#![allow(missing_docs, reason = "not every public item is documented yet")]

mod ended;
mod instances;
mod known;
mod leases;
mod retired;

pub use instances::{HeartbeatEffect, InstanceRecord, InstanceRegistry, RegistryTiming};
pub use leases::{Lease, LeaseRecord, LeaseTable, LeaseTiming, RegionSends, SeenFailures};
