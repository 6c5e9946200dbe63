//! What the balancers stand among: servers, network, discovery, clients. A model without I/O and clock: each
//! part is told what happens and when, and says what comes of it. Virtual time and real time drive the same
//! parts.

#![allow(missing_docs, reason = "not every public item is documented yet")]

pub mod arrivals;
pub mod dice;
pub mod links;
pub mod machine;
pub mod registry;
