//! State of servers, zones, routes and queries.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use crate::host::{Outcome, RoutePolicy};

/// Number of recent sends kept per server, for its load and its slow-start budget.
pub(super) const RECENT_SENDS: usize = 64;
/// Number of latency samples kept per zone.
pub(super) const ZONE_SAMPLES: usize = 64;

/// An upstream server. Times are microseconds of the host's clock.
#[derive(Default)]
pub(super) struct Server {
    pub zone: usize,
    pub cell: usize,
    pub kind: usize,
    /// Relative capacity, as listed.
    pub relative_capacity: f64,
    /// Sort key that gives the servers of a zone the same order at every balancer.
    pub key: u64,
    pub started_at: u64,
    /// Random number in `[0, 1)` for rounding this balancer's share of the slow-start budget.
    pub budget_rounding: f64,
    pub is_ready: bool,
    pub is_gone: bool,
    /// Number of this balancer's executions that have not ended.
    pub in_flight: usize,
    /// Send times of recent executions, with the relative work of their product.
    pub recent_sends: VecDeque<(u64, f64)>,
    /// Whether the recent executions completed.
    pub recent_outcomes: VecDeque<bool>,
    /// Latencies of recent completed executions, relative to the median of their product.
    pub relative_latencies: VecDeque<f64>,
    pub last_answer_at: u64,
    pub ejected_until: u64,
    /// Number of consecutive ejections without an answer in between.
    pub ejections: u32,
    /// Queries that wait for a probe of this server, with their arrival times.
    pub probe_waiters: VecDeque<(usize, u64)>,
    /// Queries per second in recent load reports.
    pub reported_rates: VecDeque<f64>,
    /// Rate and CPU utilization in recent load reports.
    pub reported_utilization: VecDeque<(f64, f64)>,
    /// Queries per second that the server could serve, estimated from its reported rates and utilization.
    pub reported_capacity: Option<f64>,
    /// Queries at the server in the last load report, with its time; used only if load is reported to probes
    /// alone.
    pub reported_load: Option<(f64, u64)>,
}

/// A zone of servers.
#[derive(Default)]
pub(super) struct Zone {
    /// Weight of each ready server relative to other zones. The weight of the zone is this times the number
    /// of ready servers.
    pub weight_per_ready: f64,
    /// Completed executions: end time, load per ready server and latency.
    pub samples: VecDeque<(u64, f64, f64)>,
    /// Number of ready servers and mean latency for which the weights were last solved.
    pub solved_inputs: (f64, f64),
    /// Share of queries that are admitted if load is reported to probes alone, with the time of its last
    /// change.
    pub admitted_share: f64,
    pub admitted_share_at: u64,
}

/// A query sent to one server.
pub(super) struct Execution {
    pub server: usize,
    pub zone: usize,
    pub cell: usize,
    pub sent_at: u64,
    /// The outcome, once the execution has ended.
    pub outcome: Option<Outcome>,
    /// Whether the execution was counted as a failure of its server before it ended.
    pub is_counted_as_failed: bool,
}

/// A route: one policy per product, and the times of its recent queries and retries.
#[derive(Default)]
pub(super) struct RouteState {
    pub policies: Vec<RoutePolicy>,
    pub arrivals: VecDeque<u64>,
    pub retries: VecDeque<u64>,
}

/// A query of a client.
#[derive(Default)]
pub(super) struct Query {
    /// Whether the query has no final answer yet.
    pub is_open: bool,
    pub product: usize,
    pub arrived_at: u64,
    pub deadline: u64,
    /// Latest time for the final answer: before the deadline, and while the answer still has a value.
    pub give_up_at: u64,
    pub next_check_at: u64,
    pub executions: Vec<Execution>,
    pub route: Option<Rc<RefCell<RouteState>>>,
    /// Whether the query waits for the backoff before its next execution.
    pub is_awaiting_retry: bool,
    /// Servers probed for the query. `awaited_probes` of them have not answered.
    pub probed: Vec<usize>,
    pub awaited_probes: usize,
}
