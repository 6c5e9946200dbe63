//! The host of a balancer instance: converts decisions to reply records, and ids on the wire to indices.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use whinspindle::host::{Host, LoadReport};

use crate::error::AdapterError;
use crate::wire::{Reader, reply_code};

/// Nanoseconds (wire) per microsecond (balancer).
pub const NANOS_PER_MICRO: u64 = 1000;

/// Address and port of an upstream as on the wire.
pub type UpstreamId = [u8; 6];

/// A query from its arrival until its last execution has ended.
pub struct OpenQuery {
    /// Id of the query on the wire.
    pub txn: u32,
    /// Number of executions that have not ended.
    pub executions_in_flight: usize,
    /// Whether the query has its final answer.
    pub is_answered: bool,
}

/// The host of one instance.
pub struct InstanceHost {
    /// Records of the reply to the current batch, shared by all instances.
    reply: Rc<RefCell<Vec<u8>>>,
    /// Id of the instance on the wire.
    balancer: u16,
    /// Names of the columns of load reports.
    columns: Vec<String>,
    /// Ids of the upstreams by server index.
    upstreams: Vec<UpstreamId>,
    server_indices: HashMap<UpstreamId, usize>,
    /// Queries by index; the indices in `free_indices` are unused.
    queries: Vec<OpenQuery>,
    free_indices: Vec<usize>,
    query_indices: HashMap<u32, usize>,
}

impl InstanceHost {
    /// Creates a host for the instance `balancer`.
    pub fn new(reply: Rc<RefCell<Vec<u8>>>, balancer: u16, columns: Vec<String>) -> Self {
        InstanceHost {
            reply,
            balancer,
            columns,
            upstreams: Vec::new(),
            server_indices: HashMap::new(),
            queries: Vec::new(),
            free_indices: Vec::new(),
            query_indices: HashMap::new(),
        }
    }

    /// The index of an open query by its id on the wire.
    pub fn query(&self, txn: u32) -> Option<usize> {
        self.query_indices.get(&txn).copied()
    }

    /// An open query by its index.
    pub fn open_query(&mut self, query: usize) -> &mut OpenQuery {
        &mut self.queries[query]
    }

    /// Appends a record to the reply.
    fn append_record(&self, code: u8, parts: &[&[u8]]) {
        let mut reply = self.reply.borrow_mut();
        let size: usize = 2 + parts.iter().map(|p| p.len()).sum::<usize>();
        reply.push(code);
        reply.extend_from_slice(&(size as u32).to_le_bytes());
        reply.extend_from_slice(&self.balancer.to_le_bytes());
        for part in parts {
            reply.extend_from_slice(part);
        }
    }

    /// The index of an upstream, which is assigned at its first use.
    pub fn server(&mut self, upstream: UpstreamId) -> usize {
        let next = self.upstreams.len();
        let server = *self.server_indices.entry(upstream).or_insert(next);
        if server == next {
            self.upstreams.push(upstream);
        }
        server
    }

    /// Assigns an index to a query that has arrived.
    pub fn insert_query(&mut self, txn: u32) -> usize {
        let open = OpenQuery { txn, executions_in_flight: 0, is_answered: false };
        let query = match self.free_indices.pop() {
            Some(query) => {
                self.queries[query] = open;
                query
            }
            None => {
                self.queries.push(open);
                self.queries.len() - 1
            }
        };
        self.query_indices.insert(txn, query);
        query
    }

    /// Frees the index of a query that is answered and has no execution in flight.
    pub fn release(&mut self, query: usize) {
        if self.queries[query].is_answered
            && self.queries[query].executions_in_flight == 0
            && self.query_indices.remove(&self.queries[query].txn).is_some()
        {
            self.free_indices.push(query);
        }
    }

    /// Answers a query with a record of the given code.
    fn finish(&mut self, query: usize, code: u8, fields: &[u8]) {
        self.append_record(code, &[&self.queries[query].txn.to_le_bytes(), fields]);
        self.queries[query].is_answered = true;
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
    fn execute(&mut self, query: usize, server: usize, timeout_us: u64) {
        let open = &mut self.queries[query];
        open.executions_in_flight += 1;
        let txn = open.txn.to_le_bytes();
        self.append_record(
            reply_code::EXECUTE,
            &[&txn, &self.upstreams[server], &(timeout_us.saturating_mul(NANOS_PER_MICRO)).to_le_bytes()],
        );
    }

    fn cancel(&mut self, query: usize, execution: usize) {
        self.append_record(reply_code::CANCEL, &[&self.queries[query].txn.to_le_bytes(), &[execution as u8]]);
    }

    fn reject(&mut self, query: usize, retry_after_us: u64) {
        self.finish(query, reply_code::REJECT, &(retry_after_us * NANOS_PER_MICRO).to_le_bytes());
    }

    fn abort(&mut self, query: usize) {
        self.finish(query, reply_code::ABORT, &[]);
    }

    fn set_timer(&mut self, delay_us: u64, label: u32) {
        self.append_record(
            reply_code::WAKE,
            &[&(delay_us * NANOS_PER_MICRO).to_le_bytes(), &label.to_le_bytes()],
        );
    }

    fn probe(&mut self, server: usize) {
        self.append_record(reply_code::PROBE, &[&self.upstreams[server]]);
    }

    fn watch_endpoints(&mut self) {
        self.append_record(reply_code::FOLLOW_ENDPOINTS, &[&[1]]);
    }
}
