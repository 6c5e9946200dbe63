//! Measurements: load reports, latencies and rates.

use std::collections::VecDeque;

use super::state::ZONE_SAMPLES;
use super::{Balancer, CHECK_PERIOD_US};
use crate::host::{Host, LoadReport};
use crate::samples::{event_rate, mean, push_bounded, quantile, record_event};

/// Number of recent results, relative latencies and utilizations kept per server, and of probe latencies.
pub(super) const RECENT_RESULTS: usize = 8;
/// Number of reported rates kept per server.
const RECENT_RATES: usize = 32;
/// Number of latencies kept per product.
const RECENT_LATENCIES: usize = 32;
/// Rates are computed over at least a check period divided by this number.
const RATE_WINDOW_DIVISOR: u64 = 10;
/// Quantile that counts as a long latency.
pub(super) const LONG_LATENCY_RANK: f64 = 0.9;

impl<H: Host> Balancer<H> {
    /// Records a load report of a server.
    pub(super) fn record_report(&mut self, server: usize, report: LoadReport) {
        let server = &mut self.servers[server];
        if self.settings.load_only_from_probes {
            server.reported_load =
                report.queries_at_server.map(|load| (load, self.now)).or(server.reported_load);
        }
        if let Some(rate) = report.throughput.filter(|rate| server.reported_rates.back() != Some(rate)) {
            push_bounded(&mut server.reported_rates, RECENT_RATES, rate);
        }
        let reports = &mut server.reported_utilization;
        if let (Some(rate), Some(utilization)) = (report.throughput, report.utilization)
            && reports.back() != Some(&(rate, utilization))
        {
            push_bounded(reports, RECENT_RESULTS, (rate, utilization));
            let (rate, utilization) =
                reports.iter().fold((0.0, 0.0), |sum, report| (sum.0 + report.0, sum.1 + report.1));
            let is_known = rate > 0.0 && utilization > 0.0;
            server.reported_capacity = is_known.then(|| rate / utilization);
        }
    }

    /// Records the latency of a completed execution.
    pub(super) fn record_success(&mut self, server: usize, product: usize, latency: u64) {
        push_bounded(&mut self.latencies[product], RECENT_LATENCIES, latency);
        record_event(&mut self.completions, self.now, CHECK_PERIOD_US);
        self.latency_batches.record(self.now, latency as f64, CHECK_PERIOD_US);
        let relative_latency = latency as f64 / self.median_latency(product).max(1) as f64;
        let server = &mut self.servers[server];
        server.last_answer_at = self.now;
        server.ejections = 0;
        push_bounded(&mut server.recent_outcomes, RECENT_RESULTS, true);
        push_bounded(&mut server.relative_latencies, RECENT_RESULTS, relative_latency);
        let zone = server.zone;
        let sample = (self.now, self.load_per_ready(zone), latency as f64);
        push_bounded(&mut self.zones[zone].samples, ZONE_SAMPLES, sample);
    }

    /// Median of the recent latencies of a product; 0 before the first.
    pub(super) fn median_latency(&self, product: usize) -> u64 {
        self.latency_quantile(product, 0.5).unwrap_or(0)
    }

    /// Quantile of the recent latencies of a product.
    pub(super) fn latency_quantile(&self, product: usize, rank: f64) -> Option<u64> {
        quantile(self.latencies[product].iter().copied(), rank)
    }

    /// Events per second over the last `window_us`, or since the start of the balancer if that is shorter.
    pub(super) fn rate(&self, times: &VecDeque<u64>, window_us: u64) -> f64 {
        let since = self.now.saturating_sub(window_us).max(self.started_at);
        event_rate(times, self.now, since, CHECK_PERIOD_US / RATE_WINDOW_DIVISOR)
    }

    /// Mean of the latest rates reported by the servers; 0 without reports.
    pub(super) fn mean_reported_rate<'a>(&self, servers: impl Iterator<Item = &'a usize>) -> f64 {
        mean(servers.filter_map(|&server| self.servers[server].reported_rates.back().copied()))
    }
}
