//! Core of a running balancer as a state machine without I/O: the decision logic and the table of open
//! queries.
//!
//! Each event is a method call, and all actions go through [`Effects`].

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

/// Carries out the actions of the core. Its methods must not call the core.
pub trait Effects {
    /// Identifies the client that waits for the answer to a query.
    type Caller;
    /// Sends an execution. Its end is reported with `BalancerCore::execution_ended`.
    fn execute(&mut self, execution: Execution);
    /// Stops waiting for an execution and closes its connection. Its end is still reported.
    fn cancel(&mut self, query_index: usize, execution_index: usize);
    /// Sends the final answer to the caller.
    fn answer(&mut self, caller: Self::Caller, answer: Answer);
    /// Starts a timer that calls `BalancerCore::timer_fired` with this label.
    fn set_timer(&mut self, delay_us: u64, label: u32);
    /// Sends a probe. The result is reported with `BalancerCore::probe_ended`.
    fn probe(&mut self, server: usize, process: ServerProcess);
}

/// Address of a server, and the number of its process. Each process in the endpoint list gets its own number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerProcess {
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// Number of the process; never reused.
    pub process: u64,
}

/// An execution to send.
pub struct Execution {
    /// Index of its query.
    pub query_index: usize,
    /// Its number among the query's executions, from 0.
    pub execution_index: usize,
    /// Index of the server.
    pub server: usize,
    /// The process to send the execution to.
    pub process: ServerProcess,
    /// Index of the query's product.
    pub product: usize,
    /// The query to send.
    pub query: Rc<ForwardedQuery>,
    /// Timeout of the execution, in microseconds.
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
    /// Load report of the server.
    pub report: LoadReport,
    /// The response of the server, if it completed the query.
    pub response: Option<ServerResponse>,
}

/// A balancer with its open queries. Times are microseconds of the host's clock.
pub struct BalancerCore<E: Effects> {
    balancer: Balancer<RequestTable<E>>,
}

impl<E: Effects> BalancerCore<E> {
    /// Creates a balancer without an endpoint list. The seed determines all random decisions.
    pub fn new(effects: E, deployment: &Deployment, seed: u64, now: u64) -> Self {
        let request_table = RequestTable::new(effects, deployment);
        BalancerCore {
            balancer: Balancer::new(request_table, deployment.balancer_settings.clone(), seed, now),
        }
    }

    /// Replaces the routes. Open queries keep theirs.
    pub fn set_routes(&mut self, routes: Vec<Vec<RoutePolicy>>) {
        self.balancer.set_routes(routes);
    }

    /// Applies an update of the endpoint list.
    pub fn apply_endpoint_update(&mut self, now: u64, update: &EndpointUpdate) {
        let entries = self.balancer.host.servers.apply(update);
        if update.is_complete {
            self.balancer.endpoints_replaced(now, &entries);
        } else {
            self.balancer.endpoints_changed(now, &entries);
        }
        self.release_gone_servers();
    }

    /// Drains the servers with these keys, as decided by the fleet: they get no new queries while they are in
    /// the set, whatever their state in the endpoint list.
    pub fn set_drained(&mut self, now: u64, keys: &BTreeSet<u64>) {
        let entries = self.balancer.host.servers.set_drained(keys);
        if !entries.is_empty() {
            self.balancer.endpoints_changed(now, &entries);
        }
    }

    /// The complete endpoint list, to be stored for a restart.
    pub fn endpoint_list(&self) -> Vec<ListedServer> {
        self.balancer.host.servers.endpoint_list()
    }

    /// The listed servers, with their state in the endpoint list.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.balancer.host.servers.endpoints().copied().collect()
    }

    /// Releases the indices of gone servers without queries or probes in flight.
    fn release_gone_servers(&mut self) {
        while let Some(server) = self.balancer.host.servers.release_gone() {
            self.balancer.endpoint_removed(server);
        }
    }

    /// Submits a query. Returns `None`, without effect, if an open query has the same trace id.
    pub fn submit_query(
        &mut self,
        now: u64,
        arrival: Arrival,
        query: ForwardedQuery,
        caller: E::Caller,
    ) -> Option<Ticket> {
        let ticket = self.balancer.host.insert(query, arrival.product, caller)?;
        self.balancer.query_arrived(now, ticket.query_index, arrival);
        // The query may be answered already.
        self.release(ticket.query_index);
        Some(ticket)
    }

    /// The client has disconnected and no longer waits for the answer.
    pub fn client_disconnected(&mut self, now: u64, ticket: Ticket) {
        if self.balancer.host.client_disconnected(ticket) {
            self.balancer.query_withdrawn(now, ticket.query_index);
            self.release(ticket.query_index);
        }
    }

    fn release(&mut self, query_index: usize) {
        self.balancer.host.release(query_index);
        self.release_gone_servers();
    }

    /// An execution has ended.
    pub fn execution_ended(&mut self, now: u64, ended_execution: EndedExecution) {
        let EndedExecution { query_index, execution_index, outcome, elapsed_us, report, response } =
            ended_execution;
        let query_answered = self.balancer.host.execution_ended(query_index, outcome, response);
        self.balancer.execution_ended(
            now,
            query_index,
            execution_index,
            ExecutionEnd { outcome, query_answered, elapsed_us, report },
        );
        self.release(query_index);
    }

    /// The program shuts down at time `until`.
    pub fn begin_shutdown(&mut self, now: u64, until: u64) {
        self.balancer.begin_shutdown(now, until);
    }

    /// A probe has ended; `answered` tells whether the server replied.
    pub fn probe_ended(&mut self, now: u64, server: usize, answered: bool, report: LoadReport) {
        self.balancer.probe_ended(now, server, answered, report);
        self.balancer.host.servers.release(server);
        self.release_gone_servers();
    }

    /// A timer started by [`Effects::set_timer`] has fired.
    pub fn timer_fired(&mut self, now: u64, label: u32) {
        self.balancer.timer_fired(now, label);
    }

    /// Whether an execution may still be sent. Checked right before its first byte, because while the
    /// connection was established the query may have been answered, the server removed, or the deduplication
    /// window closed.
    pub fn may_send(&mut self, now: u64, query_index: usize, execution_index: usize, server: usize) -> bool {
        self.balancer.host.is_open(query_index)
            && self.is_ready(server)
            && self.balancer.may_send(now, query_index, execution_index)
    }

    /// Whether the server is ready in the current endpoint list.
    pub fn is_ready(&self, server: usize) -> bool {
        self.balancer.host.servers.is_ready(server)
    }

    /// Whether a complete endpoint list was received.
    pub fn has_list(&self) -> bool {
        self.balancer.host.servers.has_list()
    }

    /// Query counts since the start.
    pub fn query_counts(&self) -> QueryCounts {
        self.balancer.host.tally
    }
}

/// Numbers of queries by outcome since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueryCounts {
    /// Queries that were accepted.
    pub accepted: u64,
    /// Queries answered by a server.
    pub completed: u64,
    /// Rejected queries.
    pub rejected: u64,
    /// Aborted queries.
    pub aborted: u64,
    /// Queries whose client disconnected before the answer.
    pub abandoned: u64,
    /// Executions of all queries.
    pub executions: u64,
}
