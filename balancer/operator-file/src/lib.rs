//! The operator's file: the settings of an installation in addition to the platform's configuration. It is
//! written in TOML, and each group of settings is an optional table.
//!
//! `parse` reads a balancer's own file, `parse_policy` the policy of a fleet and `parse_plan` the plan of a
//! release. Each text is checked against the deployment's settings, and its routes are proved against the
//! rules. All errors are reported at once, and `render_faults` shows them at their lines.
//!
//! ```text
//! match whinspindle_operator_file::parse(&text, &deployment) {
//!     Ok(config) => serve(config),
//!     Err(errors) => eprintln!("{}", whinspindle_operator_file::render_faults(path, &text, &errors)),
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

/// The largest network delay to a server, in addition to the connection time-out, in microseconds.
const NETWORK_DELAY_US: u64 = 50_000;
/// The largest request body that the program accepts, in bytes.
pub const MAX_BODY_BYTES: u64 = 64 * 1024;

/// The contents of an operator's file.
pub struct OperatorConfig {
    /// The routes.
    pub routes: RouteTable,
    /// How a balancer serves in a partition, when it has no lease of its fleet.
    pub partition_policy: PartitionPolicy,
    /// The limits on units of the fleet that are out of service at once.
    pub limits: Limits,
    /// The membership in a fleet.
    pub fleet: Option<FleetSettings>,
    /// The endpoint cache.
    pub endpoint_cache: Option<EndpointCacheSettings>,
}

/// The settings of the endpoint cache: where the list of servers is persisted, and the ages that decide how
/// far it is trusted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointCacheSettings {
    /// The folder of the stored list.
    pub folder: PathBuf,
    /// The age up to which a list is fresh, in microseconds.
    pub fresh_us: u64,
    /// The age from which on a list is old, in microseconds.
    pub old_us: u64,
}

/// How a balancer serves that may not know the policy in force.
pub enum PartitionPolicy {
    /// Requests are rejected, with a time after which to retry.
    Reject,
    /// Requests take these routes. If there are none, the defaults apply as without a file.
    Routes(RouteTable),
}

impl OperatorConfig {
    /// The routes in the form of the balancer's core: for each route, the policy of each product.
    pub fn route_policies(&self, deployment: &Deployment) -> Vec<Vec<host::RoutePolicy>> {
        let indices = |names: &[String], known: &[String]| -> Vec<usize> {
            names.iter().filter_map(|name| index_of(known, name)).collect()
        };
        let policy = |c: &Conditions| host::RoutePolicy {
            timeout_us: c.timeout_us,
            execution_timeout_us: c.execution_timeout_us,
            max_executions: c.max_executions,
            retry_on: c.retry_on,
            backoff_us: c.retry_delay_us,
            jitter: c.retry_jitter,
            hedge: c.hedge,
            retry_budget: c.retry_budget,
            zones: indices(&c.servers.zones, &deployment.zones),
            kinds: indices(&c.servers.kinds, &deployment.kinds),
            retry_scope: match (c.servers.retries_in_zone, c.servers.retries_in_pod) {
                (_, true) => host::ServerScope::Cell,
                (true, false) => host::ServerScope::Zone,
                (false, false) => host::ServerScope::All,
            },
        };
        self.routes.routes().iter().map(|route| route.conditions.iter().map(policy).collect()).collect()
    }

    /// Whether the process admits few requests at a time when it starts.
    pub fn has_slow_start(&self) -> bool {
        self.fleet.as_ref().is_some_and(|fleet| fleet.slow_start)
    }

    /// The settings that apply without a file.
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

/// Parses a balancer's own file for a deployment, and proves its routes.
pub fn parse(text: &str, deployment: &Deployment) -> Result<OperatorConfig, Vec<ConfigError>> {
    whinspindle_toml_config::parse(text, |table| read::operator_config(table, deployment, true))
}

/// Parses the text of a fleet's policy and proves its routes. A policy has routes, limits and the settings
/// for a partition, but no settings of a single balancer.
pub fn parse_policy(text: &str, deployment: &Deployment) -> Result<OperatorConfig, Vec<ConfigError>> {
    whinspindle_toml_config::parse(text, |table| read::operator_config(table, deployment, false))
}

/// The limits of the deployment that the proof needs.
pub fn deployment_limits(deployment: &Deployment) -> DeploymentLimits {
    let settings = &deployment.balancer_settings;
    DeploymentLimits {
        max_executions: settings.max_executions,
        allow_hedging: settings.allow_hedging,
        can_cancel: settings.allow_cancel,
        connect_timeout_us: deployment.connect_timeout_us,
        tick_us: settings.clock_resolution_us,
        network_delay_us: NETWORK_DELAY_US,
        max_body_bytes: MAX_BODY_BYTES,
    }
}

/// The rules for operators: the number, title and explanation of each.
pub const RULES: [(u8, &str, &str); 4] = [
    (
        1,
        "one final answer in time",
        "Every accepted request gets exactly one final answer (completed, rejected or aborted) \
         before its client's time is over, and nothing more is sent for it afterwards. A route may \
         shorten a request's time, but not extend it past the product's statement timeout less a tick \
         of the clock.",
    ),
    (
        2,
        "no effect twice",
        "An idempotent request may run again. A deduplicated request may run again at servers that \
         recognize its repeats (everywhere, in the zone, or in the pod of the first execution) and as \
         long as they remember it, counted from the send of the first execution that may have run. A \
         non-idempotent request may run again only if every execution before certainly never ran. Two \
         executions are never in flight together if the deployment does not allow second copies.",
    ),
    (
        3,
        "drains are kept",
        "Once a balancer has learned that a server drains or is gone, it sends that server nothing \
         new after a stated grace time. No setting of a route changes this.",
    ),
    (
        4,
        "no cold server is pushed over",
        "A server that has just started has only a part of its capacity. All balancers together keep \
         the load that they send it under a stated multiple of that part. No setting of a route \
         changes this; a route whose servers are all cold rejects the excess load.",
    ),
];
