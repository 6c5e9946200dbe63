//! Routing: decides which upstream instance a request is forwarded to.
//!
//! [`Router`] is a state machine without input or output of its own: times are passed in, nothing is read from a clock or
//! a socket, and random numbers come from a seeded generator. The proxy owns one and calls it for each request.
//!
//! On the ordinary path a region is drawn by weights, which are solved for from measured latency and reported load; inside
//! it an instance is picked at random, passing over those with many attempts in flight. `docs/routing-design.md` describes
//! the exceptions: slow start, outlier ejection, prefix affinity, locality preference, reachability and retry budget.
//!
//! ```
//! use std::collections::BTreeMap;
//! use whinspindle_configuration::{Bounds, Mechanisms};
//! use whinspindle_routing::{Choice, RejectionReason, RequestInfo, Router, RouterSettings};
//!
//! # fn example(bounds: Bounds) {
//! let settings = RouterSettings {
//!     zone: "z1".to_owned(),
//!     region: "a".to_owned(),
//!     zone_regions: BTreeMap::from([("z1".to_owned(), "a".to_owned())]),
//!     bounds,
//!     heartbeat_ms: 1_000,
//!     mechanisms: Mechanisms::default(),
//!     seed: 1,
//! };
//! let mut router = Router::new(settings, 0);
//! // Without a configuration no route is known.
//! let Choice::Reject(rejection) = router.choose(0, &RequestInfo::default(), &[]) else { panic!() };
//! assert_eq!(rejection.reason, RejectionReason::NoUpstream);
//! # }
//! ```

mod affinity;
mod balancer_count;
mod budget;
mod catalogue;
mod counts;
mod even_draw;
mod health;
mod instance;
mod locality;
mod metrics;
mod rate;
mod reachability;
mod region;
mod request;
mod router;
mod service;
mod slow_start;
mod warming_zone;

pub use metrics::{RegionMetrics, ServiceMetrics};
pub use request::{
    AttemptId, Choice, InstanceKey, Outcome, PromptPart, Rejection, RejectionReason, RequestInfo,
};
pub use router::{InstanceTarget, Router, RouterSettings};
