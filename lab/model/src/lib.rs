//! The model of everything around the balancers: servers, network, discovery and clients.
//!
//! It has no I/O and no clock of its own: each part is told what happens and when, and returns what follows from it. The
//! simulation drives it in virtual time, the test bed in real time. Times are microseconds unless stated otherwise.

pub mod arrivals;
pub mod links;
pub mod machine;
pub mod random;
pub mod registry;

const MICROSECONDS_PER_SECOND: f64 = 1e6;
