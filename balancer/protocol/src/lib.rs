//! The messages of the protocol: each is decoded into a small typed value once, and encoded once. The names
//! on the wire end here.

pub mod answer;
pub mod endpoints;
pub mod execution;
mod headers;
pub mod query;
mod report;
