//! A process's own figures, served as OpenMetrics text on an address of the operator's choice.

#![allow(missing_docs, reason = "not every public item is documented yet")]

mod endpoint;
mod gauges;
mod server;

pub use endpoint::{MetricsEndpoint, MetricsEndpointError};
pub use gauges::Figures;
pub use server::serve;
