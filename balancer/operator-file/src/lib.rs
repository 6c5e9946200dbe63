//! The operator's file: one place for what an installation sets beside the platform's configuration, each
//! part in a table of its own that is absent by default. It is checked against the deployment's settings when
//! it is read, and its routes are proved against the rules; all faults are told at once.

#![allow(missing_docs, reason = "not every public item is documented yet")]
#![allow(clippy::too_many_lines, reason = "functions from before the limit, to be split")]

mod draw;
mod fleet;
mod plan;
mod read;

use std::path::PathBuf;

use whinspindle::host;
use whinspindle_deployment_settings::{Deployment, index};
use whinspindle_rollout::Limits;
use whinspindle_routes::{Bounds, Conditions, RouteTable};
use whinspindle_toml_config::Fault;

pub use draw::draw;
pub use fleet::FleetTerms;
pub use plan::{read_plan, unit};

/// What the way to a server may take beside the connect time-out.
const NETWORK_MARGIN: u64 = 50_000;
/// Longest body of a query that the program takes.
pub const LARGEST_BODY: u64 = 64 * 1024;

/// What the file says.
pub struct Operator {
    pub routes: RouteTable,
    /// By what a balancer decides that is cut off from the others of its fleet.
    pub cut_off: CutOff,
    /// How many units of the fleet may be out at once.
    pub limits: Limits,
    pub fleet: Option<FleetTerms>,
    pub keep: Option<Keep>,
}

/// Where the list of servers is kept over a restart, and how far one of which age is believed, in
/// microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keep {
    pub folder: PathBuf,
    pub fresh: u64,
    pub old: u64,
}

/// For a balancer that may not know which policy is in force.
pub enum CutOff {
    /// Queries are rejected, with a time to come back.
    Rejects,
    /// These routes hold; none of them is as without a file.
    Routes(RouteTable),
}

impl Operator {
    /// The routes as the decisions take them: a row of conditions for each product.
    pub fn rows(&self, deployment: &Deployment) -> Vec<Vec<host::RoutePolicy>> {
        let named = |names: &[String], known: &[String]| -> Vec<usize> {
            names.iter().filter_map(|name| index(known, name)).collect()
        };
        let row = |c: &Conditions| host::RoutePolicy {
            time: c.time,
            execution_time: c.execution_time,
            executions: c.executions,
            retry_on: c.retry_on,
            wait: c.wait,
            spread: c.spread,
            hedge: c.hedge,
            budget: c.budget,
            zones: named(&c.servers.zones, &deployment.zones),
            kinds: named(&c.servers.kinds, &deployment.kinds),
            near: match (c.servers.repeats_in_zone, c.servers.repeats_in_pod) {
                (_, true) => host::Group::Cell,
                (true, false) => host::Group::Zone,
                (false, false) => host::Group::All,
            },
        };
        self.routes.routes().iter().map(|route| route.conditions.iter().map(row).collect()).collect()
    }

    /// Whether the process takes few queries at a time when it starts.
    pub fn begins_slowly(&self) -> bool {
        self.fleet.as_ref().is_some_and(|fleet| fleet.begin_slowly)
    }

    /// No routes: as without a file.
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
pub fn read(text: &str, deployment: &Deployment) -> Result<Operator, Vec<Fault>> {
    whinspindle_toml_config::read(text, |table| read::operator(table, deployment, true))
}

/// Reads and proves the text of a policy, which the whole fleet goes by: routes, and what holds for those
/// that are cut off, but nothing that is a balancer's own.
pub fn read_policy(text: &str, deployment: &Deployment) -> Result<Operator, Vec<Fault>> {
    whinspindle_toml_config::read(text, |table| read::operator(table, deployment, false))
}

/// What the deployment allows and demands, as far as the proof needs it.
pub fn bounds(deployment: &Deployment) -> Bounds {
    let terms = &deployment.terms;
    Bounds {
        executions: terms.max_executions,
        allow_hedging: terms.allow_hedging,
        cancel: terms.cancel,
        connect_time_out: deployment.connect_time_out,
        tick: terms.tick,
        network: NETWORK_MARGIN,
        largest_body: LARGEST_BODY,
    }
}

/// The rules by their numbers, as an operator would want them told.
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
