//! Retries and hedged requests: when a query is sent again, and on which servers that can do no harm.

use super::state::{Execution, RouteState};
use super::{Balancer, CHECK_PERIOD, LABEL_QUERIES};
use crate::host::{Effect, HedgePolicy, Host, Outcome, RoutePolicy, ServerScope};
use crate::samples::count_recent;

impl<H: Host> Balancer<H> {
    /// The periodic check of one open query: gives it up in time, forwards it after a backoff or a late probe, and looks
    /// for a silent server or a hedged request that is due.
    pub(super) fn check_query(&mut self, query: usize) {
        let Some(state) = self.queries.get_mut(query).filter(|state| state.open) else { return };
        if self.now < state.next_check_at {
            return;
        }
        let waits = state.executions.is_empty() || state.awaits_retry;
        let (product, give_up_at) = (state.product, state.give_up_at);
        if self.now >= give_up_at || (waits && !self.forward_to_least_loaded(query)) {
            return self.finish(query);
        } else if waits {
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

    /// Guards against a server that has answered nobody since it got the query; where no other may have the query, it
    /// waits. Returns whether the query went out again.
    fn retry_after_silence(&mut self, query: usize) -> bool {
        let product = self.queries[query].product;
        let since = self.now.saturating_sub(self.silence_limit(product));
        let is_silent = |execution: &Execution| {
            let is_in_flight = execution.outcome.is_none() && !execution.counted_as_failed;
            let answered_since = self.servers[execution.server].last_answer_at >= execution.sent_at;
            is_in_flight && execution.sent_at <= since && !answered_since
        };
        let count = self.queries[query].executions.len();
        let Some(number) = self.queries[query].executions.iter().rposition(is_silent) else { return false };
        let execution = &mut self.queries[query].executions[number];
        execution.counted_as_failed = true;
        let server = execution.server;
        self.record_failure(server);
        let is_in_time = self.now + self.median_latency(product) < self.queries[query].give_up_at;
        let may_repeat = self.settings.products[product].effect != Effect::NonIdempotent;
        if is_in_time && may_repeat && count < self.settings.max_executions {
            if self.settings.allow_hedging {
                return self.forward(query);
            }
            if self.settings.allow_cancel && self.choose(query, &[], false).is_some() {
                self.host.cancel(query, number);
            }
        }
        false
    }

    /// Has the query checked after `wait`, or earlier where a hedged request or its end comes first.
    pub(super) fn schedule_check(&mut self, query: usize, wait: u64) {
        let hedge_at = self.hedge_due_at(query).filter(|&due_at| due_at > self.now).unwrap_or(u64::MAX);
        let state = &mut self.queries[query];
        let next = state.give_up_at.min(self.now + wait).min(hedge_at);
        state.next_check_at = next.max(self.now + 1);
        self.host.set_timer(state.next_check_at - self.now, LABEL_QUERIES + query as u32);
    }

    /// What the query's route says for its product, if it has a route.
    pub(super) fn route_policy<T>(&self, query: usize, read: impl FnOnce(&RoutePolicy) -> T) -> Option<T> {
        let state = &self.queries[query];
        let route = state.route.as_ref()?;
        route.borrow().policies.get(state.product).map(read)
    }

    /// The backoff before another execution after this outcome; none where the route or its retry budget forbids one.
    /// Guards against retries that multiply the traffic of an outage.
    pub(super) fn retry_backoff(&mut self, query: usize, outcome: Outcome) -> Option<u64> {
        let state = &self.queries[query];
        let Some(mut route) = state.route.as_ref().map(|route| route.borrow_mut()) else { return Some(0) };
        let RouteState { policies, arrivals, retries } = &mut *route;
        let Some(policy) = policies.get(state.product) else { return Some(0) };
        let retries = count_recent(retries, self.now, CHECK_PERIOD) + 1.0;
        let has_budget = retries <= policy.retry_budget * count_recent(arrivals, self.now, CHECK_PERIOD);
        let jitter = if policy.backoff_us > 0 { self.random.next_f64() * policy.jitter } else { 0.0 };
        let backoff = policy.backoff_us + (policy.backoff_us as f64 * jitter) as u64;
        (has_budget && policy.retry_on.allows(outcome)).then_some(backoff)
    }

    /// When a hedged request is due; never where no answer has shown yet which latency is long.
    fn hedge_due_at(&self, query: usize) -> Option<u64> {
        let hedge = self.route_policy(query, |policy| policy.hedge)?;
        let state = &self.queries[query];
        let [first] = state.executions.as_slice() else { return None };
        let delay = match hedge {
            HedgePolicy::Never => None,
            HedgePolicy::After(delay) => Some(delay),
            HedgePolicy::Quantile(rank) => self.latency_rank(state.product, rank),
        };
        let may_hedge = self.settings.allow_hedging && first.outcome.is_none();
        delay.filter(|_| may_hedge).map(|delay| first.sent_at + delay)
    }

    /// Rule 2: whether another execution on this server, or `this` one, can do no harm after the others.
    pub(super) fn may_retry_on(&self, query: usize, server: usize, this: Option<usize>) -> bool {
        let (state, target) = (&self.queries[query], &self.servers[server]);
        let product = &self.settings.products[state.product];
        let numbered = state.executions.iter().enumerate();
        let others = numbered.filter(|&(number, _)| Some(number) != this).map(|(_, execution)| execution);
        let mut may_have_run = others.filter(|execution| !execution.outcome.is_some_and(Outcome::never_ran));
        let is_within = |group: ServerScope, execution: &Execution| match group {
            ServerScope::All => true,
            ServerScope::Zone => execution.zone == target.zone,
            ServerScope::Cell => execution.cell == target.cell,
        };
        let is_named = |names: &[usize], name: usize| names.is_empty() || names.contains(&name);
        let by_route = |policy: &RoutePolicy| {
            let is_near = may_have_run.clone().all(|execution| is_within(policy.retry_scope, execution));
            is_near && is_named(&policy.zones, target.zone) && is_named(&policy.kinds, target.kind)
        };
        if self.route_policy(query, by_route) == Some(false) {
            return false;
        }
        match product.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => may_have_run.next().is_none(),
            Effect::Deduplicated(group) => may_have_run.all(|execution| {
                let is_remembered = self.now + 2 * self.settings.clock_resolution_us
                    < execution.sent_at + product.dedup_window_us;
                is_within(group, execution) && is_remembered
            }),
        }
    }
}
