//! Probes: asks servers for their load before a query is sent to one of them.

use super::{Balancer, CHECK_PERIOD_US, load_shed::OVERLOAD_RATIO, observations::RECENT_RESULTS};
use crate::host::{Host, LoadReport};
use crate::samples::{push_bounded, record_event};

/// Probes are sent if each server answers this balancer less than once in this many SLO times.
const PROBE_BELOW_SLO_TIMES: f64 = 4.0;
/// No probes are sent while recent latencies are below this multiple of the lowest mean latency.
const FAST_LATENCY_RATIO: f64 = 1.25;
/// Number of servers probed for a query.
const PROBES_PER_QUERY: usize = 3;
/// If only probes report load, a server's limit is the number of queries it serves in the shortest SLO time
/// divided by this number.
const LOAD_LIMIT_SLO_DIVISOR: f64 = 3.0;
/// The admitted share of a zone rises from 0 to 1 in this many shortest SLO times.
const RECOVERY_SLO_TIMES: f64 = 8.0;
/// Probes time out after the shortest SLO time divided by this number.
const PROBE_TIMEOUT_SLO_DIVISOR: u64 = 8;
/// Probes that take at least the shortest SLO time divided by this number have waited in the server's queue.
const QUEUED_PROBE_SLO_DIVISOR: u64 = 32;

impl<H: Host> Balancer<H> {
    /// Probes servers for a query if the balancer has too little information of its own. The first server to
    /// answer gets the query, or [`Self::forward_to_least_loaded`] chooses one. Probes detect servers that
    /// are slower than listed, saturated, hung or loaded by other balancers.
    pub(super) fn probe_candidates(&mut self, query: usize) -> bool {
        let slo_time = self.settings.products[self.queries[query].product].slo_time_us;
        let expected_answers =
            PROBE_BELOW_SLO_TIMES * slo_time as f64 * self.rate(&self.arrivals, CHECK_PERIOD_US) / 1e6;
        let is_fast =
            self.latency_batches.latest_mean() < FAST_LATENCY_RATIO * self.latency_batches.lowest_mean();
        let only_from_probes = self.settings.load_only_from_probes;
        let knows_enough = !only_from_probes && (is_fast || expected_answers >= self.subset.len() as f64);
        if !self.settings.allow_probes || knows_enough {
            return false;
        }
        let count = if only_from_probes && self.settings.single_probe { 1 } else { PROBES_PER_QUERY };
        let (mut probed, mut awaited) = (Vec::with_capacity(count), 0);
        while probed.len() < count
            && let Some(server) = self.choose_server(query, &probed, false)
        {
            probed.push(server);
            if self.fresh_load(server).is_none() {
                awaited += 1;
                self.servers[server].probe_waiters.push_back((query, self.now));
                record_event(&mut self.probes_sent, self.now, CHECK_PERIOD_US);
                self.host.probe(server);
            }
        }
        self.schedule_check(
            query,
            if only_from_probes { self.min_slo_time_us } else { slo_time } / PROBE_TIMEOUT_SLO_DIVISOR,
        );
        let has_candidates = !probed.is_empty();
        if only_from_probes {
            self.queries[query].probed = probed;
            self.queries[query].awaited_probes = awaited;
        }
        has_candidates && (awaited > 0 || self.forward_to_least_loaded(query))
    }

    /// A probe has ended; `answered` tells whether the server replied.
    pub fn probe_ended(&mut self, now: u64, server: usize, answered: bool, report: LoadReport) {
        self.now = now;
        let Some(_) = self.servers.get(server) else { return };
        self.record_report(server, report);
        let Some((query, arrived_at)) = self.servers[server].probe_waiters.pop_front() else { return };
        push_bounded(&mut self.probe_latencies, RECENT_RESULTS, now - arrived_at);
        if answered {
            self.update_admitted_share(server);
        } else if self.settings.load_only_from_probes {
            self.record_failure(server);
        }
        let state = self.queries.get(query);
        let is_waiting = state.is_some_and(|state| {
            state.is_open && state.arrived_at == arrived_at && state.executions.is_empty()
        });
        if is_waiting && self.settings.load_only_from_probes {
            let awaited = &mut self.queries[query].awaited_probes;
            *awaited = awaited.saturating_sub(1);
            if *awaited == 0 && !self.forward_to_least_loaded(query) {
                self.finish(query);
            }
        } else if is_waiting && answered && self.is_available(server) {
            self.execute(query, server);
        }
    }

