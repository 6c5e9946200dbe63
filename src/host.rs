//! What the decisions are handed and what they call: plain types, and the [`Host`] that carries the decisions out.
//!
//! Times are whole microseconds of the host's clock; servers, queries, zones and products are small indices, which the
//! host maps to addresses and names. A host is a socket program, a simulator or a test: the decisions can't tell.

/// Carries out what a balancer decides. One answer or one execution is one call.
pub trait Host {
    /// Sends the query's next execution to a server; `time_out` counts from now.
    fn execute(&mut self, query: usize, server: usize, time_out: u64);
    /// Stops waiting for one execution; its outcome still comes.
    fn cancel(&mut self, query: usize, execution: usize);
    /// Final answer: nothing has run, and a retry does no harm, best after `retry_after` (0: no advice).
    fn reject(&mut self, query: usize, retry_after: u64);
    /// Final answer: failed, and it may or may not have taken effect.
    fn abort(&mut self, query: usize);
    /// Calls `Balancer::timer` with this label after `wait`.
    fn set_timer(&mut self, wait: u64, label: u32);
    /// Asks a server for a sign of life and its load; `Balancer::probed` has the result.
    fn probe(&mut self, server: usize);
    /// Subscribes to the changes of the endpoint list.
    fn watch_endpoints(&mut self);
}

/// How far a product's effect may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may run any number of times.
    Idempotent,
    /// Servers of the group drop repeats for some time.
    Deduplicated(ServerScope),
    /// It must not run twice.
    NonIdempotent,
}

/// The servers that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerScope {
    /// All servers of the tier.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A row of the table of products: a kind of query.
#[derive(Clone, Debug)]
pub struct Product {
    /// How far a query may be repeated.
    pub effect: Effect,
    /// An answer earns its full value up to this latency.
    pub slo_time_us: u64,
    /// How long servers remember a deduplicated query.
    pub dedup_window_us: u64,
    /// Part of the value that an answer after the SLO time still earns.
    pub late_answer_value: f64,
}

/// What a deployment allows and demands, as handed over at the start.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Balancers of this tier.
    pub balancers: usize,
    /// This one's number among them, from 0.
    pub rank: usize,
    /// Its tier: 0 is the one that clients call.
    pub tier: usize,
    /// How many queries a connection to a server carries at once.
    pub streams_per_connection: usize,
    /// Servers report their load to probes alone, and probing them pays.
    pub load_only_from_probes: bool,
    /// The zone of this balancer.
    pub home_zone: usize,
    /// What an execution in another zone costs, as a part of a query's value.
    pub cross_zone_cost: f64,
    /// The kinds of queries.
    pub products: Vec<Product>,
    /// Queries a second within each tenant's quota, over all balancers.
    pub tenant_quotas: Vec<f64>,
    /// Executions of one query at the most.
    pub max_executions: usize,
    /// A query may run on two servers at once.
    pub allow_hedging: bool,
    /// Executions may be called off.
    pub allow_cancel: bool,
    /// Probes are allowed, and two of them cost less than a query that fails late.
    pub allow_probes: bool,
    /// Four of them cost more than that: one server is probed for a query, not several.
    pub single_probe: bool,
    /// Longest wait that clients follow; 0 where no advice is passed on.
    pub max_retry_after_us: u64,
    /// Resolution of the host's clock.
    pub clock_resolution_us: u64,
    /// The endpoint list comes only to those that ask; without news for this long it counts as known all the same.
    pub watch_reopen_limit_us: Option<u64>,
    /// Part of its capacity that a server has at its start.
    pub slow_start_initial_fraction: f64,
    /// Time from its start until a server has all of its capacity.
    pub slow_start_duration_us: u64,
    /// A server in slow start fails beyond this multiple of an even share.
    pub slow_start_overload_factor: f64,
    /// The window over which that is counted.
    pub slow_start_window_us: u64,
}

/// What a route sets for its queries of one product, within what the deployment allows.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePolicy {
    /// Time-out of the whole query.
    pub timeout_us: u64,
    /// Time-out of one execution.
    pub execution_timeout_us: u64,
    /// Executions of one query at the most.
    pub max_executions: usize,
    /// The outcomes that are retried.
    pub retry_on: RetryOn,
    /// Backoff before a retry.
    pub backoff_us: u64,
    /// Jitter: up to this part of the backoff more, drawn anew each time.
    pub jitter: f64,
    /// Whether and when a hedged request goes out.
    pub hedge: HedgePolicy,
    /// Retry budget: retries of the route's queries, as a part of these.
    pub retry_budget: f64,
    /// Zones whose servers may take the queries; none named: any.
    pub zones: Vec<usize>,
    /// Kinds of servers that may; none named: any.
    pub kinds: Vec<usize>,
    /// Where retries must stay with the first execution that may have run.
    pub retry_scope: ServerScope,
}

