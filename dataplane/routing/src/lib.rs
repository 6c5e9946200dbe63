//! Routing: decides which upstream instance a request is forwarded to.
//!
//! [`Router`] is a state machine without I/O. The caller passes in the time, and random numbers come from a
//! seeded generator. The proxy owns one router and calls it for each request.
//!
//! By default, the router draws a region by its weight and picks a random instance in that region, skipping
//! instances with many attempts in flight. The region weights are solved from measured latencies and reported
//! loads. `docs/routing-design.md` describes the exceptions: slow start, outlier ejection, prefix affinity,
//! locality preference, reachability and the retry budget.
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
//! // The router has no configuration yet, so it knows no route.
//! let Choice::Reject(rejection) = router.choose(0, &RequestInfo::default(), &[]) else { panic!() };
//! assert_eq!(rejection.reason, RejectionReason::NoUpstream);
//! # }
//! ```

mod affinity;
mod balancer_count;
mod budget;
mod catalogue;
mod counts;
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
mod weighted_sampler;

pub use metrics::{RegionMetrics, ServiceMetrics};
pub use request::{
    AttemptId, Choice, InstanceKey, Outcome, PromptPart, Rejection, RejectionReason, RequestInfo,
};
pub use router::{InstanceTarget, Router, RouterSettings};