    /// Sends the query to the probed server with the lowest load relative to its capacity. The balancer's own
    /// executions do not show the load from other balancers.
    pub(super) fn forward_to_least_loaded(&mut self, query: usize) -> bool {
        let probed = std::mem::take(&mut self.queries[query].probed);
        if probed.is_empty() {
            return self.forward(query);
        }
        let has_answered = |&server: &usize| {
            self.is_available(server) && self.fresh_load(server).is_some() && self.has_capacity(server)
        };
        let answered: Vec<usize> = probed.into_iter().filter(has_answered).collect();
        let relative_load =
            |(&server, capacity)| ((self.fresh_load(server).unwrap_or(0.0) + 1.0) / capacity, server);
        let loads = answered.iter().zip(self.capacities(&answered)).map(relative_load);
        let least_loaded = loads.min_by(|a, b| a.0.total_cmp(&b.0));
        least_loaded.is_some_and(|(_, server)| self.execute(query, server))
    }

    /// Timeout of a probe.
    pub(super) fn probe_timeout_us(&self) -> u64 {
        self.min_slo_time_us / PROBE_TIMEOUT_SLO_DIVISOR
    }

    /// Queries at the server: its last report plus the executions sent since. `None` if the report is older
    /// than a probe timeout.
    pub(super) fn fresh_load(&self, server: usize) -> Option<f64> {
        let server = &self.servers[server];
        let is_fresh = |&(_, at): &(f64, u64)| self.now <= at + self.probe_timeout_us();
        let (load, reported_at) = server.reported_load.filter(is_fresh)?;
        let sends = server.recent_sends.iter().rev().take_while(|sent| sent.0 >= reported_at);
        Some(load + sends.count() as f64)
    }

    /// Maximum number of queries at the server: what it serves within a fraction of the shortest SLO time, or
    /// within the overload latency if that is shorter.
    pub(super) fn load_limit(&self, server: usize) -> f64 {
        let server = &self.servers[server];
        let overload_latency = OVERLOAD_RATIO * self.latency_batches.lowest_mean();
        let time_s = overload_latency.min(self.min_slo_time_us as f64 / LOAD_LIMIT_SLO_DIVISOR) / 1e6;
        // Servers that queue probes like queries count them in their reported rate.
        let are_queued = self
            .probe_latencies
            .iter()
            .any(|&latency| latency >= self.min_slo_time_us / QUEUED_PROBE_SLO_DIVISOR);
        let probes = self.rate(&self.probes_sent, CHECK_PERIOD_US);
        let completions = self.rate(&self.completions, CHECK_PERIOD_US);
        let probe_factor = if are_queued { 1.0 + probes / completions.max(1.0) } else { 1.0 };
        let rate = server.reported_rates.back().map(|rate| rate / probe_factor);
        (time_s * server.reported_capacity.or(rate).unwrap_or(f64::MAX)).max(1.0)
    }

    /// Lowers the admitted share of a zone while a probed server is above its limit; otherwise the share
    /// rises slowly. All balancers see the same delayed reports and would otherwise all send, or all reject,
    /// at the same time.
    fn update_admitted_share(&mut self, server: usize) {
        let Some((load, _)) = self.servers[server].reported_load else { return };
        let (limit, zone) = (self.load_limit(server), self.servers[server].zone);
        let elapsed = (self.now - self.zones[zone].admitted_share_at).min(self.min_slo_time_us);
        let elapsed = elapsed as f64 / self.min_slo_time_us as f64;
        let factor = if load > limit { (-elapsed).exp() } else { 1.0 };
        self.zones[zone].admitted_share = self.admitted_share(zone) * factor;
        self.zones[zone].admitted_share_at = self.now;
    }

    /// The share of queries that a zone admits. It rises with time rather than with probes, because few
    /// probes are sent while few queries are admitted.
    pub(super) fn admitted_share(&self, zone: usize) -> f64 {
        let elapsed = (self.now - self.zones[zone].admitted_share_at) as f64;
        let recovered = elapsed / (RECOVERY_SLO_TIMES * self.min_slo_time_us as f64);
        (self.zones[zone].admitted_share + recovered).min(1.0)
    }
}
