//! The instances of a process: events of the wire become calls on the decisions, and what these decide goes
//! out at once. Ids are mapped to small indices here and nowhere else.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use whinspindle::balancer::Balancer;
use whinspindle::host::{Arrival, Endpoint, EndpointState, ExecutionEnd, Host, LoadReport, Outcome};
use whinspindle_deployment_settings as terms;

use crate::wire::Reader;

const ENTRY_SIZE: usize = 25;

struct Listed {
    upstream: [u8; 6],
    entry: Endpoint,
}

/// A query between its arrival and the outcome of its last execution.
struct Open {
    txn: u32,
    executions_out: usize,
    ended: bool,
}

/// The host of one instance: its ids, and the way out to the reply.
pub struct Link {
    reply: Rc<RefCell<Vec<u8>>>,
    balancer: u16,
    columns: Vec<String>,
    upstreams: Vec<[u8; 6]>,
    server_of: HashMap<[u8; 6], usize>,
    open: Vec<Open>,
    free: Vec<usize>,
    qry_of: HashMap<u32, usize>,
}

impl Link {
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

    fn server(&mut self, upstream: [u8; 6]) -> usize {
        let next = self.upstreams.len();
        let server = *self.server_of.entry(upstream).or_insert(next);
        if server == next {
            self.upstreams.push(upstream);
        }
        server
    }

    fn take(&mut self, txn: u32) -> usize {
        let open = Open { txn, executions_out: 0, ended: false };
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
        self.qry_of.insert(txn, query);
        query
    }

    fn release(&mut self, query: usize) {
        if self.open[query].ended
            && self.open[query].executions_out == 0
            && self.qry_of.remove(&self.open[query].txn).is_some()
        {
            self.free.push(query);
        }
    }

    fn finish(&mut self, query: usize, code: u8, fields: &[u8]) {
        self.record(code, &[&self.open[query].txn.to_le_bytes(), fields]);
        self.open[query].ended = true;
        self.release(query);
    }

    fn report(&self, fields: &mut Reader) -> Result<LoadReport, String> {
        let count = fields.u8("telemetry")?;
        let mut report = LoadReport::default();
        for place in 0..usize::from(count) {
            let value = f64::from(fields.f32("telemetry")?);
            let value = (value.is_finite() && value >= 0.0).then_some(value);
            match self.columns.get(place).map(String::as_str) {
                Some("utilization") => report.utilization = value,
                Some("throughput") => report.throughput = value,
                Some("outstanding") => report.held = value,
                Some("backlog") => report.held = report.held.or(value),
                _ => {}
            }
        }
        Ok(report)
    }
}

impl Host for Link {
    fn execute(&mut self, query: usize, server: usize, time_out: u64) {
        let open = &mut self.open[query];
        open.executions_out += 1;
        let txn = open.txn.to_le_bytes();
        self.record(16, &[&txn, &self.upstreams[server], &(time_out.saturating_mul(1000)).to_le_bytes()]);
    }

    fn cancel(&mut self, query: usize, exec: usize) {
        self.record(25, &[&self.open[query].txn.to_le_bytes(), &[exec as u8]]);
    }

    fn reject(&mut self, query: usize, retry_after: u64) {
        self.finish(query, 22, &(retry_after * 1000).to_le_bytes());
    }

    fn abort(&mut self, query: usize) {
        self.finish(query, 19, &[]);
    }

    fn wake(&mut self, wait: u64, label: u32) {
        self.record(18, &[&(wait * 1000).to_le_bytes(), &label.to_le_bytes()]);
    }

    fn probe(&mut self, server: usize) {
        self.record(24, &[&self.upstreams[server]]);
    }

    fn follow_endpoints(&mut self) {
        self.record(23, &[&[1]]);
    }
}

/// All instances that this process hosts; they share nothing but the way out.
#[derive(Default)]
pub struct Fleet {
    reply: Rc<RefCell<Vec<u8>>>,
    banks: BTreeMap<u16, Vec<Listed>>,
    instances: BTreeMap<u16, Balancer<Link>>,
}

impl Fleet {
    /// Plays the records of one batch and returns the reply's records.
    pub fn batch(&mut self, now: u64, body: &[u8]) -> Result<Vec<u8>, String> {
        let mut batch = Reader::new("batch", body);
        let count = batch.u32("count of records")?;
        for _ in 0..count {
            let code = batch.u8("code")?;
            let size = batch.u32("size")? as usize;
            let fields = batch.bytes("fields of a record", size)?;
            self.event(now, code, fields)?;
        }
        batch.done()?;
        Ok(std::mem::take(&mut *self.reply.borrow_mut()))
    }

