//! A host that writes down what it is told, and terms to start from.

use whinspindle::decide::Balancer;
use whinspindle::host::*;

pub const MS: u64 = 1_000;
pub const NOON: u64 = 1_000_000_000;

#[derive(Default)]
pub struct Notes {
    pub said: Vec<String>,
    pub wakes: Vec<(u64, u32)>,
}

impl Host for Notes {
    fn execute(&mut self, qry: usize, server: usize, _time_out: u64) {
        self.said.push(format!("execute {qry} on {server}"));
    }
    fn cancel(&mut self, qry: usize, exec: usize) {
        self.said.push(format!("cancel {qry}.{exec}"));
    }
    fn reject(&mut self, qry: usize, _retry_after: u64) {
        self.said.push(format!("reject {qry}"));
    }
    fn abort(&mut self, qry: usize) {
        self.said.push(format!("abort {qry}"));
    }
    fn wake(&mut self, wait: u64, label: u32) {
        self.wakes.push((wait, label));
    }
    fn probe(&mut self, server: usize) {
        self.said.push(format!("probe {server}"));
    }
    fn follow_list(&mut self) {
        self.said.push("follow".into());
    }
}

pub fn terms(effect: Effect) -> Terms {
    Terms {
        balancers: 2,
        rank: 0,
        streams: 1,
        load_by_probe: false,
        tier: 0,
        home: 0,
        cross_zone: 0.0,
        products: vec![Product {
            effect,
            slo_time: 1000 * MS,
            memory_span: 5000 * MS,
            tardy_importance: 0.5,
        }],
        tenant_quotas: vec![],
        most_executions: 3,
        second_copies: false,
        cancel: true,
        probes_pay: false,
        probe_dear: false,
        most_retry_after: 500 * MS,
        tick: 5 * MS,
        must_ask_in: None,
        cold_from: 0.2,
        cold_time: 10_000 * MS,
        fall_multiple: 3.0,
        tip_after: 2000 * MS,
    }
}

pub fn entry(server: usize, zone: usize) -> Entry {
    Entry {
        server,
        key: server as u64,
        zone,
        cell: zone,
        kind: 0,
        standing: Standing::Ready,
        size: 1.0,
        born: 0,
    }
}

pub fn start(terms: Terms, entries: &[Entry]) -> Balancer<Notes> {
    let mut balancer = Balancer::new(Notes::default(), terms, 7, NOON);
    balancer.list_whole(NOON, entries);
    balancer
}

pub fn ending(outcome: Outcome, spent: u64) -> Ending {
    Ending { outcome, over: outcome == Outcome::Completed, spent, report: LoadReport::default() }
}

/// Hands over a query with three seconds to its deadline and returns what was said of it.
pub fn ask(balancer: &mut Balancer<Notes>, now: u64, qry: usize) -> Vec<String> {
    balancer.query(now, qry, Arrival { product: 0, tenant: 0, deadline: now + 3000 * MS, route: None });
    std::mem::take(&mut balancer.host.said)
}

/// The server that the query was sent to, if it was.
pub fn sent_to(said: &[String]) -> Option<usize> {
    said.iter().find_map(|line| line.split_once(" on ")?.1.parse().ok())
}

/// Ends the query's execution and returns what was said.
pub fn end(balancer: &mut Balancer<Notes>, now: u64, qry: usize, exec: usize, ending: Ending) -> Vec<String> {
    balancer.completed(now, qry, exec, ending);
    std::mem::take(&mut balancer.host.said)
}
