//! Metrics of a process, served as OpenMetrics text on an address of the operator's choice.
//!
//! ```
//! use whinspindle_metrics::Figures;
//!
//! let mut metrics = Figures::default();
//! metrics.count("requests", "Requests by outcome", [([("outcome", "answered")].as_slice(), 3)]);
//! assert!(metrics.into_text().contains("whinspindle_requests_total{outcome=\"answered\"} 3"));
//! ```

mod endpoint;
mod server;
mod snapshot;

pub use endpoint::{MetricsEndpoint, MetricsEndpointError};
pub use server::serve;
pub use snapshot::Figures;