/// Which outcomes of an execution may be followed by another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryOn {
    /// It surely never ran: no connection, rejected.
    pub never_ran: bool,
    /// An answer that says it failed.
    pub error: bool,
    /// The connection broke, or the answer was malformed.
    pub broken: bool,
    /// The time for an execution was over, or its server silent for so long that it was called off.
    pub timed_out: bool,
}

impl RetryOn {
    /// No retry whatever happens.
    pub const NONE: RetryOn = RetryOn { never_ran: false, error: false, broken: false, timed_out: false };

    /// Whether an execution may be followed by another though it may have run.
    pub fn allows_after_possible_run(self) -> bool {
        self.error || self.broken || self.timed_out
    }

    /// Whether this outcome may be followed by another execution.
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

/// When a hedged request goes out while the first execution is in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HedgePolicy {
    /// No hedging.
    Never,
    /// After so many microseconds.
    After(u64),
    /// Once the first takes longer than this part of the last answers did.
    Quantile(f64),
}

/// Whether an endpoint may be sent to, as the endpoint list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes queries.
    Ready,
    /// It takes no new ones and ends what it has.
    Draining,
    /// It is not listed any more.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Its index.
    pub server: usize,
    /// Drawn from its id: the same at every balancer.
    pub key: u64,
    /// Its zone.
    pub zone: usize,
    /// Its cell, within which servers may drop each other's repeats.
    pub cell: usize,
    /// The kind of machine; those of a kind are much alike.
    pub kind: usize,
    /// Whether it may be sent to.
    pub state: EndpointState,
    /// Its capacity against others.
    pub relative_capacity: f64,
    /// Clock time of its last start; 0: long ago.
    pub started_at: u64,
}

/// A query that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its product; an index beyond the table is rejected.
    pub product: usize,
    /// The tenant whose quota it counts against.
    pub tenant: usize,
    /// Clock time at which the client abandons this attempt.
    pub deadline: u64,
    /// Its route, by the order in which `Balancer::routes` was given them.
    pub route: Option<usize>,
}

/// How an execution ended, as far as can be seen from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With an answer for the client.
    Completed,
    /// With an answer that says it failed.
    Error,
    /// The server can't use the query: the fault is the query's, and another server would say the same.
    ClientError,
    /// Rejected before it ran: the server's queue is full or the server drains.
    Rejected,
    /// Its time was over.
    TimedOut,
    /// No connection came up.
    NotConnected,
    /// The connection broke: it may have run.
    Broken,
    /// A malformed or partial answer came: it may have run.
    Malformed,
    /// A connection that had stood idle broke under it: it may have run, and nothing is known of the server.
    StaleConnection,
    /// It was called off.
    Cancelled,
    /// It was never sent.
    NeverSent,
}

impl Outcome {
    /// Whether nothing follows from it for the health of the server.
    pub fn is_health_neutral(self) -> bool {
        use Outcome::*;
        matches!(self, Cancelled | NeverSent | Rejected | ClientError | StaleConnection)
    }

    /// Whether it may have run at a server that may well answer the next time.
    pub fn is_transient(self) -> bool {
        matches!(self, Outcome::Broken | Outcome::Malformed | Outcome::StaleConnection)
    }

    /// Whether it surely has not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::NotConnected | Outcome::NeverSent)
    }
}

/// The end of an execution.
#[derive(Clone, Copy, Debug)]
pub struct ExecutionEnd {
    /// How it ended.
    pub outcome: Outcome,
    /// The query has its final answer, by this outcome or before it.
    pub query_answered: bool,
    /// Time from the send until now.
    pub elapsed_us: u64,
    /// What the server reported with it.
    pub report: LoadReport,
}

/// What a server reports of its load; what it does not report is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// How busy its cores are, from 0 to 1.
    pub utilization: Option<f64>,
    /// Queries that it serves a second.
    pub throughput: Option<f64>,
    /// Queries in flight or queued there.
    pub queries_at_server: Option<f64>,
}

impl LoadReport {
    /// What is reported here, and what only the other one reports.
    pub fn or(self, other: LoadReport) -> LoadReport {
        LoadReport {
            utilization: self.utilization.or(other.utilization),
            throughput: self.throughput.or(other.throughput),
            queries_at_server: self.queries_at_server.or(other.queries_at_server),
        }
    }
}
