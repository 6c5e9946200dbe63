//! Sends executions to servers and final answers to clients.

use super::Balancer;
use super::state::{Execution, RECENT_SENDS};
use crate::host::{Effect, Host, Outcome, ServerScope};
use crate::samples::{mean, push_bounded, record_event};

impl<H: Host> Balancer<H> {
    /// Sends the query to a chosen server, if any is allowed. In a scope so small that no other server may
    /// repeat a malformed answer, the same server gets the query again.
    pub(super) fn forward(&mut self, query: usize) -> bool {
        let was_transient = |execution: &Execution| execution.outcome.is_some_and(Outcome::is_transient);
        let allow_same_server = self.queries[query].executions.iter().any(was_transient);
        let first = self.choose_server(query, &[], false);
        let server =
            if first.is_none() && allow_same_server { self.choose_server(query, &[], true) } else { first };
        server.is_some_and(|server| self.execute(query, server))
    }

    /// Sends an execution if the state of the query and rules 2 to 4 of the design (`docs/design.md`) allow
    /// it. All executions are sent here.
    pub(super) fn execute(&mut self, query: usize, server: usize) -> bool {
        if !self.may_execute(query, server) {
            return false;
        }
        let work = self.relative_work(self.queries[query].product);
        let execution_timeout_us =
            self.route_policy(query, |policy| policy.execution_timeout_us).unwrap_or(u64::MAX);
        let target = &mut self.servers[server];
        target.in_flight += 1;
        push_bounded(&mut target.recent_sends, RECENT_SENDS, (self.now, work));
        let execution = Execution {
            server,
            zone: target.zone,
            cell: target.cell,
            sent_at: self.now,
            outcome: None,
            is_counted_as_failed: false,
        };
        let state = &mut self.queries[query];
        if let Some(route) = state.route.as_ref().filter(|_| !state.executions.is_empty()) {
            record_event(&mut route.borrow_mut().retries, self.now, super::CHECK_PERIOD_US);
        }
        state.is_awaiting_retry = false;
        state.executions.push(execution);
        let timeout_us = execution_timeout_us.min(state.deadline - self.now);
        self.host.execute(query, server, timeout_us);
        self.schedule_check(query, self.silence_limit(self.queries[query].product));
        true
    }

    fn may_execute(&self, query: usize, server: usize) -> bool {
        let state = &self.queries[query];
        let route_limit = self.route_policy(query, |policy| policy.max_executions).unwrap_or(usize::MAX);
        let limit = route_limit.min(self.settings.max_executions);
        let is_open = state.is_open && self.now < state.give_up_at && state.executions.len() < limit;
        let none_in_flight = state.executions.iter().all(|execution| execution.outcome.is_some());
        is_open
            && (self.settings.allow_hedging || none_in_flight)
            && self.servers[server].is_ready
            && self.may_retry_on(query, server, None)
            && self.has_slow_start_budget(server)
    }

    /// Median latency of a product relative to the mean over all products; at least 1.
    fn relative_work(&self, product: usize) -> f64 {
        let mean_latency = mean((0..self.latencies.len()).map(|product| self.median_latency(product) as f64));
        (self.median_latency(product) as f64 / mean_latency.max(1.0)).max(1.0)
    }

    /// Checked right before the first byte of an execution, in case the connection took too long to
    /// establish.
    pub fn may_send(&mut self, now: u64, query: usize, execution: usize) -> bool {
        self.now = now;
        self.may_retry_on(query, self.queries[query].executions[execution].server, Some(execution))
    }

    /// Gives the final answer to a query that has none: a rejection if a retry by the client is safe,
    /// otherwise an abort. All final answers are given here.
    pub(super) fn finish(&mut self, query: usize) {
        let Some(state) = self.queries.get_mut(query).filter(|state| state.is_open) else { return };
        state.is_open = false;
        let product = &self.settings.products[state.product];
        let is_retry_safe =
            matches!(product.effect, Effect::Idempotent | Effect::Deduplicated(ServerScope::All));
        let never_ran = |execution: &Execution| execution.outcome.is_some_and(Outcome::never_ran);
        if is_retry_safe || state.executions.iter().all(never_ran) {
            let retry_after_us = (product.slo_time_us / 2).min(self.settings.max_retry_after_us);
            self.host.reject(query, retry_after_us);
        } else {
            self.host.abort(query);
        }
        self.cancel_all_except(query, None);
    }

    /// Cancels the executions of a query that are in flight, except `kept`.
    pub(super) fn cancel_all_except(&mut self, query: usize, kept: Option<usize>) {
        for (index, execution) in self.queries[query].executions.iter().enumerate() {
            if self.settings.allow_cancel && execution.outcome.is_none() && Some(index) != kept {
                self.host.cancel(query, index);
            }
        }
    }
}
