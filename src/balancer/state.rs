//! What a balancer remembers of its upstream servers, zones, routes and open queries.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use crate::host::{Outcome, RoutePolicy};

/// Sends of which a server keeps the times, for its load and its slow-start budget.
pub(super) const RECENT_SENDS: usize = 64;
/// Latency samples kept of a zone.
pub(super) const ZONE_SAMPLES: usize = 64;

/// One upstream server. All times are microseconds of the host's clock.
#[derive(Default)]
pub(super) struct Server {
    pub zone: usize,
    pub cell: usize,
    pub kind: usize,
    /// Relative capacity, as listed.
    pub size: f64,
    /// Orders the servers of a zone alike at every balancer.
    pub key: u64,
    pub started_at: u64,
    /// Rounds this balancer's part of the slow-start budget: up at as many balancers as the budget needs.
    pub budget_rounding: f64,
    pub ready: bool,
    pub gone: bool,
    /// This balancer's own executions that have not ended.
    pub in_flight: usize,
    /// When the last executions went out, and the usual work of their product against that of all.
    pub recent_sends: VecDeque<(u64, f64)>,
    /// Whether the last executions completed.
    pub recent_outcomes: VecDeque<bool>,
    /// What the last completed ones took, as a multiple of their product's usual latency.
    pub relative_latencies: VecDeque<f64>,
    pub last_answer_at: u64,
    pub ejected_until: u64,
    /// Ejections in a row, without an answer between.
    pub ejections: u32,
    /// Queries that wait for the answer to a probe, and when they arrived.
    pub probe_waiters: VecDeque<(usize, u64)>,
    /// Queries a second, by the last reports.
    pub reported_rates: VecDeque<f64>,
    /// The last reported rates, each with how busy the cores were.
    pub reported_utilization: VecDeque<(f64, f64)>,
    /// Queries a second that the server could serve, by its reported rates and utilization.
    pub reported_capacity: Option<f64>,
    /// Queries at the server by the last report, and when that came; only where probes alone report load.
    pub reported_load: Option<(f64, u64)>,
}

/// One zone of servers.
#[derive(Default)]
pub(super) struct Zone {
    /// Weight of each ready server against those of other zones; the zone's weight is this times their number.
    pub weight_per_ready: f64,
    /// Of completed executions: when they ended, the load per ready server then, the latency.
    pub samples: VecDeque<(u64, f64, f64)>,
    /// Ready servers and mean latency for which the weights were solved last.
    pub solved_for: (f64, f64),
    /// The share of queries admitted where probes alone report load, and when it changed last.
    pub admitted_share: f64,
    pub admitted_share_at: u64,
}

/// One sending of a query to one server.
pub(super) struct Execution {
    pub server: usize,
    pub zone: usize,
    pub cell: usize,
    pub sent_at: u64,
    /// How it ended, if it did.
    pub outcome: Option<Outcome>,
    /// It was counted against its server before it ended.
    pub counted_as_failed: bool,
}

/// A route: its policy for each product, and the times of its recent queries and retries.
#[derive(Default)]
pub(super) struct RouteState {
    pub policies: Vec<RoutePolicy>,
    pub arrivals: VecDeque<u64>,
    pub retries: VecDeque<u64>,
}

/// One query of a client.
#[derive(Default)]
pub(super) struct Query {
    /// No final answer has been given.
    pub open: bool,
    pub product: usize,
    pub arrived_at: u64,
    pub deadline: u64,
    /// When the final answer has to be given at the latest: in time for the deadline and while it earns something.
    pub give_up_at: u64,
    pub next_check_at: u64,
    pub executions: Vec<Execution>,
    pub route: Option<Rc<RefCell<RouteState>>>,
    /// It waits for the backoff before its next execution.
    pub awaits_retry: bool,
    /// The servers probed for it, and how many of them have not answered.
    pub probed: Vec<usize>,
    pub awaited_probes: usize,
}
