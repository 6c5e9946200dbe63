//! The host of one balancer instance: turns its decisions into records of the reply, and maps the ids of the wire to
//! small indices.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use whinspindle::host::{Host, LoadReport};

use crate::error::AdapterError;
use crate::wire::{Reader, reply_code};

/// Nanoseconds of the wire in a microsecond of the decisions.
pub const NANOS_PER_MICRO: u64 = 1000;

/// Address and port of an upstream as on the wire.
pub type UpstreamId = [u8; 6];

/// A query from its arrival until its last execution has ended.
pub struct OpenQuery {
    /// Id of the query on the wire.
    pub txn: u32,
    /// Number of executions that have not ended.
    pub executions_in_flight: usize,
    /// Whether the query has its answer.
    pub ended: bool,
}

/// The host of one instance.
pub struct InstanceHost {
    /// Records of the reply to the present batch, shared by all instances.
    reply: Rc<RefCell<Vec<u8>>>,
    /// Id of the instance on the wire.
    balancer: u16,
    /// Names of the columns of load reports.
    columns: Vec<String>,
    /// Ids of the upstreams by server index.
    upstreams: Vec<UpstreamId>,
    server_of: HashMap<UpstreamId, usize>,
    /// Queries by index; the indices in `free` are unused.
    open: Vec<OpenQuery>,
    free: Vec<usize>,
    query_of: HashMap<u32, usize>,
}

impl InstanceHost {
    /// A host without queries and servers, for the instance `balancer`.
    pub fn new(reply: Rc<RefCell<Vec<u8>>>, balancer: u16, columns: Vec<String>) -> Self {
        InstanceHost {
            reply,
            balancer,
            columns,
            upstreams: Vec::new(),
            server_of: HashMap::new(),
            open: Vec::new(),
            free: Vec::new(),
            query_of: HashMap::new(),
        }
    }

    /// The index of an open query by its id on the wire.
    pub fn query(&self, txn: u32) -> Option<usize> {
        self.query_of.get(&txn).copied()
    }

    /// An open query by its index.
    pub fn open_query(&mut self, query: usize) -> &mut OpenQuery {
        &mut self.open[query]
    }

    /// Appends a record to the reply.
    fn record(&self, code: u8, parts: &[&[u8]]) {
        let mut reply = self.reply.borrow_mut();
        let size: usize = 2 + parts.iter().map(|p| p.len()).sum::<usize>();
        reply.push(code);
        reply.extend_from_slice(&(size as u32).to_le_bytes());
        reply.extend_from_slice(&self.balancer.to_le_bytes());
        for part in parts {
            reply.extend_from_slice(part);
        }
    }

    /// The index of an upstream; a new one is assigned at its first use.
    pub fn server(&mut self, upstream: UpstreamId) -> usize {
        let next = self.upstreams.len();
        let server = *self.server_of.entry(upstream).or_insert(next);
        if server == next {
            self.upstreams.push(upstream);
        }
        server
    }

    /// Assigns an index to a query that has arrived.
    pub fn take(&mut self, txn: u32) -> usize {
        let open = OpenQuery { txn, executions_in_flight: 0, ended: false };
        let query = match self.free.pop() {
            Some(query) => {
                self.open[query] = open;
                query
            }
            None => {
                self.open.push(open);
                self.open.len() - 1
            }
        };
        self.query_of.insert(txn, query);
        query
    }

    /// Frees the index of a query that has its answer and no execution in flight.
    pub fn release(&mut self, query: usize) {
        if self.open[query].ended
            && self.open[query].executions_in_flight == 0
            && self.query_of.remove(&self.open[query].txn).is_some()
        {
            self.free.push(query);
        }
    }

    /// Answers a query with a record of the given code.
    fn finish(&mut self, query: usize, code: u8, fields: &[u8]) {
        self.record(code, &[&self.open[query].txn.to_le_bytes(), fields]);
        self.open[query].ended = true;
        self.release(query);
    }

    /// Reads a load report.
    pub fn report(&self, fields: &mut Reader) -> Result<LoadReport, AdapterError> {
        let count = fields.u8("telemetry")?;
        let mut report = LoadReport::default();
        for column in 0..usize::from(count) {
            let value = f64::from(fields.f32("telemetry")?);
            let value = (value.is_finite() && value >= 0.0).then_some(value);
            match self.columns.get(column).map(String::as_str) {
                Some("utilization") => report.utilization = value,
                Some("throughput") => report.throughput = value,
                Some("outstanding") => report.queries_at_server = value,
                Some("backlog") => report.queries_at_server = report.queries_at_server.or(value),
                _ => {}
            }
        }
        Ok(report)
    }
}

impl Host for InstanceHost {
    fn execute(&mut self, query: usize, server: usize, time_out: u64) {
        let open = &mut self.open[query];
        open.executions_in_flight += 1;
        let txn = open.txn.to_le_bytes();
        self.record(
            reply_code::EXECUTE,
            &[&txn, &self.upstreams[server], &(time_out.saturating_mul(NANOS_PER_MICRO)).to_le_bytes()],
        );
    }

    fn cancel(&mut self, query: usize, exec: usize) {
        self.record(reply_code::CANCEL, &[&self.open[query].txn.to_le_bytes(), &[exec as u8]]);
    }

    fn reject(&mut self, query: usize, retry_after: u64) {
        self.finish(query, reply_code::REJECT, &(retry_after * NANOS_PER_MICRO).to_le_bytes());
    }

    fn abort(&mut self, query: usize) {
        self.finish(query, reply_code::ABORT, &[]);
    }

    fn set_timer(&mut self, wait: u64, label: u32) {
        self.record(reply_code::WAKE, &[&(wait * NANOS_PER_MICRO).to_le_bytes(), &label.to_le_bytes()]);
    }

    fn probe(&mut self, server: usize) {
        self.record(reply_code::PROBE, &[&self.upstreams[server]]);
    }

    fn watch_endpoints(&mut self) {
        self.record(reply_code::FOLLOW_ENDPOINTS, &[&[1]]);
    }
}
