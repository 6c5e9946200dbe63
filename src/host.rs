//! Input types of the balancer and the [`Host`] trait through which it acts.
//!
//! Times are microseconds of the host's clock. Servers, queries, zones and products are small indices that
//! the host maps to addresses and names. A host can be a socket program, a simulator or a test.

/// Carries out the decisions of a balancer. Each final answer and each execution is one call.
pub trait Host {
    /// Sends the next execution of a query to a server. The timeout starts now.
    fn execute(&mut self, query: usize, server: usize, timeout_us: u64);
    /// Stops waiting for an execution. Its end is still reported.
    fn cancel(&mut self, query: usize, execution: usize);
    /// Rejects the query as its final answer: a retry by the client is safe, preferably after
    /// `retry_after_us` (0: no advice).
    fn reject(&mut self, query: usize, retry_after_us: u64);
    /// Aborts the query as its final answer: it failed and may or may not have taken effect.
    fn abort(&mut self, query: usize);
    /// Starts a timer that calls `Balancer::timer_fired` with this label.
    fn set_timer(&mut self, delay_us: u64, label: u32);
    /// Sends a probe for liveness and load. The result is passed to `Balancer::probe_ended`.
    fn probe(&mut self, server: usize);
    /// Starts a watch of the endpoint list.
    fn watch_endpoints(&mut self);
}

/// Whether executions of a product may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Executions may be repeated any number of times.
    Idempotent,
    /// Servers within the scope drop duplicates for the product's deduplication window.
    Deduplicated(ServerScope),
    /// A query must not run twice.
    NonIdempotent,
}

/// A set of servers that share deduplication, or to which retries are restricted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerScope {
    /// All servers of the tier.
    All,
    /// Servers of the same zone.
    Zone,
    /// Servers of the same cell.
    Cell,
}

/// A product: a class of queries.
#[derive(Clone, Debug)]
pub struct Product {
    /// Whether executions may be repeated.
    pub effect: Effect,
    /// Latency up to which an answer has its full value.
    pub slo_time_us: u64,
    /// How long servers remember a query for deduplication.
    pub dedup_window_us: u64,
    /// Fraction of its value that an answer after the SLO time still has.
    pub late_answer_value: f64,
}

/// Settings of a balancer, fixed at its start.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Number of balancers in this tier.
    pub balancers: usize,
    /// Number of this balancer within its tier, from 0.
    pub rank: usize,
    /// Tier of this balancer; clients call tier 0.
    pub tier: usize,
    /// Number of concurrent queries on a connection to a server.
    pub streams_per_connection: usize,
    /// Whether servers report their load only in replies to probes.
    pub load_only_from_probes: bool,
    /// Zone of this balancer.
    pub home_zone: usize,
    /// Cost of an execution in another zone, as a fraction of a query's value.
    pub cross_zone_cost: f64,
    /// All products; queries refer to them by index.
    pub products: Vec<Product>,
    /// Quota of each tenant in queries per second, summed over all balancers.
    pub tenant_quotas: Vec<f64>,
    /// Maximum number of executions of a query.
    pub max_executions: usize,
    /// Whether a query may run on two servers at the same time.
    pub allow_hedging: bool,
    /// Whether executions may be cancelled.
    pub allow_cancel: bool,
    /// Whether probes may be sent: they are permitted, and two cost less than a query that fails late.
    pub allow_probes: bool,
    /// Whether to probe only one server for a query: four probes cost more than a query that fails late.
    pub single_probe: bool,
    /// Maximum retry-after advice for clients; 0 if clients get no advice.
    pub max_retry_after_us: u64,
    /// Resolution of the host's clock, in microseconds.
    pub clock_resolution_us: u64,
    /// Set if the endpoint list is sent only to balancers that watch it: a failed watch is reopened within
    /// this time.
    pub watch_reopen_limit_us: Option<u64>,
    /// Fraction of its capacity that a server has right after its start.
    pub slow_start_initial_fraction: f64,
    /// Time from its start until a server has its full capacity.
    pub slow_start_duration_us: u64,
    /// Multiple of an even share of the load at which a server in slow start fails.
    pub slow_start_overload_factor: f64,
    /// Time window over which the load of a server in slow start is counted.
    pub slow_start_window_us: u64,
}

/// Policy of a route for one product, within the limits of [`BalancerSettings`].
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePolicy {
    /// Timeout of the whole query.
    pub timeout_us: u64,
    /// Timeout of one execution.
    pub execution_timeout_us: u64,
    /// Maximum number of executions of a query.
    pub max_executions: usize,
    /// The outcomes that are retried.
    pub retry_on: RetryOn,
    /// Backoff before a retry.
    pub backoff_us: u64,
    /// Maximum random addition to each backoff, as a fraction of the backoff.
    pub jitter: f64,
    /// When to send a hedged request.
    pub hedge: HedgePolicy,
    /// Maximum ratio of retries to queries on the route.
    pub retry_budget: f64,
    /// Zones whose servers may serve the queries; empty: all zones.
    pub zones: Vec<usize>,
    /// Server kinds that may serve the queries; empty: all kinds.
    pub kinds: Vec<usize>,
    /// The scope shared with executions that may have run, to which retries are restricted.
    pub retry_scope: ServerScope,
}

