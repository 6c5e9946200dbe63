//! The host of the decisions: the open queries, and what the decisions ask for turned into effects.

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

/// Stands for one open query; its index may stand for another one later, the serial number never does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    pub(crate) query_index: usize,
    serial: u64,
}

/// A query between its arrival and the end of its last execution.
struct OpenQuery<C> {
    serial: u64,
    query: Rc<ForwardedQuery>,
    product: usize,
    /// Taken with the final answer, or when the client leaves.
    caller: Option<C>,
    /// The servers that it was sent to.
    servers: Vec<usize>,
    executions_out: usize,
    last_outcome: Option<Outcome>,
}

pub(crate) struct RequestTable<E: Effects> {
    pub effects: E,
    pub servers: Servers,
    pub tally: QueryCounts,
    open: Vec<Option<OpenQuery<E::Caller>>>,
    free: Vec<usize>,
    /// The ids of the open queries.
    traces: HashSet<HeaderValue>,
}

impl<E: Effects> RequestTable<E> {
    pub fn new(effects: E, deployment: &Deployment) -> Self {
        RequestTable {
            effects,
            servers: Servers::new(deployment.zones.clone(), deployment.kinds.clone()),
            tally: QueryCounts::default(),
            open: Vec::new(),
            free: Vec::new(),
            traces: HashSet::new(),
        }
    }

    /// None if another query is open under the same id. Guards against a client that uses the id of another's
    /// query: what it sends would pass for a second copy of that.
    pub fn take(&mut self, query: ForwardedQuery, product: usize, caller: E::Caller) -> Option<Ticket> {
        if !self.traces.insert(query.trace.clone()) {
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
            executions_out: 0,
            last_outcome: None,
        };
        let query_index = self.free.pop().unwrap_or_else(|| {
            self.open.push(None);
            self.open.len() - 1
        });
        self.open[query_index] = Some(open);
        Some(Ticket { query_index, serial })
    }

    /// Whether the query was still open; nobody waits for it from now on.
    pub fn client_gone(&mut self, ticket: Ticket) -> bool {
        let open = self.open[ticket.query_index].as_mut().filter(|open| open.serial == ticket.serial);
        let left = open.and_then(|open| open.caller.take()).is_some();
        self.tally.abandoned += u64::from(left);
        left
    }

    /// Whether somebody still waits for the query's answer.
    pub fn is_open(&self, query_index: usize) -> bool {
        self.open[query_index].as_ref().is_some_and(|open| open.caller.is_some())
    }

    /// Whether the query has its final answer now, by this end or before it.
    pub fn execution_ended(
        &mut self,
        query_index: usize,
        outcome: Outcome,
        served: Option<ServerResponse>,
    ) -> bool {
        let Some(open) = &mut self.open[query_index] else { return true };
        open.executions_out -= 1;
        open.last_outcome = Some(outcome);
        if let Some(served) = served {
            self.answer(query_index, Answer::Completed(served));
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

    /// Frees the index once the query is answered and nothing of it is out.
    pub fn release(&mut self, query_index: usize) {
        let done = |open: &OpenQuery<_>| open.caller.is_none() && open.executions_out == 0;
        if let Some(open) = self.open[query_index].take_if(|open| done(open)) {
            self.traces.remove(&open.query.trace);
            open.servers.iter().for_each(|&server| self.servers.release(server));
            self.free.push(query_index);
        }
    }
}

impl<E: Effects> Host for RequestTable<E> {
    fn execute(&mut self, query_index: usize, server: usize, time_out: u64) {
        let process = self.servers.acquire(server);
        let (Some(open), Some(process)) = (&mut self.open[query_index], process) else {
            log_line!("fault", "an execution of no open query, or at a server without an address");
            return;
        };
        let execution_index = open.servers.len();
        open.servers.push(server);
        open.executions_out += 1;
        self.tally.executions += 1;
        let (query, product) = (Rc::clone(&open.query), open.product);
        self.effects.execute(Execution {
            query_index,
            execution_index,
            server,
            process,
            product,
            query,
            timeout_us: time_out,
        });
    }

    fn cancel(&mut self, query_index: usize, execution_index: usize) {
        self.effects.cancel(query_index, execution_index);
    }

    fn reject(&mut self, query_index: usize, retry_after: u64) {
        self.answer(query_index, Answer::Rejected(retry_after));
    }

    fn abort(&mut self, query_index: usize) {
        let last = self.open[query_index].as_ref().and_then(|open| open.last_outcome);
        let because = match last {
            None | Some(Outcome::TimedOut) => AbortReason::OutOfTime,
            // While the query was open, only the silence of a server has called an execution off.
            Some(Outcome::Cancelled) => AbortReason::ServerUnresponsive,
            Some(_) => AbortReason::Failed,
        };
        self.answer(query_index, Answer::Aborted(because));
    }

    fn set_timer(&mut self, wait: u64, label: u32) {
        self.effects.set_timer(wait, label);
    }

    fn probe(&mut self, server: usize) {
        if let Some(process) = self.servers.acquire(server) {
            self.effects.probe(server, process);
        }
    }

    /// The program watches the list from its start on, and opens the watch again by itself.
    fn watch_endpoints(&mut self) {}
}
