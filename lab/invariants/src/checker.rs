//! The checker: state shared by the rules, the passing of time, and violations.

mod balancers;
mod endpoints;
mod executions;
mod queries;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use endpoints::ColdServer;
use queries::Query;

use crate::rules::Location;
use crate::{RetrySafety, Rules, Verdict, Violation};

/// Rule 1: each query gets one final answer in time, and nothing is sent for it afterwards.
const ONE_ANSWER_IN_TIME: u8 = 1;
/// Rule 2: no query takes effect twice.
const NO_EFFECT_TWICE: u8 = 2;
/// Rule 3: draining and deregistered servers get nothing new.
const NOTHING_NEW_FOR_DRAINING: u8 = 3;
/// Rule 4: servers in their slow start are not overloaded.
const NO_COLD_OVERLOAD: u8 = 4;

/// A query is kept for at least this long after its end, in microseconds, to notice what comes too late.
const MIN_QUERY_RETENTION: u64 = 10_000_000;

const MICROSECONDS_PER_MILLISECOND: f64 = 1e3;

/// What a violation is about.
#[derive(Clone, Copy, Default)]
struct Subject {
    query: Option<u64>,
    balancer: Option<usize>,
    server: Option<usize>,
}

/// Checks a run against the [`Rules`] while it is reported, one method an observation.
pub struct InvariantChecker {
    rules: Rules,
    verdict: Verdict,
    queries: HashMap<u64, Query>,
    /// Open queries by the time until which their answer must come: (due, query).
    unanswered: BTreeSet<(u64, u64)>,
    /// Balancers stopped by a signal, and since when.
    paused: HashMap<usize, u64>,
    /// Queries that came due while their balancer was paused: (due, query).
    due_while_paused: Vec<(u64, u64)>,
    /// When each ended query may be forgotten: (time, query).
    expiries: VecDeque<(u64, u64)>,
    /// How long an ended query is kept, in microseconds.
    query_retention: u64,
    /// Since when a balancer knows that a server takes nothing new, by (balancer, server).
    unavailable: HashMap<(usize, usize), u64>,
    /// The keys of `unavailable` in the order of time, to expire those of servers that are long gone.
    unavailable_by_time: VecDeque<(u64, (usize, usize))>,
    /// The servers in each balancer's endpoint list.
    endpoint_lists: HashMap<usize, BTreeSet<usize>>,
    locations: HashMap<usize, Location>,
    cold_servers: BTreeMap<usize, ColdServer>,
}

impl InvariantChecker {
    /// A checker that has observed nothing yet.
    pub fn new(rules: Rules) -> Self {
        let memory = |safety: &RetrySafety| match safety {
            RetrySafety::Deduplicated { memory, .. } => *memory,
            RetrySafety::Idempotent | RetrySafety::NonIdempotent => 0,
        };
        let longest = rules.products.iter().map(memory).max().unwrap_or(0);
        InvariantChecker {
            query_retention: longest.max(MIN_QUERY_RETENTION),
            rules,
            verdict: Verdict::default(),
            queries: HashMap::new(),
            unanswered: BTreeSet::new(),
            paused: HashMap::new(),
            due_while_paused: Vec::new(),
            expiries: VecDeque::new(),
            unavailable: HashMap::new(),
            unavailable_by_time: VecDeque::new(),
            endpoint_lists: HashMap::new(),
            locations: HashMap::new(),
            cold_servers: BTreeMap::new(),
        }
    }

    /// Ends the check at the end of the run.
    pub fn finish(mut self, now: u64) -> Verdict {
        self.advance(now);
        self.verdict
    }

    /// Reports queries that have come due without an answer, and forgets those that ended long ago.
    fn advance(&mut self, now: u64) {
        while let Some(&(due, id)) = self.unanswered.first()
            && due < now
        {
            self.unanswered.pop_first();
            self.come_due(due, id);
        }
        while let Some(&(at, id)) = self.expiries.front()
            && at < now
        {
            self.expiries.pop_front();
            self.queries.remove(&id);
        }
    }

    fn come_due(&mut self, due: u64, id: u64) {
        let balancer = self.queries.get(&id).map(|query| query.balancer);
        if balancer.is_some_and(|balancer| self.paused.contains_key(&balancer)) {
            self.due_while_paused.push((due, id));
            return;
        }
        let subject = Subject { query: Some(id), balancer, server: None };
        self.violated(ONE_ANSWER_IN_TIME, "no final answer in time", due, subject);
    }

    fn violated(&mut self, rule: u8, what: impl Into<String>, at: u64, subject: Subject) {
        let Subject { query, balancer, server } = subject;
        self.verdict.record(Violation { rule, what: what.into(), at, query, balancer, server });
    }

    fn is_query_of(&self, id: u64, balancer: usize) -> bool {
        self.queries.get(&id).is_some_and(|query| query.balancer == balancer)
    }

    /// The unanswered queries of a balancer, the next due first.
    fn unanswered_of(&self, balancer: usize) -> Vec<u64> {
        let ids = self.unanswered.iter().map(|&(_, id)| id);
        ids.filter(|&id| self.is_query_of(id, balancer)).collect()
    }
}
