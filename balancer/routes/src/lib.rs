//! Routes: the conditions that an operator sets for some of the requests, the table that finds the route of a
//! request, and the proof that no schedule that a route allows can break a rule. The crate does no I/O and
//! reads no clock; times are microseconds.
//!
//! ```
//! use whinspindle_routes::pattern::Pattern;
//!
//! let pattern = Pattern::parse("/orders/{id}/*").expect("a pattern");
//! assert!(pattern.matches("/orders/7/items"));
//! assert!(!pattern.matches("/orders"));
//! ```

pub mod pattern;
pub mod proof;
mod table;

use whinspindle::host::Effect;
pub use whinspindle::host::{HedgePolicy, RetryOn};

use pattern::Pattern;
pub use table::{Lookup, RouteTable, Tie};

/// The servers that may take a route's requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerSelection {
    /// The names of the allowed zones; empty for any zone.
    pub zones: Vec<String>,
    /// The names of the allowed kinds of servers; empty for any kind.
    pub kinds: Vec<String>,
    /// Whether retries stay in the zone of the first execution.
    pub retries_in_zone: bool,
    /// Whether retries stay in the pod of the first execution.
    pub retries_in_pod: bool,
}

/// The conditions that a route sets for its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Conditions {
    /// The time-out of a request, from its arrival to its final answer.
    pub timeout_us: u64,
    /// The time-out of one execution, from its send to its end.
    pub execution_timeout_us: u64,
    /// The maximum number of executions of a request, including the first.
    pub max_executions: usize,
    /// The outcomes after which a request is retried.
    pub retry_on: RetryOn,
    /// The delay before a retry.
    pub retry_delay_us: u64,
    /// The largest random addition to the delay, as a fraction of `retry_delay_us`.
    pub retry_jitter: f64,
    /// When a hedged request is sent.
    pub hedge: HedgePolicy,
    /// The retry budget, as a fraction of the route's requests.
    pub retry_budget: f64,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// The servers that may take the requests.
    pub servers: ServerSelection,
}

/// The requests that a route applies to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteMatch {
    /// The method; none for any method.
    pub method: Option<String>,
    /// The pattern of the paths.
    pub path: Pattern,
    /// The index of the product in the settings; none for any product.
    pub product: Option<usize>,
    /// The index of the tenant in the settings; none for any tenant.
    pub tenant: Option<usize>,
}

/// A route of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, unique in the file.
    pub name: String,
    /// The requests that the route applies to.
    pub matches: RouteMatch,
    /// The conditions for each product of the settings. They differ only in defaults that depend on the
    /// product.
    pub conditions: Vec<Conditions>,
}

impl Route {
    /// Whether the route can apply to requests for a product.
    pub fn applies_to(&self, product: usize) -> bool {
        self.matches.product.is_none_or(|own| own == product)
    }
}

/// The settings of a product that the proof needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProductSettings {
    /// Whether the product's requests may run more than once.
    pub effect: Effect,
    /// How long servers remember a request for deduplication.
    pub deduplication_us: u64,
    /// How long the product's clients wait for the final answer.
    pub statement_timeout_us: u64,
}

/// The limits of the deployment that the proof needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeploymentLimits {
    /// The maximum number of executions of a request.
    pub max_executions: usize,
    /// Whether two executions of a request may be in flight together.
    pub allow_hedging: bool,
    /// Whether servers can cancel an execution.
    pub can_cancel: bool,
    /// The time-out for a connection to a server.
    pub connect_timeout_us: u64,
    /// The maximum delay of a timer.
    pub tick_us: u64,
    /// The maximum network delay to a server, in addition to the connection time-out.
    pub network_delay_us: u64,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
}
