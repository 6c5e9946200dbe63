//! Queries: accepted, answered once, or cancelled by the client.

use super::{InvariantChecker, NO_EFFECT_TWICE, ONE_ANSWER_IN_TIME, Subject};
use crate::rules::Location;
use crate::{Final, RetrySafety, Scope};

/// A query that a balancer has accepted.
pub(super) struct Query {
    pub(super) balancer: usize,
    pub(super) product: usize,
    /// Until when the final answer must come.
    pub(super) due: u64,
    /// By the number of the execution.
    pub(super) executions: Vec<Execution>,
    pub(super) answer: Option<Final>,
    /// The client has cancelled, or the balancer was killed: no answer is due.
    pub(super) cancelled: bool,
    /// Each time that a server has done the work to its end.
    pub(super) completed_runs: Vec<CompletedRun>,
}

/// A sending of a query to a server.
pub(super) struct Execution {
    pub(super) location: Location,
    pub(super) sent_at: u64,
    /// Absent while it is in flight.
    pub(super) may_have_run: Option<bool>,
}

/// A query's work, done to its end by a server.
pub(super) struct CompletedRun {
    pub(super) server: usize,
    pub(super) at: u64,
}

impl Query {
    /// Whether no answer is expected any more.
    pub(super) fn is_ended(&self) -> bool {
        self.answer.is_some() || self.cancelled
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.executions.iter().any(|execution| execution.may_have_run != Some(false))
    }
}

impl InvariantChecker {
    /// A balancer has accepted a query whose client waits until `deadline`.
    pub fn query_accepted(&mut self, now: u64, balancer: usize, id: u64, product: usize, deadline: u64) {
        self.advance(now);
        self.verdict.count_check(ONE_ANSWER_IN_TIME);
        let due = deadline + self.rules.answer_slack;
        let query = Query {
            balancer,
            product,
            due,
            executions: Vec::new(),
            answer: None,
            cancelled: false,
            completed_runs: Vec::new(),
        };
        self.queries.insert(id, query);
        self.unanswered.insert((due, id));
    }

    /// A balancer has given its final answer.
    pub fn query_answered(&mut self, now: u64, id: u64, answer: Final) {
        self.advance(now);
        let Some(query) = self.queries.get_mut(&id) else {
            let subject = Subject { query: Some(id), ..Subject::default() };
            return self.violated(ONE_ANSWER_IN_TIME, "answered a query that is long over", now, subject);
        };
        let subject = Subject { query: Some(id), balancer: Some(query.balancer), server: None };
        if query.cancelled {
            return;
        }
        if query.answer.is_some() {
            return self.violated(ONE_ANSWER_IN_TIME, "answered twice", now, subject);
        }
        query.answer = Some(answer);
        let (due, product) = (query.due, query.product);
        let may_have_run = query.may_have_run();
        let ran = !query.completed_runs.is_empty();
        self.query_ended(now, id, due);
        self.verdict.count_check(NO_EFFECT_TWICE);
        if answer == Final::Rejected && may_have_run && !self.may_client_retry(product) {
            self.violated(NO_EFFECT_TWICE, "rejected though it may have run", now, subject);
        }
        if answer == Final::Completed && !ran {
            self.violated(ONE_ANSWER_IN_TIME, "completed though no server has run it", now, subject);
        }
    }

    /// The client has cancelled: no answer is due any more, and nothing may be sent.
    pub fn query_cancelled(&mut self, now: u64, id: u64) {
        self.advance(now);
        if let Some(query) = self.queries.get_mut(&id).filter(|query| !query.is_ended()) {
            query.cancelled = true;
            let due = query.due;
            self.query_ended(now, id, due);
        }
    }

    /// Whether a client may send a query again though it may have run, to whichever balancer and server.
    fn may_client_retry(&self, product: usize) -> bool {
        matches!(
            self.rules.retry_safety(product),
            RetrySafety::Idempotent | RetrySafety::Deduplicated { scope: Scope::Everywhere, .. }
        )
    }

    fn query_ended(&mut self, now: u64, id: u64, due: u64) {
        // A query that was overdue has been reported and removed already.
        self.unanswered.remove(&(due, id));
        self.expiries.push_back((now + self.query_retention, id));
    }
}
