//! A host that records its calls, and default settings and inputs.

use whinspindle::balancer::Balancer;
use whinspindle::host::*;

pub const MS: u64 = 1_000;
pub const START: u64 = 1_000_000_000;

#[derive(Default)]
pub struct RecordingHost {
    pub calls: Vec<String>,
    /// Delay and label of each timer.
    pub timers: Vec<(u64, u32)>,
}

impl Host for RecordingHost {
    fn execute(&mut self, query: usize, server: usize, _timeout_us: u64) {
        self.calls.push(format!("execute {query} on {server}"));
    }
    fn cancel(&mut self, query: usize, execution: usize) {
        self.calls.push(format!("cancel {query}.{execution}"));
    }
    fn reject(&mut self, query: usize, _retry_after_us: u64) {
        self.calls.push(format!("reject {query}"));
    }
    fn abort(&mut self, query: usize) {
        self.calls.push(format!("abort {query}"));
    }
    fn set_timer(&mut self, delay_us: u64, label: u32) {
        self.timers.push((delay_us, label));
    }
    fn probe(&mut self, server: usize) {
        self.calls.push(format!("probe {server}"));
    }
    fn watch_endpoints(&mut self) {
        self.calls.push("watch endpoints".into());
    }
}

pub fn settings(effect: Effect) -> BalancerSettings {
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

pub fn endpoint(server: usize, zone: usize) -> Endpoint {
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

pub fn start_balancer(settings: BalancerSettings, entries: &[Endpoint]) -> Balancer<RecordingHost> {
    let mut balancer = Balancer::new(RecordingHost::default(), settings, 7, START);
    balancer.endpoints_replaced(START, entries);
    balancer
}

pub fn execution_end(outcome: Outcome, elapsed_us: u64) -> ExecutionEnd {
    ExecutionEnd {
        outcome,
        query_answered: outcome == Outcome::Completed,
        elapsed_us,
        report: LoadReport::default(),
    }
}

/// Submits a query whose deadline is in three seconds and returns the host calls.
pub fn submit(balancer: &mut Balancer<RecordingHost>, now: u64, query: usize) -> Vec<String> {
    balancer.query_arrived(
        now,
        query,
        Arrival { product: 0, tenant: 0, deadline: now + 3000 * MS, route: None },
    );
    std::mem::take(&mut balancer.host.calls)
}

/// The server of the first execution in `calls`.
pub fn sent_server(calls: &[String]) -> Option<usize> {
    calls.iter().find_map(|line| line.split_once(" on ")?.1.parse().ok())
}

/// Ends an execution of a query and returns the host calls.
pub fn end_execution(
    balancer: &mut Balancer<RecordingHost>,
    now: u64,
    query: usize,
    execution: usize,
    end: ExecutionEnd,
) -> Vec<String> {
    balancer.execution_ended(now, query, execution, end);
    std::mem::take(&mut balancer.host.calls)
}
