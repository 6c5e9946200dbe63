//! The state of one running balancer, as a state machine without I/O: the decisions and the table of open queries.
//!
//! It is called once for each event and asks through [`Effects`] for all that must be sent, answered or timed.

#![allow(missing_docs, reason = "not every public item is documented yet")]

mod request_table;
mod servers;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use whinspindle::balancer::Balancer;
use whinspindle::host::{Arrival, Endpoint, ExecutionEnd, LoadReport, Outcome, RoutePolicy};
use whinspindle_deployment_settings::Deployment;
use whinspindle_protocol::answer::{Answer, Served};
use whinspindle_protocol::endpoints::{EndpointUpdate, ListedServer};
use whinspindle_protocol::query::Forwarded;

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
    fn answer(&mut self, caller: Self::Caller, answer: Answer);
    /// Calls `BalancerCore::timer` after so many microseconds.
    fn wake(&mut self, wait: u64, label: u32);
    /// `BalancerCore::probed` tells what came of it.
    fn probe(&mut self, server: usize, process: ServerProcess);
}

/// Where a server listens, and which of its processes: each that the list has named has a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerProcess {
    pub address: SocketAddr,
    pub process: u64,
}

pub struct Execution {
    pub query_index: usize,
    pub execution_index: usize,
    pub server: usize,
    pub process: ServerProcess,
    pub product: usize,
    pub query: Rc<Forwarded>,
    pub time_out: u64,
}

/// How an execution ended.
pub struct EndedExecution {
    pub query_index: usize,
    pub execution_index: usize,
    pub outcome: Outcome,
    pub spent: u64,
    pub report: LoadReport,
    pub served: Option<Served>,
}

pub struct BalancerCore<E: Effects> {
    balancer: Balancer<RequestTable<E>>,
}

impl<E: Effects> BalancerCore<E> {
    pub fn new(effects: E, deployment: &Deployment, seed: u64, now: u64) -> Self {
        let request_table = RequestTable::new(effects, deployment);
        BalancerCore { balancer: Balancer::new(request_table, deployment.terms.clone(), seed, now) }
    }

    /// Queries come by these routes from now on; those in hand keep theirs.
    pub fn routes(&mut self, routes: Vec<Vec<RoutePolicy>>) {
        self.balancer.routes(routes);
    }

    pub fn list(&mut self, now: u64, update: &EndpointUpdate) {
        let entries = self.balancer.host.servers.apply(update);
        if update.complete {
            self.balancer.endpoints_replaced(now, &entries);
        } else {
            self.balancer.endpoints_changed(now, &entries);
        }
        self.forget_gone();
    }

    /// The fleet has let these servers out, by their keys: they get nothing new, as if the list had told that
    /// they drain, until they are not among them any more.
    pub fn taken_out(&mut self, now: u64, keys: &BTreeSet<u64>) {
        let entries = self.balancer.host.servers.taken_out(keys);
        if !entries.is_empty() {
            self.balancer.endpoints_changed(now, &entries);
        }
    }

    /// The whole list, to be kept over a restart.
    pub fn complete_list(&self) -> Vec<ListedServer> {
        self.balancer.host.servers.complete_list()
    }

    /// The servers as the list told them last.
    pub fn listed(&self) -> Vec<Endpoint> {
        self.balancer.host.servers.listed().copied().collect()
    }

    /// Servers that are gone and that nothing in flight holds any more make way for others.
    fn forget_gone(&mut self) {
        while let Some(server) = self.balancer.host.servers.forget_gone() {
            self.balancer.endpoint_forgotten(server);
        }
    }

    /// None if another query is open under the same id; nothing has happened then.
    pub fn query(
        &mut self,
        now: u64,
        arrival: Arrival,
        query: Forwarded,
        caller: E::Caller,
    ) -> Option<Ticket> {
        let ticket = self.balancer.host.take(query, arrival.product, caller)?;
        self.balancer.query(now, ticket.query_index, arrival);
        // It may have its answer already.
        self.release(ticket.query_index);
        Some(ticket)
    }

    /// The client has gone; nobody waits for the answer any more.
    pub fn client_gone(&mut self, now: u64, ticket: Ticket) {
        if self.balancer.host.client_gone(ticket) {
            self.balancer.withdrawn(now, ticket.query_index);
            self.release(ticket.query_index);
        }
    }

    fn release(&mut self, query_index: usize) {
        self.balancer.host.release(query_index);
        self.forget_gone();
    }

    pub fn execution_ended(&mut self, now: u64, ended: EndedExecution) {
        let EndedExecution { query_index, execution_index, outcome, spent, report, served } = ended;
        let over = self.balancer.host.execution_ended(query_index, outcome, served);
        self.balancer.completed(
            now,
            query_index,
            execution_index,
            ExecutionEnd { outcome, over, spent, report },
        );
        self.release(query_index);
    }

    /// The program ends at `until`.
    pub fn stopping(&mut self, now: u64, until: u64) {
        self.balancer.stopping(now, until);
    }

    pub fn probed(&mut self, now: u64, server: usize, answered: bool, report: LoadReport) {
        self.balancer.probed(now, server, answered, report);
        self.balancer.host.servers.release(server);
        self.forget_gone();
    }

    pub fn timer(&mut self, now: u64, label: u32) {
        self.balancer.timer(now, label);
    }

    /// Whether an execution may still begin: asked again right before its first byte goes out. Guards against
    /// a query that was answered, a server that has left the list, and a window for repeats that has run out
    /// while the connection came up.
    pub fn may_begin(&mut self, now: u64, query_index: usize, execution_index: usize, server: usize) -> bool {
        self.balancer.host.is_open(query_index)
            && self.is_ready(server)
            && self.balancer.may_begin(now, query_index, execution_index)
    }

    /// Whether the last list has the server ready.
    pub fn is_ready(&self, server: usize) -> bool {
        self.balancer.host.servers.is_ready(server)
    }

    pub fn has_list(&self) -> bool {
        self.balancer.host.servers.has_list()
    }

    pub fn tally(&self) -> Tally {
        self.balancer.host.tally
    }
}

/// What has become of the queries since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub taken: u64,
    pub completed: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub left: u64,
    pub executions: u64,
}
