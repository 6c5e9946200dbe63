//! whinspindle: decisions of a load balancer for services that call services.
//!
//! [`balancer::Balancer`] holds all decisions, [`host`] what it is handed and what it calls. Protocols live in
//! other crates and reach the decisions through these two alone. [`weights`], [`samples`] and [`pcg`] are shared with the
//! router of the serving system.

pub mod balancer;
pub mod host;
pub mod pcg;
pub mod samples;
pub mod search;
pub mod weights;
