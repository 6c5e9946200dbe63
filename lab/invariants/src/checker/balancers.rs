//! Balancers that are paused, shut down, killed, or crash.

use super::{InvariantChecker, ONE_ANSWER_IN_TIME, Subject};

impl InvariantChecker {
    /// The grace of a balancer that was told to shut down is over, and it is about to be killed: the queries that it has
    /// accepted and not answered are lost.
    pub fn shutdown_grace_expired(&mut self, now: u64, balancer: usize) {
        self.advance(now);
        for id in self.unanswered_of(balancer) {
            let subject = Subject { query: Some(id), balancer: Some(balancer), server: None };
            let what = "told to end and killed before its answer";
            self.violated(ONE_ANSWER_IN_TIME, what, now, subject);
        }
    }

    /// A balancer was killed, or has ended by itself with nothing open: its clients may retry what it had accepted.
    pub fn balancer_ended(&mut self, now: u64, balancer: usize) {
        self.advance(now);
        for id in self.unanswered_of(balancer) {
            self.query_cancelled(now, id);
        }
        self.paused.remove(&balancer);
        let queries = &self.queries;
        let of_another = |id: &u64| queries.get(id).is_some_and(|query| query.balancer != balancer);
        self.due_while_paused.retain(|(_, id)| of_another(id));
        self.endpoint_lists.remove(&balancer);
        self.unavailable.retain(|(of, _), _| *of != balancer);
        for cold in self.cold_servers.values_mut() {
            cold.informed.remove(&balancer);
        }
    }

    /// A balancer was stopped by a signal, and does nothing until it is resumed.
    pub fn balancer_paused(&mut self, now: u64, balancer: usize) {
        self.advance(now);
        self.paused.entry(balancer).or_insert(now);
    }

    /// Whether a balancer is paused.
    pub fn is_paused(&self, balancer: usize) -> bool {
        self.paused.contains_key(&balancer)
    }

    /// A paused balancer goes on: its queries are due later by the length of the pause.
    pub fn balancer_resumed(&mut self, now: u64, balancer: usize) {
        self.advance(now);
        let Some(since) = self.paused.remove(&balancer) else { return };
        let unanswered = std::mem::take(&mut self.unanswered);
        let due_while_paused = std::mem::take(&mut self.due_while_paused);
        let is_own = |&(_, id): &(u64, u64)| self.is_query_of(id, balancer);
        let (mut postponed, unanswered_elsewhere): (Vec<_>, Vec<_>) =
            unanswered.into_iter().partition(is_own);
        let (overdue, overdue_elsewhere): (Vec<_>, Vec<_>) = due_while_paused.into_iter().partition(is_own);
        postponed.extend(overdue);
        self.unanswered = unanswered_elsewhere.into_iter().collect();
        self.due_while_paused = overdue_elsewhere;
        for (due, id) in postponed {
            let due = due + (now - since);
            if let Some(query) = self.queries.get_mut(&id).filter(|query| !query.is_ended()) {
                query.due = due;
                self.unanswered.insert((due, id));
            }
        }
    }

    /// The number of unanswered queries of a balancer.
    pub fn open_queries(&self, balancer: usize) -> usize {
        self.unanswered.iter().filter(|(_, id)| self.is_query_of(*id, balancer)).count()
    }

    /// A balancer has ended by itself, and has lost the queries that it had accepted.
    pub fn balancer_crashed(&mut self, now: u64, balancer: usize) {
        let open = self.open_queries(balancer);
        let what = format!("the balancer ended with {open} queries open");
        let subject = Subject { balancer: Some(balancer), ..Subject::default() };
        self.violated(ONE_ANSWER_IN_TIME, what, now, subject);
        self.balancer_ended(now, balancer);
    }
}
