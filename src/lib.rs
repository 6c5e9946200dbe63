//! whinspindle: decisions of a load balancer for services that call services.
//!
//! [`decide::Balancer`] holds all decisions, [`host`] what it is handed and what it calls. Protocols live in
//! other crates and reach the decisions through these two alone.

#![allow(missing_docs, reason = "not every public item is documented yet")]

pub mod decide;
pub mod host;
pub mod pcg;
pub mod samples;
pub mod search;
