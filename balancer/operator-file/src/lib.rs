//! The operator's file: what an installation sets beside the platform's configuration, in TOML, each part in a
//! table of its own that is absent by default.
//!
//! `read` takes a balancer's own file, `read_policy` the policy of a fleet and `read_plan` the plan of a release.
//! Each is checked against the deployment's settings, and its routes are proved against the rules; all faults are
//! reported at once, and `draw` shows them at their lines.
//!
//! ```text
//! match whinspindle_operator_file::read(&text, &deployment) {
//!     Ok(operator) => serve(operator),
//!     Err(faults) => eprintln!("{}", whinspindle_operator_file::draw(path, &text, &faults)),
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
use whinspindle_routes::{Bounds, Conditions, RouteTable};
use whinspindle_toml_config::ConfigError;

pub use draw::draw;
pub use fleet::FleetTerms;
pub use plan::{read_plan, unit};

/// What the network may take from here to a server beside the connect time-out, in microseconds.
const NETWORK_MARGIN: u64 = 50_000;
/// Longest request body that the program takes, in bytes.
pub const LARGEST_BODY: u64 = 64 * 1024;

/// The contents of the file.
pub struct Operator {
    /// The routes.
    pub routes: RouteTable,
    /// What a balancer decides by in a partition, without a lease of its fleet.
    pub cut_off: CutOff,
    /// How many units of the fleet may be out of service at once.
    pub limits: Limits,
    /// The membership of a fleet.
    pub fleet: Option<FleetTerms>,
    /// The endpoint cache.
    pub keep: Option<Keep>,
}

/// The endpoint cache: where the list of servers is persisted, and how far it is trusted by its age.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keep {
    /// The folder of the file.
    pub folder: PathBuf,
    /// Up to this age a list is fresh, in microseconds.
    pub fresh: u64,
    /// From this age on a list is old, in microseconds.
    pub old: u64,
}

/// What a balancer does that may not know which policy is in force.
pub enum CutOff {
    /// Requests are rejected, with a time to come back.
    Rejects,
    /// Requests take these routes; without any, the defaults hold as without a file.
    Routes(RouteTable),
}

impl Operator {
    /// The routes as the balancer's core takes them: for each route a row of conditions for each product.
    pub fn rows(&self, deployment: &Deployment) -> Vec<Vec<host::RoutePolicy>> {
        let named = |names: &[String], known: &[String]| -> Vec<usize> {
            names.iter().filter_map(|name| index_of(known, name)).collect()
        };
        let row = |c: &Conditions| host::RoutePolicy {
            timeout_us: c.time,
            execution_timeout_us: c.execution_time,
            max_executions: c.executions,
            retry_on: c.retry_on,
            backoff_us: c.wait,
            jitter: c.spread,
            hedge: c.hedge,
            retry_budget: c.budget,
            zones: named(&c.servers.zones, &deployment.zones),
            kinds: named(&c.servers.kinds, &deployment.kinds),
            retry_scope: match (c.servers.repeats_in_zone, c.servers.repeats_in_pod) {
                (_, true) => host::ServerScope::Cell,
                (true, false) => host::ServerScope::Zone,
                (false, false) => host::ServerScope::All,
            },
        };
        self.routes.routes().iter().map(|route| route.conditions.iter().map(row).collect()).collect()
    }

    /// Whether the process takes few requests at a time when it starts.
    pub fn begins_slowly(&self) -> bool {
        self.fleet.as_ref().is_some_and(|fleet| fleet.begin_slowly)
    }

    /// The contents of an absent file: no routes.
    pub fn none() -> Operator {
        Operator {
            routes: RouteTable::new(Vec::new()),
            cut_off: CutOff::Routes(RouteTable::new(Vec::new())),
            limits: Limits::default(),
            fleet: None,
            keep: None,
        }
    }
}

/// Reads and proves a file for a deployment.
pub fn read(text: &str, deployment: &Deployment) -> Result<Operator, Vec<ConfigError>> {
    whinspindle_toml_config::parse(text, |table| read::operator(table, deployment, true))
}

/// Reads and proves the text of a fleet's policy: routes, limits, and what holds in a partition, but no setting of
/// a single balancer.
pub fn read_policy(text: &str, deployment: &Deployment) -> Result<Operator, Vec<ConfigError>> {
    whinspindle_toml_config::parse(text, |table| read::operator(table, deployment, false))
}

/// What the deployment allows and demands, as far as the proof needs it.
pub fn bounds(deployment: &Deployment) -> Bounds {
    let terms = &deployment.balancer_settings;
    Bounds {
        executions: terms.max_executions,
        allow_hedging: terms.allow_hedging,
        cancel: terms.allow_cancel,
        connect_time_out: deployment.connect_timeout_us,
        tick: terms.clock_resolution_us,
        network: NETWORK_MARGIN,
        largest_body: LARGEST_BODY,
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
