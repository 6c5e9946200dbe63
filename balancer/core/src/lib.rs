//! The state of one running balancer, as a state machine without I/O: the decisions and the table of open queries.
//!
//! It is called once for each event and asks through [`Effects`] for all that must be sent, answered or timed.

mod request_table;
mod servers;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use whinspindle::balancer::Balancer;
use whinspindle::host::{Arrival, Endpoint, ExecutionEnd, LoadReport, Outcome, RoutePolicy};
use whinspindle_deployment_settings::Deployment;
use whinspindle_protocol::answer::{Answer, ServerResponse};
use whinspindle_protocol::endpoints::{EndpointUpdate, ListedServer};
use whinspindle_protocol::query::ForwardedQuery;

use request_table::RequestTable;
pub use request_table::Ticket;

/// Carries out what the core asks for. No method may call the core before it returns.
pub trait Effects {
    /// Who waits for the answer to a query.
    type Caller;
    /// Sends the query to the server once; `BalancerCore::execution_ended` tells what came of it.
    fn execute(&mut self, execution: Execution);
    /// Stops waiting for an execution, whose connection is closed; its end is still told.
    fn cancel(&mut self, query_index: usize, execution_index: usize);
    /// Gives the final answer to who waits for it.
    fn answer(&mut self, caller: Self::Caller, answer: Answer);
    /// Calls `BalancerCore::timer` after so many microseconds.
    fn set_timer(&mut self, wait: u64, label: u32);
    /// `BalancerCore::probed` tells what came of it.
    fn probe(&mut self, server: usize, process: ServerProcess);
}

/// Where a server listens, and which of its processes: each that the list has named has a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerProcess {
    /// Where it listens.
    pub address: SocketAddr,
    /// Number of the process, never used twice.
    pub process: u64,
}

/// An execution that is to be sent.
pub struct Execution {
    /// Index of its query.
    pub query_index: usize,
    /// Its number among the query's executions, from 0.
    pub execution_index: usize,
    /// Index of the server.
    pub server: usize,
    /// Where to send it.
    pub process: ServerProcess,
    /// Index of the query's product.
    pub product: usize,
    /// What is sent.
    pub query: Rc<ForwardedQuery>,
    /// How long it may take, in microseconds.
    pub timeout_us: u64,
}

/// How an execution ended.
pub struct EndedExecution {
    /// Index of its query.
    pub query_index: usize,
    /// Its number among the query's executions, from 0.
    pub execution_index: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent, in microseconds.
    pub elapsed_us: u64,
    /// What the server reported of its load.
    pub report: LoadReport,
    /// The server's answer, if there is one for the client.
    pub response: Option<ServerResponse>,
}

/// One balancer: its decisions and its open queries. Times are microseconds of the host's clock.
pub struct BalancerCore<E: Effects> {
    balancer: Balancer<RequestTable<E>>,
}

impl<E: Effects> BalancerCore<E> {
    /// A balancer without an endpoint list. The seed decides all random draws.
    pub fn new(effects: E, deployment: &Deployment, seed: u64, now: u64) -> Self {
        let request_table = RequestTable::new(effects, deployment);
        BalancerCore {
            balancer: Balancer::new(request_table, deployment.balancer_settings.clone(), seed, now),
        }
    }

    /// Queries come by these routes from now on; those in hand keep theirs.
    pub fn set_routes(&mut self, routes: Vec<Vec<RoutePolicy>>) {
        self.balancer.set_routes(routes);
    }

    /// The endpoint list has changed.
    pub fn apply_endpoint_update(&mut self, now: u64, update: &EndpointUpdate) {
        let entries = self.balancer.host.servers.apply(update);
        if update.is_complete {
            self.balancer.endpoints_replaced(now, &entries);
        } else {
            self.balancer.endpoints_changed(now, &entries);
        }
        self.forget_gone();
    }

    /// The fleet has let these servers out, by their keys: they get nothing new, as if the list had told that
    /// they drain, until they are not among them any more.
    pub fn set_drained(&mut self, now: u64, keys: &BTreeSet<u64>) {
        let entries = self.balancer.host.servers.taken_out(keys);
        if !entries.is_empty() {
            self.balancer.endpoints_changed(now, &entries);
        }
    }

