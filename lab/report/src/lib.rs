//! What a run comes to. `Tally` is told of single queries while the run lasts; `Run` holds the figures, which
//! are kept as JSON, printed as a table and drawn as a page.

#![allow(missing_docs, reason = "not every public item is documented yet")]
#![allow(clippy::too_many_lines, reason = "functions from before the limit, to be split")]

pub mod compare;
pub mod page;
pub mod recovery;
pub mod table;
mod tally;

use serde::{Deserialize, Serialize};
use whinspindle_lab_invariants::Verdict;

pub use tally::{Tally, Told};

/// All figures of one run. Times are milliseconds unless the name says otherwise.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Run {
    pub scenario: String,
    pub shows: String,
    /// What decided: the module, a baseline, or the program.
    pub decided_by: String,
    /// True where no socket was used.
    pub simulated: bool,
    pub seed: u64,
    /// Stands for everything that happened; the same for the same scenario, seed and build.
    pub digest: String,
    pub lasts_s: f64,
    pub counted_s: f64,
    /// Importance earned, as a part of what all queries were worth.
    pub worth: f64,
    pub queries: u64,
    pub completed: u64,
    /// Of the completed, those after their SLO time.
    pub tardy: u64,
    pub rejected: u64,
    pub failed: u64,
    pub latency: Quantiles,
    pub tiers: Vec<Row>,
    pub products: Vec<Row>,
    pub tenants: Vec<Row>,
    /// Where some balancers have moved to another shape: the answers of those that have not, and of those.
    #[serde(default)]
    pub shapes: Vec<Row>,
    pub price: Price,
    pub seconds: Vec<Second>,
    pub servers: Vec<Server>,
    pub troubles: Vec<Span>,
    pub cost: Cost,
    pub verdict: Verdict,
    /// Why the run does not count, if it does not.
    pub void: Option<String>,
    pub notes: Vec<String>,
    /// The scenario file itself, so that the run can be played again.
    pub text: String,
    pub zones: Vec<String>,
}

#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Quantiles {
    pub count: u64,
    pub mean: f64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub max: f64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Row {
    pub name: String,
    pub queries: u64,
    pub completed: u64,
    pub tardy: u64,
    pub rejected: u64,
    pub failed: u64,
    pub worth: f64,
    pub latency: Quantiles,
}

/// What the answers were bought with.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Price {
    pub executions: u64,
    /// Executions a query that a balancer took.
    pub executions_a_query: f64,
    /// Part of the servers' work that ended in no answer that anybody got.
    pub wasted: f64,
    pub handshakes: u64,
    /// Part of the executions that crossed zones.
    pub crossings: f64,
    pub probes: u64,
    /// Clients' further tries.
    pub client_retries: u64,
    /// Server seconds spent choked, and servers that fell over cold.
    pub choked_s: f64,
    pub fallen: u64,
}

/// One second of the run, by when queries were due.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    pub at_s: f64,
    pub completed: u64,
    pub tardy: u64,
    pub rejected: u64,
    pub failed: u64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    /// Executions by zone of the server, and queries that the servers of a zone held at the end of the
    /// second.
    pub executions: Vec<u64>,
    pub held: Vec<u64>,
    pub choked: u64,
    /// Importance earned, and what all queries that were due were worth.
    #[serde(default)]
    pub earned: f64,
    #[serde(default)]
    pub offered: f64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Server {
    pub tier: usize,
    pub number: usize,
    pub zone: String,
    pub executions: u64,
    /// Part of its cores in use, over the whole run.
    pub busy: f64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Span {
    pub from_s: f64,
    pub until_s: f64,
    pub what: String,
}

/// What the run itself took.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Cost {
    pub events: u64,
    pub wall_s: f64,
    pub events_a_second: f64,
    pub memory_mb: f64,
    /// Of the real balancers: the most that one held, and their CPU time a query.
    pub balancer_memory_mb: f64,
    pub balancer_descriptors: u64,
    pub balancer_cpu_us: f64,
}

impl Run {
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    pub fn from_json(text: &str) -> Result<Run, String> {
        serde_json::from_str(text).map_err(|fault| fault.to_string())
    }
}
