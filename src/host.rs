//! What the decisions are handed and what they call: plain types, and the `Host` that carries them out.
//! Times are whole microseconds of the host's clock; servers, queries, zones and products are small indices.

/// What a balancer may do to the world. One answer or one execution is one call.
pub trait Host {
    /// Sends the query's next execution to a server; `time_out` counts from now.
    fn execute(&mut self, query: usize, server: usize, time_out: u64);
    /// Stops waiting for one execution; its outcome still comes.
    fn cancel(&mut self, query: usize, exec: usize);
    /// Final answer: nothing has happened, trying again does no harm, best after `retry_after` (0: no
    /// advice).
    fn reject(&mut self, query: usize, retry_after: u64);
    /// Final answer: failed, and it may or may not have taken effect.
    fn abort(&mut self, query: usize);
    /// Calls `Balancer::timer` with this label after `wait`.
    fn wake(&mut self, wait: u64, label: u32);
    /// Asks a server for a sign of life and its load; `Balancer::probed` tells what came of it.
    fn probe(&mut self, server: usize);
    /// Subscribes to the changes of the server list.
    fn follow_endpoints(&mut self);
}

/// How far a product's effect may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated(Group),
    NonIdempotent,
}

/// The servers that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// A row of the table of products.
#[derive(Clone, Debug)]
pub struct Product {
    pub effect: Effect,
    pub slo_time: u64,
    pub memory_span: u64,
    /// Part of the importance that an answer after the SLO time still earns.
    pub tardy_importance: f64,
}

/// What a deployment allows and demands, as handed over at the start.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    pub balancers: usize,
    /// This one's number among them, from 0.
    pub rank: usize,
    pub tier: usize,
    /// How many queries a connection to a server carries at once.
    pub streams: usize,
    /// Servers tell their load to probes alone, and asking them pays.
    pub load_by_probe: bool,
    /// The zone of this balancer, and what an execution in another one costs, as a part of a query's
    /// importance.
    pub home: usize,
    pub cross_zone: f64,
    pub products: Vec<Product>,
    /// Queries a second within each tenant's share, over all balancers.
    pub tenant_quotas: Vec<f64>,
    pub max_executions: usize,
    pub allow_hedging: bool,
    pub cancel: bool,
    /// Probes are allowed, and two of them cost less than a query that fails late.
    pub probes_pay: bool,
    /// Four of them cost more than that: one server is asked a query, not several.
    pub probe_dear: bool,
    /// Longest wait that clients follow; 0 where no advice is passed on.
    pub max_retry_after: u64,
    pub tick: u64,
    /// The list comes only to those that ask; unheard for this long it counts as known all the same.
    pub must_ask_in: Option<u64>,
    pub slow_start_from: f64,
    pub slow_start_time: u64,
    pub fall_multiple: f64,
    pub tip_after: u64,
}

/// What a route sets for its queries of one product, within what the deployment allows.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePolicy {
    /// For the whole query, and for one execution.
    pub time: u64,
    pub execution_time: u64,
    pub executions: usize,
    pub retry_on: RetryOn,
    /// Before a repeat; up to `spread` of it more, drawn anew each time.
    pub wait: u64,
    pub spread: f64,
    pub hedge: HedgePolicy,
    /// Repeats of the route's queries, as a part of these.
    pub budget: f64,
    /// The servers that may take them; none named: any.
    pub zones: Vec<usize>,
    pub kinds: Vec<usize>,
    /// Where repeats must stay with the first that may have run.
    pub near: Group,
}

/// Which outcomes of an execution may be followed by another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryOn {
    /// It surely never ran: no connection, turned away.
    pub never_ran: bool,
    /// An answer that says it failed.
    pub error: bool,
    /// The connection broke, or the answer was spoilt.
    pub broken: bool,
    /// The time for an execution was over, or its server silent for so long that it was called off.
    pub timed_out: bool,
}

impl RetryOn {
    pub const NOTHING: RetryOn = RetryOn { never_ran: false, error: false, broken: false, timed_out: false };

    /// Whether an execution may be followed by another though it may have run.
    pub fn may_have_run(self) -> bool {
        self.error || self.broken || self.timed_out
    }

    pub fn allows(self, outcome: Outcome) -> bool {
        match outcome {
            _ if outcome.never_ran() => self.never_ran,
            _ if outcome.may_pass() => self.broken,
            Outcome::TimedOut | Outcome::Cancelled => self.timed_out,
            Outcome::Error => self.error,
            _ => false,
        }
    }
}

/// When a second copy of a query goes out while the first is still out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HedgePolicy {
    Never,
    After(u64),
    /// Once the first takes longer than this part of the last answers did.
    Quantile(f64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
    Gone,
}

/// One line of the server list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    pub server: usize,
    /// Drawn from its id: the same at every balancer.
    pub key: u64,
    pub zone: usize,
    pub cell: usize,
    /// The kind of machine; those of a kind are much alike.
    pub kind: usize,
    pub state: EndpointState,
    pub size: f64,
    /// Clock time of its last start; 0: long ago.
    pub started_at: u64,
}

#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub product: usize,
    pub tenant: usize,
    /// Clock time at which the client abandons this try.
    pub deadline: u64,
    /// Its route, by the order in which `Balancer::routes` was told them.
    pub route: Option<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    Error,
    /// The server can't use the query: the fault is the query's, and another server would say the same.
    Unfit,
    /// Sent back unseen: the waiting room is full or the server drains.
    Rejected,
    TimedOut,
    NotConnected,
    Broken,
    /// An answer came that can't be used, or only a part of one: it may have run.
    Malformed,
    /// A connection that had stood idle broke under it: it may have run, and nothing is told of the server.
    Stale,
    Cancelled,
    /// Never sent.
    NeverSent,
}

impl Outcome {
    /// Whether nothing follows from it for the server.
    pub fn says_nothing_of_server(self) -> bool {
        use Outcome::*;
        matches!(self, Cancelled | NeverSent | Rejected | Unfit | Stale)
    }

    /// Whether it may have run at a server that may well answer the next time.
    pub fn may_pass(self) -> bool {
        matches!(self, Outcome::Broken | Outcome::Malformed | Outcome::Stale)
    }

    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::NotConnected | Outcome::NeverSent)
    }
}

/// How an execution ended.
#[derive(Clone, Copy, Debug)]
pub struct ExecutionEnd {
    pub outcome: Outcome,
    /// The query has its final answer, by this outcome or before it.
    pub over: bool,
    /// Time from the send until now.
    pub spent: u64,
    pub report: LoadReport,
}

/// What a server says of its load; what it does not tell is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    pub utilization: Option<f64>,
    pub throughput: Option<f64>,
    /// Queries that it holds, or that wait there.
    pub held: Option<f64>,
}

impl LoadReport {
    /// What is told here, and what only the other one tells.
    pub fn or(self, other: LoadReport) -> LoadReport {
        LoadReport {
            utilization: self.utilization.or(other.utilization),
            throughput: self.throughput.or(other.throughput),
            held: self.held.or(other.held),
        }
    }
}
