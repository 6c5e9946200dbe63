//! A host that writes down what it is told, and terms to start from.

use whinspindle::balancer::Balancer;
use whinspindle::host::*;

pub const MS: u64 = 1_000;
pub const NOON: u64 = 1_000_000_000;

#[derive(Default)]
pub struct Notes {
    pub said: Vec<String>,
    pub wakes: Vec<(u64, u32)>,
}

impl Host for Notes {
    fn execute(&mut self, query: usize, server: usize, _time_out: u64) {
        self.said.push(format!("execute {query} on {server}"));
    }
    fn cancel(&mut self, query: usize, exec: usize) {
        self.said.push(format!("cancel {query}.{exec}"));
    }
    fn reject(&mut self, query: usize, _retry_after: u64) {
        self.said.push(format!("reject {query}"));
    }
    fn abort(&mut self, query: usize) {
        self.said.push(format!("abort {query}"));
    }
    fn set_timer(&mut self, wait: u64, label: u32) {
        self.wakes.push((wait, label));
    }
    fn probe(&mut self, server: usize) {
        self.said.push(format!("probe {server}"));
    }
    fn watch_endpoints(&mut self) {
        self.said.push("follow".into());
    }
}

pub fn terms(effect: Effect) -> BalancerSettings {
    BalancerSettings {
        balancers: 2,
        rank: 0,
        streams_per_connection: 1,
        load_only_from_probes: false,
        tier: 0,
        home_zone: 0,
        cross_zone_cost: 0.0,
        products: vec![Product {
            effect,
            slo_time_us: 1000 * MS,
            dedup_window_us: 5000 * MS,
            late_answer_value: 0.5,
        }],
        tenant_quotas: vec![],
        max_executions: 3,
        allow_hedging: false,
        allow_cancel: true,
        allow_probes: false,
        single_probe: false,
        max_retry_after_us: 500 * MS,
        clock_resolution_us: 5 * MS,
        watch_reopen_limit_us: None,
        slow_start_initial_fraction: 0.2,
        slow_start_duration_us: 10_000 * MS,
        slow_start_overload_factor: 3.0,
        slow_start_window_us: 2000 * MS,
    }
}

pub fn entry(server: usize, zone: usize) -> Endpoint {
    Endpoint {
        server,
        key: server as u64,
        zone,
        cell: zone,
        kind: 0,
        state: EndpointState::Ready,
        relative_capacity: 1.0,
        started_at: 0,
    }
}

pub fn start(terms: BalancerSettings, entries: &[Endpoint]) -> Balancer<Notes> {
    let mut balancer = Balancer::new(Notes::default(), terms, 7, NOON);
    balancer.endpoints_replaced(NOON, entries);
    balancer
}

pub fn ending(outcome: Outcome, spent: u64) -> ExecutionEnd {
    ExecutionEnd {
        outcome,
        query_answered: outcome == Outcome::Completed,
        elapsed_us: spent,
        report: LoadReport::default(),
    }
}

/// Hands over a query with three seconds to its deadline and returns what was said of it.
pub fn ask(balancer: &mut Balancer<Notes>, now: u64, query: usize) -> Vec<String> {
    balancer.query_arrived(
        now,
        query,
        Arrival { product: 0, tenant: 0, deadline: now + 3000 * MS, route: None },
    );
    std::mem::take(&mut balancer.host.said)
}

/// The server that the query was sent to, if it was.
pub fn sent_to(said: &[String]) -> Option<usize> {
    said.iter().find_map(|line| line.split_once(" on ")?.1.parse().ok())
}

/// Ends the query's execution and returns what was said.
pub fn end(
    balancer: &mut Balancer<Notes>,
    now: u64,
    query: usize,
    exec: usize,
    ending: ExecutionEnd,
) -> Vec<String> {
    balancer.execution_ended(now, query, exec, ending);
    std::mem::take(&mut balancer.host.said)
}
