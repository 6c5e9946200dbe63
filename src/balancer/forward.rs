//! The ways out: executions at servers, and final answers to clients.

use super::Balancer;
use super::state::{Execution, RECENT_SENDS};
use crate::host::{Effect, Host, Outcome, ServerScope};
use crate::samples::{mean, push_bounded, record_event};

impl<H: Host> Balancer<H> {
    /// Sends the query to a chosen server, if any may have it. Guards against groups so small that no other server may
    /// repeat what one has answered in a malformed way: that one may.
    pub(super) fn forward(&mut self, query: usize) -> bool {
        let may_pass = |execution: &Execution| execution.outcome.is_some_and(Outcome::is_transient);
        let retry_same = self.queries[query].executions.iter().any(may_pass);
        let first = self.choose(query, &[], false);
        let server = if first.is_none() && retry_same { self.choose(query, &[], true) } else { first };
        server.is_some_and(|server| self.execute(query, server))
    }

    /// The one way out for executions: rules 2 to 4 and the query's state are checked here.
    pub(super) fn execute(&mut self, query: usize, server: usize) -> bool {
        if !self.may_execute(query, server) {
            return false;
        }
        let work = self.relative_work(self.queries[query].product);
        let longest = self.route_policy(query, |policy| policy.execution_timeout_us).unwrap_or(u64::MAX);
        let known = &mut self.servers[server];
        known.in_flight += 1;
        push_bounded(&mut known.recent_sends, RECENT_SENDS, (self.now, work));
        let execution = Execution {
            server,
            zone: known.zone,
            cell: known.cell,
            sent_at: self.now,
            outcome: None,
            counted_as_failed: false,
        };
        let state = &mut self.queries[query];
        if let Some(route) = state.route.as_ref().filter(|_| !state.executions.is_empty()) {
            record_event(&mut route.borrow_mut().retries, self.now, super::CHECK_PERIOD);
        }
        state.awaits_retry = false;
        state.executions.push(execution);
        let time_out = longest.min(state.deadline - self.now);
        self.host.execute(query, server, time_out);
        self.schedule_check(query, self.silence_limit(self.queries[query].product));
        true
    }

    fn may_execute(&self, query: usize, server: usize) -> bool {
        let state = &self.queries[query];
        let by_route = self.route_policy(query, |policy| policy.max_executions).unwrap_or(usize::MAX);
        let limit = by_route.min(self.settings.max_executions);
        let is_open = state.open && self.now < state.give_up_at && state.executions.len() < limit;
        let is_alone = state.executions.iter().all(|execution| execution.outcome.is_some());
        is_open
            && (self.settings.allow_hedging || is_alone)
            && self.servers[server].ready
            && self.may_retry_on(query, server, None)
            && self.has_slow_start_budget(server)
    }

    /// The usual latency of a product against the mean of all; 1 at the least.
    fn relative_work(&self, product: usize) -> f64 {
        let usual = mean((0..self.latencies.len()).map(|product| self.median_latency(product) as f64));
        (self.median_latency(product) as f64 / usual.max(1.0)).max(1.0)
    }

    /// Asked right before an execution's first byte. Guards against a connection that comes up too late.
    pub fn may_send(&mut self, now: u64, query: usize, execution: usize) -> bool {
        self.now = now;
        self.may_retry_on(query, self.queries[query].executions[execution].server, Some(execution))
    }

    /// The one way out for final answers: a rejection where nothing can have happened, else an abort.
    pub(super) fn finish(&mut self, query: usize) {
        let Some(state) = self.queries.get_mut(query).filter(|state| state.open) else { return };
        state.open = false;
        let product = &self.settings.products[state.product];
        let is_idempotent =
            matches!(product.effect, Effect::Idempotent | Effect::Deduplicated(ServerScope::All));
        let never_ran = |execution: &Execution| execution.outcome.is_some_and(Outcome::never_ran);
        if is_idempotent || state.executions.iter().all(never_ran) {
            let retry_after = (product.slo_time_us / 2).min(self.settings.max_retry_after_us);
            self.host.reject(query, retry_after);
        } else {
            self.host.abort(query);
        }
        self.cancel_all_but(query, None);
    }

    /// Calls off the query's executions that are in flight, but for the one that is kept.
    pub(super) fn cancel_all_but(&mut self, query: usize, kept: Option<usize>) {
        for (number, execution) in self.queries[query].executions.iter().enumerate() {
            if self.settings.allow_cancel && execution.outcome.is_none() && Some(number) != kept {
                self.host.cancel(query, number);
            }
        }
    }
}
