//! The table of open queries. As the host of the decision logic, it turns decisions into effects.

use std::collections::HashSet;
use std::rc::Rc;

use http::HeaderValue;
use whinspindle::host::{Host, Outcome};
use whinspindle_deployment_settings::Deployment;
use whinspindle_protocol::answer::{AbortReason, Answer, ServerResponse};
use whinspindle_protocol::query::ForwardedQuery;
use whinspindle_rate_limited_log::log_line;

use crate::servers::Servers;
use crate::{Effects, Execution, QueryCounts};

/// Handle of an open query. Its index may be reused; its serial number is unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    pub(crate) query_index: usize,
    serial: u64,
}

/// A query from its arrival to the end of its last execution.
struct OpenQuery<C> {
    serial: u64,
    query: Rc<ForwardedQuery>,
    product: usize,
    /// `None` after the final answer, or once the client has disconnected.
    caller: Option<C>,
    /// The servers of its executions, in order.
    servers: Vec<usize>,
    executions_in_flight: usize,
    last_outcome: Option<Outcome>,
}

pub(crate) struct RequestTable<E: Effects> {
    pub effects: E,
    pub servers: Servers,
    pub tally: QueryCounts,
    open: Vec<Option<OpenQuery<E::Caller>>>,
    free_indices: Vec<usize>,
    /// Trace ids of the open queries.
    trace_ids: HashSet<HeaderValue>,
}

impl<E: Effects> RequestTable<E> {
    pub fn new(effects: E, deployment: &Deployment) -> Self {
        RequestTable {
            effects,
            servers: Servers::new(deployment.zones.clone(), deployment.kinds.clone()),
            tally: QueryCounts::default(),
            open: Vec::new(),
            free_indices: Vec::new(),
            trace_ids: HashSet::new(),
        }
    }

    /// Inserts a query. Returns `None` if an open query has the same trace id: servers would take the new one
    /// for a duplicate of the other.
    pub fn insert(&mut self, query: ForwardedQuery, product: usize, caller: E::Caller) -> Option<Ticket> {
        if !self.trace_ids.insert(query.trace.clone()) {
            return None;
        }
        self.tally.accepted += 1;
        let serial = self.tally.accepted;
        let open = OpenQuery {
            serial,
            query: Rc::new(query),
            product,
            caller: Some(caller),
            servers: Vec::new(),
            executions_in_flight: 0,
            last_outcome: None,
        };
        let query_index = self.free_indices.pop().unwrap_or_else(|| {
            self.open.push(None);
            self.open.len() - 1
        });
        self.open[query_index] = Some(open);
        Some(Ticket { query_index, serial })
    }

    /// Removes the caller of a query. Returns whether the query was still open.
    pub fn client_disconnected(&mut self, ticket: Ticket) -> bool {
        let open = self.open[ticket.query_index].as_mut().filter(|open| open.serial == ticket.serial);
        let was_open = open.and_then(|open| open.caller.take()).is_some();
        self.tally.abandoned += u64::from(was_open);
        was_open
    }

    /// Whether a caller still waits for the answer.
    pub fn is_open(&self, query_index: usize) -> bool {
        self.open[query_index].as_ref().is_some_and(|open| open.caller.is_some())
    }

    /// Records the end of an execution. Returns whether the query has its final answer.
    pub fn execution_ended(
        &mut self,
        query_index: usize,
        outcome: Outcome,
        response: Option<ServerResponse>,
    ) -> bool {
        let Some(open) = &mut self.open[query_index] else { return true };
        open.executions_in_flight -= 1;
        open.last_outcome = Some(outcome);
        if let Some(response) = response {
            self.answer(query_index, Answer::Completed(response));
        }
        !self.is_open(query_index)
    }

    fn answer(&mut self, query_index: usize, answer: Answer) {
        let open = self.open[query_index].as_mut();
        let Some(caller) = open.and_then(|open| open.caller.take()) else { return };
        match answer {
            Answer::Completed(_) => self.tally.completed += 1,
            Answer::Rejected(_) => self.tally.rejected += 1,
            Answer::Aborted { .. } => self.tally.aborted += 1,
        }
        self.effects.answer(caller, answer);
    }

    /// Frees the index of a query that is answered and has no execution in flight.
    pub fn release(&mut self, query_index: usize) {
        let is_done = |open: &OpenQuery<_>| open.caller.is_none() && open.executions_in_flight == 0;
        if let Some(open) = self.open[query_index].take_if(|open| is_done(open)) {
            self.trace_ids.remove(&open.query.trace);
            open.servers.iter().for_each(|&server| self.servers.release(server));
            self.free_indices.push(query_index);
        }
    }
}

impl<E: Effects> Host for RequestTable<E> {
    fn execute(&mut self, query_index: usize, server: usize, timeout_us: u64) {
        let process = self.servers.acquire(server);
        let (Some(open), Some(process)) = (&mut self.open[query_index], process) else {
            log_line!("fault", "execution for a query that is not open, or for a server without an address");
            return;
        };
        let execution_index = open.servers.len();
        open.servers.push(server);
        open.executions_in_flight += 1;
        self.tally.executions += 1;
        let (query, product) = (Rc::clone(&open.query), open.product);
        self.effects.execute(Execution {
            query_index,
            execution_index,
            server,
            process,
            product,
            query,
            timeout_us,
        });
    }

    fn cancel(&mut self, query_index: usize, execution_index: usize) {
        self.effects.cancel(query_index, execution_index);
    }

    fn reject(&mut self, query_index: usize, retry_after_us: u64) {
        self.answer(query_index, Answer::Rejected(retry_after_us));
    }

    fn abort(&mut self, query_index: usize) {
        let last_outcome = self.open[query_index].as_ref().and_then(|open| open.last_outcome);
        let reason = match last_outcome {
            None | Some(Outcome::TimedOut) => AbortReason::OutOfTime,
            // Executions of an open query are cancelled only if their server is silent.
            Some(Outcome::Cancelled) => AbortReason::ServerUnresponsive,
            Some(_) => AbortReason::Failed,
        };
        self.answer(query_index, Answer::Aborted(reason));
    }

    fn set_timer(&mut self, delay_us: u64, label: u32) {
        self.effects.set_timer(delay_us, label);
    }

    fn probe(&mut self, server: usize) {
        if let Some(process) = self.servers.acquire(server) {
            self.effects.probe(server, process);
        }
    }

    /// Does nothing: the program watches the endpoint list by itself and reopens the watch.
    fn watch_endpoints(&mut self) {}
}
