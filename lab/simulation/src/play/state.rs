//! What there is in a run: what clients want, queries, executions, balancers, machines and tiers.

use std::collections::HashMap;

use slotmap::new_key_type;
use whinspindle::host::LoadReport;
use whinspindle_lab_model::arrivals::Arrival;
use whinspindle_lab_model::machine::{Machine, Report};
use whinspindle_lab_model::registry::Registry;

use super::event::Event;
use crate::decider::{Decider, Sight};

new_key_type! {
    pub struct WantKey;
    pub struct QueryKey;
    pub struct ExecKey;
}

/// What a client wants, over all its tries.
pub(super) struct Want {
    pub(super) wanted: Arrival,
    pub(super) tries_left: usize,
}

/// Who waits for the answer of a query.
pub(super) enum Origin {
    Client(WantKey),
    /// A query that a server made for an execution of the tier before.
    Server(ExecKey),
}

/// A query, from when it was made until its answer has arrived.
pub(super) struct Query {
    pub(super) id: u64,
    pub(super) origin: Origin,
    pub(super) node: usize,
    pub(super) incarnation: u32,
    /// Index at its balancer, once it is there.
    pub(super) query_index: Option<usize>,
    pub(super) product: usize,
    pub(super) tenant: usize,
    pub(super) came: u64,
    pub(super) deadline: u64,
    pub(super) work: f64,
    pub(super) mark: u64,
    pub(super) answered: bool,
    pub(super) execs: Vec<ExecKey>,
    pub(super) out: usize,
}

/// An execution of a query at a server.
pub(super) struct Exec {
    pub(super) query: QueryKey,
    pub(super) number: usize,
    /// The process it was sent to, and the machine.
    pub(super) server: usize,
    pub(super) place: usize,
    pub(super) tier: usize,
    pub(super) sent: u64,
    pub(super) fresh: bool,
    pub(super) coming: bool,
    /// The whole of it has reached the server.
    pub(super) arrived: bool,
    pub(super) ended: bool,
    pub(super) work: f64,
}

/// A balancer.
pub(crate) struct Node {
    pub tier: usize,
    pub zone: usize,
    pub up: bool,
    pub incarnation: u32,
    /// Stopped by a signal; what comes waits.
    pub stopped: bool,
    pub(super) waiting: Vec<Event>,
    /// Whether clients' front deals it new connections.
    pub dealt: bool,
    pub(super) decider: Option<Decider>,
    pub(super) qrys: Vec<Option<QueryKey>>,
    pub(super) free: Vec<usize>,
    /// Idle connections by process: when each was last used.
    pub(super) kept: HashMap<usize, Vec<u64>>,
    pub(super) generation: u64,
}

/// A machine and the process on it.
pub(crate) struct Host {
    pub machine: Machine,
    pub zone: usize,
    pub kind: usize,
    pub cell: usize,
    /// Number of the process.
    pub server: usize,
    /// Executions on their way to it.
    pub(super) coming: usize,
    pub(super) due: u64,
    /// The balancer for the calls of this server, where there is a next tier.
    pub node: Option<usize>,
}

impl Host {
    pub fn new(machine: Machine, zone: usize, kind: usize, cell: usize, server: usize) -> Self {
        Host { machine, zone, kind, cell, server, coming: 0, due: u64::MAX, node: None }
    }
}

/// The servers of a tier, and the list of them that discovery tells.
pub(crate) struct TierState {
    pub registry: Registry,
    pub hosts: Vec<Host>,
    /// The machine of each process.
    pub place_of: Vec<usize>,
}

/// What a policy that sees the true state sees of one tier, at this moment.
pub(super) struct Eyes<'a>(pub(super) &'a TierState, pub(super) u64);

impl Sight for Eyes<'_> {
    fn burden(&self, server: usize) -> Option<f64> {
        let place = *self.0.place_of.get(server)?;
        let host = &self.0.hosts[place];
        let strength = host.machine.capacity(self.1);
        let well = strength > 0.0 && host.machine.failure_rate == 0.0;
        let alive = host.server == server && well && !host.machine.is_full(host.coming);
        alive.then(|| (host.machine.open_jobs() + host.coming + 1) as f64 / strength)
    }
}

/// The load that a report tells.
pub(super) fn load(report: Option<Report>) -> LoadReport {
    report.map_or(LoadReport::default(), |report| LoadReport {
        utilization: report.utilization,
        throughput: report.throughput,
        queries_at_server: Some((report.inflight + report.queue) as f64),
    })
}
