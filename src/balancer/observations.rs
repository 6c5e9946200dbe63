//! What the balancer measures: reports of servers, latencies and rates.

use std::collections::VecDeque;

use super::state::ZONE_SAMPLES;
use super::{Balancer, CHECK_PERIOD};
use crate::host::{Host, LoadReport};
use crate::samples::{event_rate, mean, push_bounded, quantile, record_event};

/// Results, relative latencies, probe latencies and utilizations kept of each server.
pub(super) const RECENT_RESULTS: usize = 8;
/// Reported rates kept of each server.
const RECENT_RATES: usize = 32;
/// Latencies kept of each product.
const RECENT_LATENCIES: usize = 32;
/// Rates are taken over this part of a check period at the least.
const MIN_RATE_PART: u64 = 10;
/// The rank of a long latency: nine of ten are shorter.
pub(super) const LONG_RANK: f64 = 0.9;

impl<H: Host> Balancer<H> {
    /// Takes in what a server reported of its load.
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

    /// Takes in a completed execution and its latency.
    pub(super) fn record_success(&mut self, server: usize, product: usize, latency: u64) {
        push_bounded(&mut self.latencies[product], RECENT_LATENCIES, latency);
        record_event(&mut self.completions, self.now, CHECK_PERIOD);
        self.latency_runs.record(self.now, latency as f64, CHECK_PERIOD);
        let relative = latency as f64 / self.median_latency(product).max(1) as f64;
        let server = &mut self.servers[server];
        server.last_answer_at = self.now;
        server.ejections = 0;
        push_bounded(&mut server.recent_outcomes, RECENT_RESULTS, true);
        push_bounded(&mut server.relative_latencies, RECENT_RESULTS, relative);
        let zone = server.zone;
        let sample = (self.now, self.load_per_ready(zone), latency as f64);
        push_bounded(&mut self.zones[zone].samples, ZONE_SAMPLES, sample);
    }

    /// The median of the product's last latencies; 0 before the first.
    pub(super) fn median_latency(&self, product: usize) -> u64 {
        self.latency_rank(product, 0.5).unwrap_or(0)
    }

    /// The latency below which this part of the product's last ones lie.
    pub(super) fn latency_rank(&self, product: usize, rank: f64) -> Option<u64> {
        quantile(self.latencies[product].iter().copied(), rank)
    }

    /// Events a second over the last `span`, or since the start of the balancer.
    pub(super) fn rate(&self, times: &VecDeque<u64>, span: u64) -> f64 {
        let since = self.now.saturating_sub(span).max(self.started_at);
        event_rate(times, self.now, since, CHECK_PERIOD / MIN_RATE_PART)
    }

    /// The mean of the rates that these servers reported last; 0 without a report.
    pub(super) fn mean_reported_rate<'a>(&self, servers: impl Iterator<Item = &'a usize>) -> f64 {
        mean(servers.filter_map(|&server| self.servers[server].reported_rates.back().copied()))
    }
}