    /// The whole list, to be kept over a restart.
    pub fn endpoint_list(&self) -> Vec<ListedServer> {
        self.balancer.host.servers.complete_list()
    }

    /// The servers as the list told them last.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.balancer.host.servers.listed().copied().collect()
    }

    /// Servers that are gone and that nothing in flight holds any more make way for others.
    fn forget_gone(&mut self) {
        while let Some(server) = self.balancer.host.servers.forget_gone() {
            self.balancer.endpoint_removed(server);
        }
    }

    /// None if another query is open under the same id; nothing has happened then.
    pub fn submit_query(
        &mut self,
        now: u64,
        arrival: Arrival,
        query: ForwardedQuery,
        caller: E::Caller,
    ) -> Option<Ticket> {
        let ticket = self.balancer.host.take(query, arrival.product, caller)?;
        self.balancer.query_arrived(now, ticket.query_index, arrival);
        // It may have its answer already.
        self.release(ticket.query_index);
        Some(ticket)
    }

    /// The client has gone; nobody waits for the answer any more.
    pub fn client_disconnected(&mut self, now: u64, ticket: Ticket) {
        if self.balancer.host.client_gone(ticket) {
            self.balancer.query_withdrawn(now, ticket.query_index);
            self.release(ticket.query_index);
        }
    }

    fn release(&mut self, query_index: usize) {
        self.balancer.host.release(query_index);
        self.forget_gone();
    }

    /// An execution has ended.
    pub fn execution_ended(&mut self, now: u64, ended: EndedExecution) {
        let EndedExecution {
            query_index,
            execution_index,
            outcome,
            elapsed_us: spent,
            report,
            response: served,
        } = ended;
        let over = self.balancer.host.execution_ended(query_index, outcome, served);
        self.balancer.execution_ended(
            now,
            query_index,
            execution_index,
            ExecutionEnd { outcome, query_answered: over, elapsed_us: spent, report },
        );
        self.release(query_index);
    }

    /// The program ends at `until`.
    pub fn begin_shutdown(&mut self, now: u64, until: u64) {
        self.balancer.begin_shutdown(now, until);
    }

    /// A probe has ended; `answered` says whether the server gave a sign of life.
    pub fn probe_ended(&mut self, now: u64, server: usize, answered: bool, report: LoadReport) {
        self.balancer.probe_ended(now, server, answered, report);
        self.balancer.host.servers.release(server);
        self.forget_gone();
    }

    /// A timer set by [`Effects::wake`] is due.
    pub fn timer_fired(&mut self, now: u64, label: u32) {
        self.balancer.timer_fired(now, label);
    }

    /// Whether an execution may still begin: asked again right before its first byte goes out. Guards against
    /// a query that was answered, a server that has left the list, and a window for repeats that has run out
    /// while the connection came up.
    pub fn may_send(&mut self, now: u64, query_index: usize, execution_index: usize, server: usize) -> bool {
        self.balancer.host.is_open(query_index)
            && self.is_ready(server)
            && self.balancer.may_send(now, query_index, execution_index)
    }

    /// Whether the last list has the server ready.
    pub fn is_ready(&self, server: usize) -> bool {
        self.balancer.host.servers.is_ready(server)
    }

    /// Whether a complete endpoint list has come.
    pub fn has_list(&self) -> bool {
        self.balancer.host.servers.has_list()
    }

    /// The counts of queries since the start.
    pub fn query_counts(&self) -> QueryCounts {
        self.balancer.host.tally
    }
}

/// What has become of the queries since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueryCounts {
    /// Queries that were taken.
    pub accepted: u64,
    /// Those with an answer of a server.
    pub completed: u64,
    /// Those that were rejected.
    pub rejected: u64,
    /// Those that were aborted.
    pub aborted: u64,
    /// Those whose client went before an answer.
    pub abandoned: u64,
    /// Executions of all of them.
    pub executions: u64,
}
