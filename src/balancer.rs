//! All decisions of one balancer, as a state machine: one method for each event, and it acts only through the [`Host`].
//!
//! A query arrives ([`Balancer::query`]), is admitted (`load_shed`), gets a server (`selection`, after `probing` where
//! that pays) and goes out (`forward`). Its executions end ([`Balancer::completed`]), are retried or hedged (`retry`),
//! and what they took feeds `health`, `slow_start` and `zone_weights`. `docs/design.md` tells what follows the design
//! page, and when each exception acts.

mod endpoints;
mod forward;
mod health;
mod load_shed;
mod observations;
mod probing;
mod retry;
mod selection;
mod slow_start;
mod state;
mod zone_weights;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use self::state::{Query, RouteState, Server, Zone};
use crate::host::{Arrival, BalancerSettings, ExecutionEnd, Host, Outcome, RoutePolicy};
use crate::pcg::Pcg;
use crate::samples::{BatchMeans, record_event};

/// The design's check period, over which rates are taken as well, in microseconds.
const CHECK_PERIOD: u64 = 5_000_000;

/// Timers: the check of the weights, the watch of the endpoints, and from here on one for each query.
const LABEL_WEIGHTS: u32 = 0;
const LABEL_ENDPOINTS: u32 = 1;
const LABEL_QUERIES: u32 = 2;

/// One balancer. Every event has the present time in microseconds of the host's clock.
pub struct Balancer<H: Host> {
    /// Carries out what is decided.
    pub host: H,
    settings: BalancerSettings,
    random: Pcg,
    now: u64,
    started_at: u64,
    servers: Vec<Server>,
    /// The servers that are not gone, in the order of their indices.
    listed: Vec<usize>,
    /// Those of them that this balancer may send to.
    subset: Vec<usize>,
    zones: Vec<Zone>,
    queries: Vec<Query>,
    routes: Vec<Rc<RefCell<RouteState>>>,
    /// The last latencies of each product.
    latencies: Vec<VecDeque<u64>>,
    /// When the last queries arrived, when those admitted did, and these by tenant.
    arrivals: VecDeque<u64>,
    admissions: VecDeque<u64>,
    admissions_by_tenant: Vec<VecDeque<u64>>,
    /// When the last executions completed, and their latencies in runs.
    completions: VecDeque<u64>,
    latency_runs: BatchMeans,
    /// When the last probes went out, and how long they took.
    probes_sent: VecDeque<u64>,
    probe_latencies: VecDeque<u64>,
    shortest_slo: u64,
    /// The rate of arrivals for which the weights were solved last.
    solved_rate: f64,
}

impl<H: Host> Balancer<H> {
    /// A balancer that knows no endpoints yet. The seed decides all random draws.
    pub fn new(host: H, settings: BalancerSettings, seed: u64, now: u64) -> Self {
        let mut balancer = Balancer {
            host,
            random: Pcg::new(seed),
            now,
            started_at: now,
            servers: Vec::new(),
            listed: Vec::new(),
            subset: Vec::new(),
            zones: Vec::new(),
            queries: Vec::new(),
            routes: Vec::new(),
            latencies: vec![VecDeque::new(); settings.products.len()],
            arrivals: VecDeque::new(),
            admissions: VecDeque::new(),
            admissions_by_tenant: vec![VecDeque::new(); settings.tenant_quotas.len()],
            completions: VecDeque::new(),
            latency_runs: BatchMeans::new(now),
            probes_sent: VecDeque::new(),
            probe_latencies: VecDeque::new(),
            shortest_slo: settings.products.iter().map(|product| product.slo_time_us).min().unwrap_or(0),
            solved_rate: 0.0,
            settings,
        };
        balancer.schedule_weight_check();
        if balancer.settings.watch_reopen_limit_us.is_some() {
            balancer.host.watch_endpoints();
        }
        balancer
    }

    /// Sets the routes: for each, a policy for each product.
    pub fn set_routes(&mut self, routes: Vec<Vec<RoutePolicy>>) {
        let route = |policies| Rc::new(RefCell::new(RouteState { policies, ..RouteState::default() }));
        self.routes = routes.into_iter().map(route).collect();
    }

    /// A client's query has arrived. `query` is its index until its last execution has ended.
    pub fn query_arrived(&mut self, now: u64, query: usize, arrival: Arrival) {
        self.now = now;
        record_event(&mut self.arrivals, now, CHECK_PERIOD);
        let is_known = arrival.product < self.settings.products.len();
        let tenant = arrival.tenant;
        self.open_query(query, arrival);
        if !is_known || self.is_overloaded(tenant) || !self.send_first(query) {
            return self.finish(query);
        }
        let by_tenant = self.admissions_by_tenant.get_mut(tenant);
        for times in by_tenant.into_iter().chain([&mut self.admissions]) {
            record_event(times, now, CHECK_PERIOD);
        }
    }

