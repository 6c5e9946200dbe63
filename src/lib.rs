//! whinspindle: decisions of a load balancer for services that call services.
//!
//! [`decide::Balancer`] holds all decisions, [`host`] what it is handed and what it calls. Protocols live in
//! other crates and reach the decisions through these two alone.

pub mod decide;
pub mod host;
pub mod pcg;
pub mod samples;
pub mod search;
