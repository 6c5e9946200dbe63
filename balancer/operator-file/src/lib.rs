//! The operator's file: what an installation sets beside the platform's configuration, in TOML, each part in a
//! table of its own that is absent by default.
//!
//! `parse` reads a balancer's own file, `parse_policy` the policy of a fleet and `parse_plan` the plan of a release.
//! Each is checked against the deployment's settings, and its routes are proved against the rules; all faults are
//! reported at once, and `render_faults` shows them at their lines.
//!
//! ```text
//! match whinspindle_operator_file::parse(&text, &deployment) {
//!     Ok(operator) => serve(operator),
//!     Err(faults) => eprintln!("{}", whinspindle_operator_file::render_faults(path, &text, &faults)),
//! }
//! ```

mod draw;
mod fleet;
mod plan;
mod read;

use std::path::PathBuf;

use whinspindle::host;
use whinspindle_deployment_settings::{Deployment, index_of};
use whinspindle_rollout::Limits;
use whinspindle_routes::{Conditions, DeploymentLimits, RouteTable};
use whinspindle_toml_config::ConfigError;

pub use draw::render_faults;
pub use fleet::FleetSettings;
pub use plan::{parse_plan, parse_unit};

/// What the network may take from here to a server beside the connect time-out, in microseconds.
const NETWORK_MARGIN: u64 = 50_000;
/// Longest request body that the program takes, in bytes.
pub const MAX_BODY_BYTES: u64 = 64 * 1024;

/// The contents of the file.
pub struct OperatorConfig {
    /// The routes.
    pub routes: RouteTable,
    /// What a balancer decides by in a partition, without a lease of its fleet.
    pub partition_policy: PartitionPolicy,
    /// How many units of the fleet may be out of service at once.
    pub limits: Limits,
    /// The membership of a fleet.
    pub fleet: Option<FleetSettings>,
    /// The endpoint cache.
    pub endpoint_cache: Option<EndpointCacheSettings>,
}

/// The endpoint cache: where the list of servers is persisted, and how far it is trusted by its age.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointCacheSettings {
    /// The folder of the file.
    pub folder: PathBuf,
    /// Up to this age a list is fresh, in microseconds.
    pub fresh_us: u64,
    /// From this age on a list is old, in microseconds.
    pub old_us: u64,
}

/// What a balancer does that may not know which policy is in force.
pub enum PartitionPolicy {
    /// Requests are rejected, with a time to come back.
    Reject,
    /// Requests take these routes; without any, the defaults hold as without a file.
    Routes(RouteTable),
}

impl OperatorConfig {
    /// The routes as the balancer's core takes them: for each route a row of conditions for each product.
    pub fn route_policies(&self, deployment: &Deployment) -> Vec<Vec<host::RoutePolicy>> {
        let named = |names: &[String], known: &[String]| -> Vec<usize> {
            names.iter().filter_map(|name| index_of(known, name)).collect()
        };
        let row = |c: &Conditions| host::RoutePolicy {
            timeout_us: c.timeout_us,
            execution_timeout_us: c.execution_timeout_us,
            max_executions: c.max_executions,
            retry_on: c.retry_on,
            backoff_us: c.retry_delay_us,
            jitter: c.retry_jitter,
            hedge: c.hedge,
            retry_budget: c.retry_budget,
            zones: named(&c.servers.zones, &deployment.zones),
            kinds: named(&c.servers.kinds, &deployment.kinds),
            retry_scope: match (c.servers.retries_in_zone, c.servers.retries_in_pod) {
                (_, true) => host::ServerScope::Cell,
                (true, false) => host::ServerScope::Zone,
                (false, false) => host::ServerScope::All,
            },
        };
        self.routes.routes().iter().map(|route| route.conditions.iter().map(row).collect()).collect()
    }

    /// Whether the process takes few requests at a time when it starts.
    pub fn has_slow_start(&self) -> bool {
        self.fleet.as_ref().is_some_and(|fleet| fleet.slow_start)
    }

    /// The contents of an absent file: no routes.
    pub fn empty() -> OperatorConfig {
        OperatorConfig {
            routes: RouteTable::new(Vec::new()),
            partition_policy: PartitionPolicy::Routes(RouteTable::new(Vec::new())),
            limits: Limits::default(),
            fleet: None,
            endpoint_cache: None,
        }
    }
}

/// Reads and proves a file for a deployment.
pub fn parse(text: &str, deployment: &Deployment) -> Result<OperatorConfig, Vec<ConfigError>> {
    whinspindle_toml_config::parse(text, |table| read::operator(table, deployment, true))
}

/// Reads and proves the text of a fleet's policy: routes, limits, and what holds in a partition, but no setting of
/// a single balancer.
pub fn parse_policy(text: &str, deployment: &Deployment) -> Result<OperatorConfig, Vec<ConfigError>> {
    whinspindle_toml_config::parse(text, |table| read::operator(table, deployment, false))
}

/// What the deployment allows and demands, as far as the proof needs it.
pub fn deployment_limits(deployment: &Deployment) -> DeploymentLimits {
    let terms = &deployment.balancer_settings;
    DeploymentLimits {
        max_executions: terms.max_executions,
        allow_hedging: terms.allow_hedging,
        can_cancel: terms.allow_cancel,
        connect_timeout_us: deployment.connect_timeout_us,
        tick_us: terms.clock_resolution_us,
        network_delay_us: NETWORK_MARGIN,
        max_body_bytes: MAX_BODY_BYTES,
    }
}

/// The rules as operators read them: number, title and explanation.
pub const RULES: [(u8, &str, &str); 4] = [
    (
        1,
        "one final answer in time",
        "Every query that is taken gets exactly one final answer (completed, rejected or aborted) \
         before its client's time is over, and nothing more is sent for it afterwards. A route may \
         shorten a query's time, never lengthen it past the product's statement timeout less a tick \
         of the clock.",
    ),
    (
        2,
        "no effect twice",
        "An idempotent query may run again. A deduplicated one may, where the servers know its \
         repeats (everywhere, in the zone, or in the pod of the first execution) and as long as they \
         remember them, counted from the send of the first that may have run. A non-idempotent one \
         may run again only if every execution before surely never ran. Two executions are never out \
         together where the deployment does not allow second copies.",
    ),
    (
        3,
        "drains are kept",
        "Within a stated grace after a balancer is told that a server drains or is gone, it sends \
         that server nothing new. No setting of a route changes this.",
    ),
    (
        4,
        "no cold server is pushed over",
        "A server that has just started can do a part of its work. All balancers together keep what \
         they send it under a stated multiple of that part. No setting of a route changes this; a \
         route whose servers are all cold rejects what is over.",
    ),
];
