//! Decision logic of a load balancer for service-to-service traffic.
//!
//! [`balancer::Balancer`] makes all decisions; [`host`] holds its input types and the trait through which it
//! acts. Protocol crates use only these two modules. [`weights`], [`samples`] and [`pcg`] are shared with the
//! router of the serving system.

pub mod balancer;
pub mod host;
pub mod pcg;
pub mod samples;
pub mod search;
pub mod weights;
