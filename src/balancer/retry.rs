//! Retries and hedged requests: when a query is sent again, and which servers may safely get it.

use super::state::{Execution, RouteState};
use super::{Balancer, CHECK_PERIOD_US, LABEL_QUERIES};
use crate::host::{Effect, HedgePolicy, Host, Outcome, RoutePolicy, ServerScope};
use crate::samples::count_recent;

impl<H: Host> Balancer<H> {
    /// Periodic check of an open query: finishes it before its deadline, forwards it after a backoff or a
    /// late probe, retries it after silence of its server, and sends a due hedged request.
    pub(super) fn check_query(&mut self, query: usize) {
        let Some(state) = self.queries.get_mut(query).filter(|state| state.is_open) else { return };
        if self.now < state.next_check_at {
            return;
        }
        let is_waiting = state.executions.is_empty() || state.is_awaiting_retry;
        let (product, give_up_at) = (state.product, state.give_up_at);
        if self.now >= give_up_at || (is_waiting && !self.forward_to_least_loaded(query)) {
            return self.finish(query);
        } else if is_waiting {
            return;
        }
        if self.retry_after_silence(query) {
            return;
        }
        let is_due = self.hedge_due_at(query).is_some_and(|due_at| due_at <= self.now);
        if is_due && self.retry_backoff(query, Outcome::TimedOut).is_some() && self.forward(query) {
            return;
        }
        self.schedule_check(query, self.silence_limit(product));
    }

    /// Retries the query elsewhere if its server has answered no query since it was sent; waits if no other
    /// server may get it. Returns whether the query was sent again.
    fn retry_after_silence(&mut self, query: usize) -> bool {
        let product = self.queries[query].product;
        let since = self.now.saturating_sub(self.silence_limit(product));
        let is_silent = |execution: &Execution| {
            let is_in_flight = execution.outcome.is_none() && !execution.is_counted_as_failed;
            let answered_since = self.servers[execution.server].last_answer_at >= execution.sent_at;
            is_in_flight && execution.sent_at <= since && !answered_since
        };
        let count = self.queries[query].executions.len();
        let Some(index) = self.queries[query].executions.iter().rposition(is_silent) else { return false };
        let execution = &mut self.queries[query].executions[index];
        execution.is_counted_as_failed = true;
        let server = execution.server;
        self.record_failure(server);
        let is_in_time = self.now + self.median_latency(product) < self.queries[query].give_up_at;
        let may_repeat = self.settings.products[product].effect != Effect::NonIdempotent;
        if is_in_time && may_repeat && count < self.settings.max_executions {
            if self.settings.allow_hedging {
                return self.forward(query);
            }
            if self.settings.allow_cancel && self.choose_server(query, &[], false).is_some() {
                self.host.cancel(query, index);
            }
        }
        false
    }

    /// Schedules the next check of the query after `delay_us`, or earlier if a hedged request or the end of
    /// the query is due.
    pub(super) fn schedule_check(&mut self, query: usize, delay_us: u64) {
        let hedge_at = self.hedge_due_at(query).filter(|&due_at| due_at > self.now).unwrap_or(u64::MAX);
        let state = &mut self.queries[query];
        let next = state.give_up_at.min(self.now + delay_us).min(hedge_at);
        state.next_check_at = next.max(self.now + 1);
        self.host.set_timer(state.next_check_at - self.now, LABEL_QUERIES + query as u32);
    }

    /// Reads the policy of the query's route for its product; `None` without a route.
    pub(super) fn route_policy<T>(&self, query: usize, read: impl FnOnce(&RoutePolicy) -> T) -> Option<T> {
        let state = &self.queries[query];
        let route = state.route.as_ref()?;
        route.borrow().policies.get(state.product).map(read)
    }

    /// Backoff before a retry after this outcome; `None` if the route or its retry budget forbids it. The
    /// budget prevents retries from multiplying the traffic during an outage.
    pub(super) fn retry_backoff(&mut self, query: usize, outcome: Outcome) -> Option<u64> {
        let state = &self.queries[query];
        let Some(mut route) = state.route.as_ref().map(|route| route.borrow_mut()) else { return Some(0) };
        let RouteState { policies, arrivals, retries } = &mut *route;
        let Some(policy) = policies.get(state.product) else { return Some(0) };
        let retries = count_recent(retries, self.now, CHECK_PERIOD_US) + 1.0;
        let has_budget = retries <= policy.retry_budget * count_recent(arrivals, self.now, CHECK_PERIOD_US);
        let jitter = if policy.backoff_us > 0 { self.random.next_f64() * policy.jitter } else { 0.0 };
        let backoff = policy.backoff_us + (policy.backoff_us as f64 * jitter) as u64;
        (has_budget && policy.retry_on.allows(outcome)).then_some(backoff)
    }

    /// Time at which a hedged request is due; `None` if there is none, or no latency was measured yet for a
    /// quantile.
    fn hedge_due_at(&self, query: usize) -> Option<u64> {
        let hedge = self.route_policy(query, |policy| policy.hedge)?;
        let state = &self.queries[query];
        let [first] = state.executions.as_slice() else { return None };
        let delay = match hedge {
            HedgePolicy::Never => None,
            HedgePolicy::After(delay) => Some(delay),
            HedgePolicy::Quantile(rank) => self.latency_quantile(state.product, rank),
        };
        let may_hedge = self.settings.allow_hedging && first.outcome.is_none();
        delay.filter(|_| may_hedge).map(|delay| first.sent_at + delay)
    }

    /// Rule 2 of the design: whether an execution on this server is safe after the query's other executions.
    /// `this` is the execution itself if it exists already.
    pub(super) fn may_retry_on(&self, query: usize, server: usize, this: Option<usize>) -> bool {
        let (state, target) = (&self.queries[query], &self.servers[server]);
        let product = &self.settings.products[state.product];
        let indexed = state.executions.iter().enumerate();
        let others = indexed.filter(|&(index, _)| Some(index) != this).map(|(_, execution)| execution);
        let mut may_have_run = others.filter(|execution| !execution.outcome.is_some_and(Outcome::never_ran));
        let is_within = |scope: ServerScope, execution: &Execution| match scope {
            ServerScope::All => true,
            ServerScope::Zone => execution.zone == target.zone,
            ServerScope::Cell => execution.cell == target.cell,
        };
        let is_allowed = |allowed: &[usize], value: usize| allowed.is_empty() || allowed.contains(&value);
        let route_allows = |policy: &RoutePolicy| {
            let is_in_scope = may_have_run.clone().all(|execution| is_within(policy.retry_scope, execution));
            is_in_scope && is_allowed(&policy.zones, target.zone) && is_allowed(&policy.kinds, target.kind)
        };
        if self.route_policy(query, route_allows) == Some(false) {
            return false;
        }
        match product.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => may_have_run.next().is_none(),
            Effect::Deduplicated(scope) => may_have_run.all(|execution| {
                let is_remembered = self.now + 2 * self.settings.clock_resolution_us
                    < execution.sent_at + product.dedup_window_us;
                is_within(scope, execution) && is_remembered
            }),
        }
    }
}
