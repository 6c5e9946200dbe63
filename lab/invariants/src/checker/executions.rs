//! Executions: where and how often a query is sent and run.

use super::queries::{CompletedRun, Execution, Query};
use super::{
    InvariantChecker, MICROSECONDS_PER_MILLISECOND, NO_EFFECT_TWICE, NOTHING_NEW_FOR_DRAINING,
    ONE_ANSWER_IN_TIME, Subject,
};
use crate::RetrySafety;
use crate::rules::Location;

impl InvariantChecker {
    /// An execution was sent. Those of one query are numbered from 0 in the order of sending.
    pub fn execution_sent(&mut self, now: u64, id: u64, server: usize, work: f64) {
        self.advance(now);
        let location = self.locations.get(&server).copied().unwrap_or(Location::UNKNOWN);
        let Some(query) = self.queries.get_mut(&id) else {
            let subject = Subject { query: Some(id), balancer: None, server: Some(server) };
            return self.violated(ONE_ANSWER_IN_TIME, "sent for a query that nobody asked", now, subject);
        };
        let balancer = query.balancer;
        let ended = query.is_ended();
        let overlaps = query.executions.iter().any(|execution| execution.may_have_run.is_none());
        let unsafe_retry = unsafe_retry(query, self.rules.retry_safety(query.product), location, now);
        query.executions.push(Execution { location, sent_at: now, may_have_run: None });
        let count = query.executions.len();
        let subject = Subject { query: Some(id), balancer: Some(balancer), server: Some(server) };
        self.verdict.count_check(NO_EFFECT_TWICE);
        if ended {
            self.violated(ONE_ANSWER_IN_TIME, "sent after the query was over", now, subject);
        }
        if let Some(what) = unsafe_retry {
            self.violated(NO_EFFECT_TWICE, what, now, subject);
        }
        if overlaps && !self.rules.allow_hedging {
            self.violated(NO_EFFECT_TWICE, "two executions of one query out together", now, subject);
        }
        if count > self.rules.max_executions {
            let what = format!("execution {count} of at most {}", self.rules.max_executions);
            self.violated(NO_EFFECT_TWICE, what, now, subject);
        }
        self.check_availability(now, balancer, server, subject);
        self.work_received(now, server, balancer, work);
    }

    /// An execution has ended; `may_have_run` is false if it has surely had no effect.
    pub fn execution_ended(&mut self, now: u64, id: u64, execution: usize, may_have_run: bool) {
        self.advance(now);
        let query = self.queries.get_mut(&id);
        if let Some(execution) = query.and_then(|query| query.executions.get_mut(execution)) {
            execution.may_have_run = Some(may_have_run);
        }
    }

    /// A server has done the work of a query to its end.
    pub fn query_executed(&mut self, now: u64, server: usize, id: u64) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let (product, balancer) = (query.product, query.balancer);
        let first = query.completed_runs.first().map(|run| (run.server, run.at));
        query.completed_runs.push(CompletedRun { server, at: now });
        let Some((first_server, first_at)) = first else { return };
        let Some(what) = self.repeated_effect(product, first_server, server) else { return };
        let apart_ms = (now - first_at) as f64 / MICROSECONDS_PER_MILLISECOND;
        let subject = Subject { query: Some(id), balancer: Some(balancer), server: Some(server) };
        self.violated(NO_EFFECT_TWICE, format!("{what}, {apart_ms:.0} ms apart"), now, subject);
    }

    /// What is wrong with two servers having run one query.
    fn repeated_effect(&self, product: usize, first: usize, second: usize) -> Option<&'static str> {
        match self.rules.retry_safety(product) {
            RetrySafety::Idempotent => None,
            RetrySafety::Deduplicated { scope, .. } => {
                let locations = self.locations.get(&first).zip(self.locations.get(&second));
                let shared = locations.is_some_and(|(first, second)| scope.is_shared(*first, *second));
                // The memory is not checked here: it counts from the sending, and the ends may be further apart.
                (!shared).then_some("run twice by servers that don't know each other's repeats")
            }
            RetrySafety::NonIdempotent => Some("a non-idempotent query run twice"),
        }
    }

    /// Checks that the server was listed, and not draining or gone for longer than the grace.
    fn check_availability(&mut self, now: u64, balancer: usize, server: usize, subject: Subject) {
        self.verdict.count_check(NOTHING_NEW_FOR_DRAINING);
        match self.unavailable.get(&(balancer, server)).copied() {
            Some(since) if now > since + self.rules.drain_grace => {
                let late_ms = (now - since) as f64 / MICROSECONDS_PER_MILLISECOND;
                let what = format!("sent {late_ms:.0} ms after it was told to drain or gone");
                self.violated(NOTHING_NEW_FOR_DRAINING, what, now, subject);
            }
            None if !self.is_listed(balancer, server) => {
                let what = "sent to a server that the list does not have";
                self.violated(NOTHING_NEW_FOR_DRAINING, what, now, subject);
            }
            _ => {}
        }
    }
}

/// What is wrong with sending a query once more, seen from its earlier executions that may have run.
fn unsafe_retry(query: &Query, safety: RetrySafety, to: Location, now: u64) -> Option<&'static str> {
    let mut earlier = query.executions.iter().filter(|execution| execution.may_have_run != Some(false));
    earlier.find_map(|execution| match safety {
        RetrySafety::Idempotent => None,
        RetrySafety::NonIdempotent => Some("a non-idempotent query sent again though it may have run"),
        RetrySafety::Deduplicated { scope, .. } if !scope.is_shared(execution.location, to) => {
            Some("sent again where repeats of it are not known")
        }
        RetrySafety::Deduplicated { memory, .. } if now >= execution.sent_at + memory => {
            Some("sent again after its repeats are forgotten")
        }
        RetrySafety::Deduplicated { .. } => None,
    })
}