    fn event(&mut self, now: u64, code: u8, bytes: &[u8]) -> Result<(), String> {
        let name = match code {
            16 => "attach",
            17 => "endpoints",
            18 => "query",
            19 => "under_way",
            20 => "completed",
            21 => "withdrawn",
            22 => "fired",
            23 => "probe_result",
            24 => "heard",
            25 => "crash_now",
            26 => "list",
            _ => return Err(format!("record of unknown code {code}")),
        };
        let mut fields = Reader::new(name, bytes);
        if code == 26 {
            return self.list(fields);
        }
        let balancer = fields.u16("balancer")?;
        if code == 16 {
            return self.attach(now, balancer, fields);
        }
        let Some(instance) = self.instances.get_mut(&balancer) else {
            return Err(format!("{name}: balancer {balancer} was never attached"));
        };
        match code {
            17 => {
                let form = fields.u8("form")?;
                fields.u32("epoch")?;
                let bank = fields.u16("bank")?;
                if form == 1 {
                    instance.endpoint_watch_failed(now);
                    return fields.done();
                }
                let listed = self.banks.get(&bank).ok_or_else(|| format!("endpoints: no list {bank}"))?;
                let entries: Vec<Endpoint> = listed
                    .iter()
                    .map(|l| Endpoint { server: instance.host.server(l.upstream), ..l.entry })
                    .collect();
                match form {
                    3 => instance.endpoints_changed(now, &entries),
                    0 | 4 => instance.endpoints_replaced(now, &entries),
                    other => return Err(format!("endpoints: unknown form {other}")),
                }
            }
            18 => {
                let txn = fields.u32("txn")?;
                let product = usize::from(fields.u8("type")?);
                fields.u8("marks")?;
                let tenant = usize::from(fields.u16("org")?);
                fields.u64("hintNs")?;
                fields.u64("object")?;
                let deadline = fields.u64("deadlineNs")? / 1000;
                let query = instance.host.take(txn);
                instance.query(now, query, Arrival { product, tenant, deadline, route: None });
            }
            19 => {
                let txn = fields.u32("txn")?;
                let shot = usize::from(fields.u8("shot")?);
                fields.bytes("spentNs and upstream", 14)?;
                if let Some(&query) = instance.host.qry_of.get(&txn) {
                    instance.started(now, query, shot);
                }
            }
            20 => {
                let txn = fields.u32("txn")?;
                let spent = fields.u64("spentNs")? / 1000;
                fields.upstream()?;
                let shot = usize::from(fields.u8("shot")?);
                let outcome = outcome(fields.u8("stateCode")?)?;
                let over = fields.u8("noMore")? != 0;
                let report = instance.host.report(&mut fields)?;
                if let Some(&query) = instance.host.qry_of.get(&txn) {
                    let open = &mut instance.host.open[query];
                    open.executions_out = open.executions_out.saturating_sub(1);
                    open.ended |= over;
                    instance.completed(now, query, shot, ExecutionEnd { outcome, over, spent, report });
                    instance.host.release(query);
                }
            }
            21 => {
                let txn = fields.u32("txn")?;
                if let Some(&query) = instance.host.qry_of.get(&txn) {
                    instance.host.open[query].ended = true;
                    instance.withdrawn(now, query);
                    instance.host.release(query);
                }
            }
            22 => {
                let label = fields.u32("label")?;
                instance.timer(now, label);
            }
            23 => {
                let answered = fields.u8("stateCode")? == 0;
                let upstream = fields.upstream()?;
                fields.u64("spentNs")?;
                let report = instance.host.report(&mut fields)?;
                let server = instance.host.server(upstream);
                instance.probed(now, server, answered, report);
            }
            24 => {
                fields.u32("by")?;
                let size = usize::from(fields.u16("contents")?);
                fields.bytes("contents", size)?;
            }
            _ => {
                self.instances.remove(&balancer);
            }
        }
        fields.done()
    }

    fn attach(&mut self, now: u64, balancer: u16, mut fields: Reader) -> Result<(), String> {
        let seed = fields.u64("initSeed")?;
        let size = fields.u32("options")? as usize;
        let deployment = terms::parse(fields.bytes("options", size)?)
            .map_err(|fault| format!("attach: options: {fault}"))?;
        let host = Link {
            reply: Rc::clone(&self.reply),
            balancer,
            columns: deployment.columns,
            upstreams: Vec::new(),
            server_of: HashMap::new(),
            open: Vec::new(),
            free: Vec::new(),
            qry_of: HashMap::new(),
        };
        self.instances.insert(balancer, Balancer::new(host, deployment.terms, seed, now));
        fields.done()
    }

    fn list(&mut self, mut fields: Reader) -> Result<(), String> {
        let bank = fields.u16("bank")?;
        let count = fields.u32("elements")? as usize;
        let mut listed = Vec::with_capacity(count.min(1 << 16));
        for _ in 0..count {
            let mut entry = Reader::new("list", fields.bytes("elements", ENTRY_SIZE)?);
            let upstream = entry.upstream()?;
            let zone = usize::from(entry.u16("hall")?);
            let kind = usize::from(entry.u16("sku")?);
            let cell = usize::from(entry.u16("group")?);
            let state = match entry.u8("availability")? {
                0 => EndpointState::Gone,
                1 => EndpointState::Ready,
                2 => EndpointState::Draining,
                other => return Err(format!("list: unknown availability {other}")),
            };
            let size = f64::from(entry.f32("size")?);
            let started_at = entry.u64("bornNs")? / 1000;
            let size = if size.is_finite() && size > 0.0 { size } else { 1.0 };
            listed.push(Listed {
                upstream,
                entry: Endpoint {
                    server: 0,
                    key: terms::key(&upstream),
                    zone,
                    cell,
                    kind,
                    state,
                    size,
                    started_at,
                },
            });
        }
        self.banks.insert(bank, listed);
        fields.done()
    }
}

fn outcome(code: u8) -> Result<Outcome, String> {
    Ok(match code {
        0 => Outcome::Completed,
        1 => Outcome::Cancelled,
        4 => Outcome::TimedOut,
        8 => Outcome::Rejected,
        9 => Outcome::NeverSent,
        10 => Outcome::Broken,
        13 => Outcome::Error,
        14 => Outcome::NotConnected,
        other => return Err(format!("completed: unknown stateCode {other}")),
    })
}
