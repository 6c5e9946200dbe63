//! Metrics of a process, served over HTTP as OpenMetrics text.
//!
//! ```
//! use whinspindle_metrics::MetricsSnapshot;
//!
//! let mut metrics = MetricsSnapshot::default();
//! metrics.add_counter("requests", "Requests by outcome", [([("outcome", "answered")].as_slice(), 3)]);
//! assert!(metrics.into_text().contains("whinspindle_requests_total{outcome=\"answered\"} 3"));
//! ```

mod endpoint;
mod server;
mod snapshot;

pub use endpoint::{MetricsEndpoint, MetricsEndpointError};
pub use server::serve;
pub use snapshot::MetricsSnapshot;
