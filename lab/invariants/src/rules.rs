//! What a run is checked against, and the terms in which observations are reported.

/// Whether a query of a product may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Any number of executions has the effect of one.
    Idempotent,
    /// The servers of one scope recognize a retry and drop it.
    Deduplicated {
        /// The servers that recognize each other's queries.
        scope: Scope,
        /// How long they do so after the first execution was sent, in microseconds.
        memory: u64,
    },
    /// A second execution is never safe once the first may have run.
    NonIdempotent,
}

/// The servers that deduplicate queries together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All servers.
    Everywhere,
    /// The servers of one zone.
    Zone,
    /// The servers of one pod.
    Pod,
}

impl Scope {
    pub(crate) fn is_shared(self, one: Location, other: Location) -> bool {
        match self {
            Scope::Everywhere => true,
            Scope::Zone => one.zone == other.zone,
            Scope::Pod => one.pod == other.pod,
        }
    }
}

/// Where a server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Location {
    pub(crate) zone: usize,
    pub(crate) pod: usize,
}

impl Location {
    /// The location of a server that no balancer has been informed of.
    pub(crate) const UNKNOWN: Location = Location { zone: usize::MAX, pod: usize::MAX };
}

/// What the deployment demands of its balancers.
#[derive(Clone, Debug)]
pub struct Rules {
    /// By the number of the product.
    pub products: Vec<RetrySafety>,
    /// Executions of one query at most.
    pub max_executions: usize,
    /// Whether two executions of one query may be in flight together.
    pub allow_hedging: bool,
    /// How long after the client's deadline the final answer may come, in microseconds.
    pub answer_slack: u64,
    /// How long a balancer may go on sending to a server that it knows as draining or gone, in microseconds.
    pub drain_grace: u64,
    /// How long a server counts as cold after its start, in microseconds.
    pub slow_start_time: u64,
    /// An overload is put down to the work received within so many microseconds before it.
    pub overload_window: u64,
}

impl Rules {
    pub(crate) fn retry_safety(&self, product: usize) -> RetrySafety {
        self.products.get(product).copied().unwrap_or(RetrySafety::NonIdempotent)
    }
}

/// The state of a server in an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// Takes queries.
    Ready,
    /// Ends what is in flight and takes nothing new.
    Draining,
    /// Deregistered.
    Gone,
}

/// The kind of a balancer's final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// A server's answer was passed on.
    Completed,
    /// The query was not executed, and the client may send it again.
    Rejected,
    /// The query failed and may have been executed.
    Aborted,
}