/// The outcomes of an execution after which the query may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryOn {
    /// The execution certainly did not run: rejected, or no connection.
    pub never_ran: bool,
    /// The server reported an error.
    pub error: bool,
    /// The connection broke, or the answer was malformed.
    pub broken: bool,
    /// The execution timed out, or was cancelled because its server did not respond.
    pub timed_out: bool,
}

impl RetryOn {
    /// Retries after no outcome.
    pub const NONE: RetryOn = RetryOn { never_ran: false, error: false, broken: false, timed_out: false };

    /// Whether any outcome of an execution that may have run allows a retry.
    pub fn allows_after_possible_run(self) -> bool {
        self.error || self.broken || self.timed_out
    }

    /// Whether this outcome allows a retry.
    pub fn allows(self, outcome: Outcome) -> bool {
        match outcome {
            _ if outcome.never_ran() => self.never_ran,
            _ if outcome.is_transient() => self.broken,
            Outcome::TimedOut | Outcome::Cancelled => self.timed_out,
            Outcome::Error => self.error,
            _ => false,
        }
    }
}

/// When to send a hedged request while the first execution is in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HedgePolicy {
    /// Hedging is disabled.
    Never,
    /// After this many microseconds.
    After(u64),
    /// When the first execution exceeds this quantile (0 to 1) of recent latencies.
    Quantile(f64),
}

/// State of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts queries.
    Ready,
    /// Finishes its current queries and accepts no new ones.
    Draining,
    /// No longer listed.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Index of the server.
    pub server: usize,
    /// Hash of the server's id, equal at every balancer.
    pub key: u64,
    /// Zone of the server.
    pub zone: usize,
    /// Cell of the server, within which servers may deduplicate queries.
    pub cell: usize,
    /// Machine kind.
    pub kind: usize,
    /// State in the endpoint list.
    pub state: EndpointState,
    /// Capacity relative to other servers.
    pub relative_capacity: f64,
    /// Clock time of the last start; 0: long ago.
    pub started_at: u64,
}

/// An arriving query.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Product index; queries with an unknown product are rejected.
    pub product: usize,
    /// Tenant whose quota the query counts against.
    pub tenant: usize,
    /// Clock time at which the client gives up.
    pub deadline: u64,
    /// Index of the route in `Balancer::set_routes`.
    pub route: Option<usize>,
}

/// Outcome of an execution as observed by the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered.
    Completed,
    /// The server reported an error.
    Error,
    /// The query is invalid; another server would reject it too.
    ClientError,
    /// Rejected before it ran because the server's queue is full or the server is draining.
    Rejected,
    /// The execution timed out.
    TimedOut,
    /// No connection was established.
    NotConnected,
    /// The connection broke; the query may have run.
    Broken,
    /// A malformed or partial answer was received; the query may have run.
    Malformed,
    /// A reused idle connection broke; the query may have run, and the server's health is unknown.
    StaleConnection,
    /// The balancer cancelled the execution.
    Cancelled,
    /// The execution was never sent.
    NeverSent,
}

impl Outcome {
    /// Whether the outcome says nothing about the health of the server.
    pub fn is_health_neutral(self) -> bool {
        use Outcome::*;
        matches!(self, Cancelled | NeverSent | Rejected | ClientError | StaleConnection)
    }

    /// Whether the query may have run and the same server is likely to answer a retry.
    pub fn is_transient(self) -> bool {
        matches!(self, Outcome::Broken | Outcome::Malformed | Outcome::StaleConnection)
    }

    /// Whether the query certainly did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::NotConnected | Outcome::NeverSent)
    }
}

/// The end of an execution.
#[derive(Clone, Copy, Debug)]
pub struct ExecutionEnd {
    /// The outcome.
    pub outcome: Outcome,
    /// Whether the query has its final answer, through this execution or an earlier one.
    pub query_answered: bool,
    /// Time since the execution was sent.
    pub elapsed_us: u64,
    /// Load report that came with the outcome.
    pub report: LoadReport,
}

/// Load figures reported by a server; `None` for figures that were not reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// CPU utilization from 0 to 1.
    pub utilization: Option<f64>,
    /// Queries served per second.
    pub throughput: Option<f64>,
    /// Queries in flight or queued at the server.
    pub queries_at_server: Option<f64>,
}

impl LoadReport {
    /// Merges two reports; figures of `self` take precedence.
    pub fn or(self, other: LoadReport) -> LoadReport {
        LoadReport {
            utilization: self.utilization.or(other.utilization),
            throughput: self.throughput.or(other.throughput),
            queries_at_server: self.queries_at_server.or(other.queries_at_server),
        }
    }
}