    fn open_query(&mut self, query: usize, arrival: Arrival) {
        if query >= self.queries.len() {
            self.queries.resize_with(query + 1, Query::default);
        }
        let (now, product, mut deadline) = (self.now, arrival.product, arrival.deadline);
        let route = arrival.route.and_then(|route| self.routes.get(route).cloned());
        if let Some(mut route) = route.as_ref().map(|route| route.borrow_mut()) {
            record_event(&mut route.arrivals, now, CHECK_PERIOD);
            let policy = route.policies.get(product);
            deadline = policy.map_or(deadline, |policy| deadline.min(now + policy.timeout_us));
        }
        // An answer that earns nothing is not worth a server's time.
        let late_is_worthless =
            self.settings.products.get(product).filter(|row| row.late_answer_value == 0.0);
        let give_up_at = late_is_worthless.map_or(deadline, |row| deadline.min(now + row.slo_time_us));
        self.queries[query] = Query {
            open: true,
            product: product.min(self.settings.products.len() - 1),
            arrived_at: now,
            deadline,
            give_up_at: give_up_at.saturating_sub(2 * self.settings.clock_resolution_us),
            route,
            ..Query::default()
        };
    }

    fn send_first(&mut self, query: usize) -> bool {
        self.probe_candidates(query) || (!self.settings.load_only_from_probes && self.forward(query))
    }

    /// The client gets the answer of this execution: from here on the query is not this balancer's to answer.
    pub fn execution_started(&mut self, now: u64, query: usize, execution: usize) {
        self.now = now;
        let Some(state) = self.queries.get_mut(query) else { return };
        state.open = false;
        self.cancel_all_but(query, Some(execution));
    }

    /// An execution has ended.
    pub fn execution_ended(&mut self, now: u64, query: usize, execution: usize, end: ExecutionEnd) {
        self.now = now;
        let Some(state) = self.queries.get_mut(query) else { return };
        let Some(execution) = state.executions.get_mut(execution) else { return };
        if execution.outcome.is_some() {
            return;
        }
        execution.outcome = Some(end.outcome);
        let (server, was_counted) = (execution.server, execution.counted_as_failed);
        let (product, was_open) = (state.product, state.open);
        state.open &= !end.query_answered;
        self.servers[server].in_flight = self.servers[server].in_flight.saturating_sub(1);
        self.record_report(server, end.report);
        match end.outcome {
            Outcome::Completed => self.record_success(server, product, end.elapsed_us),
            outcome if was_counted || outcome.is_health_neutral() => {}
            _ => self.record_failure(server),
        }
        let state = &self.queries[query];
        if was_open && end.query_answered {
            self.cancel_all_but(query, None);
        } else if state.open && state.executions.iter().all(|execution| execution.outcome.is_some()) {
            self.retry_or_finish(query, end.outcome);
        }
    }

    /// All executions of an open query have ended without an answer: retries it, at once or after a backoff, or gives up.
    fn retry_or_finish(&mut self, query: usize, outcome: Outcome) {
        let backoff = self.retry_backoff(query, outcome).unwrap_or(u64::MAX);
        let state = &self.queries[query];
        let earliest_answer =
            self.now.saturating_add(backoff).saturating_add(self.median_latency(state.product));
        let is_late = earliest_answer >= state.give_up_at;
        if is_late || outcome == Outcome::ClientError || (backoff == 0 && !self.forward(query)) {
            self.finish(query);
        } else if backoff > 0 {
            self.queries[query].awaits_retry = true;
            self.schedule_check(query, backoff);
        }
    }

    /// The client has gone: nobody waits for the answer any more.
    pub fn query_withdrawn(&mut self, now: u64, query: usize) {
        self.now = now;
        if let Some(state) = self.queries.get_mut(query).filter(|state| state.open) {
            state.open = false;
            self.cancel_all_but(query, None);
        }
    }

    /// The program ends at `until`: queries that are open must have their answers by then.
    pub fn begin_shutdown(&mut self, now: u64, until: u64) {
        self.now = now;
        let open = self.queries.iter_mut().enumerate().filter(|(_, state)| state.open);
        for (query, state) in open.filter(|(_, state)| state.give_up_at > until) {
            state.give_up_at = until;
            state.next_check_at = state.next_check_at.min(until);
            self.host.set_timer(until.saturating_sub(now), LABEL_QUERIES + query as u32);
        }
    }

    /// A timer set by [`Host::wake`] is due.
    pub fn timer_fired(&mut self, now: u64, label: u32) {
        self.now = now;
        match label {
            LABEL_WEIGHTS => self.check_weights(),
            LABEL_ENDPOINTS => self.host.watch_endpoints(),
            _ => self.check_query((label - LABEL_QUERIES) as usize),
        }
    }
}
