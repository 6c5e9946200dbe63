//! Probes: servers are asked for their load before a query goes to one of them.

use super::{Balancer, CHECK_PERIOD, load_shed::OVERLOAD_RATIO, observations::RECENT_RESULTS};
use crate::host::{Host, LoadReport};
use crate::samples::{push_bounded, record_event};

/// A balancer that is answered by each server less than once in so many SLO times probes before it sends, but not while
/// the last answers took less than `QUICK_RATIO` times the least mean latency.
const SELDOM_SLO_TIMES: f64 = 4.0;
const QUICK_RATIO: f64 = 1.25;
/// Servers that are probed for one query.
const PROBES_PER_QUERY: usize = 3;
/// Where probes alone report load, a server has capacity for what it serves in this part of the shortest SLO time.
const CAPACITY_SLO_PART: f64 = 3.0;
/// There the admitted share rises from none to all in so many of these times.
const RISE_SLO_TIMES: f64 = 8.0;
/// A probe is answered in this part of the shortest SLO time, or counts as unanswered.
const PROBE_SLO_PART: u64 = 8;
/// A probe that takes this part of it has waited in the server's queue.
const QUEUED_SLO_PART: u64 = 32;

impl<H: Host> Balancer<H> {
    /// Probes servers for a query, where that pays; the first to answer gets it, or [`Self::forward_to_least_loaded`]
    /// decides. Guards against servers that are slower than listed, saturated, hung or loaded by other balancers.
    pub(super) fn probe_candidates(&mut self, query: usize) -> bool {
        let slo_time = self.settings.products[self.queries[query].product].slo_time_us;
        let answers = SELDOM_SLO_TIMES * slo_time as f64 * self.rate(&self.arrivals, CHECK_PERIOD) / 1e6;
        let is_quick = self.latency_runs.latest_mean() < QUICK_RATIO * self.latency_runs.lowest_mean();
        let by_probe = self.settings.load_only_from_probes;
        let knows_enough = !by_probe && (is_quick || answers >= self.subset.len() as f64);
        if !self.settings.allow_probes || knows_enough {
            return false;
        }
        let count = if by_probe && self.settings.single_probe { 1 } else { PROBES_PER_QUERY };
        let (mut probed, mut awaited) = (Vec::with_capacity(count), 0);
        while probed.len() < count
            && let Some(server) = self.choose(query, &probed, false)
        {
            probed.push(server);
            if self.fresh_load(server).is_none() {
                awaited += 1;
                self.servers[server].probe_waiters.push_back((query, self.now));
                record_event(&mut self.probes_sent, self.now, CHECK_PERIOD);
                self.host.probe(server);
            }
        }
        self.schedule_check(query, if by_probe { self.shortest_slo } else { slo_time } / PROBE_SLO_PART);
        let any = !probed.is_empty();
        if by_probe {
            self.queries[query].probed = probed;
            self.queries[query].awaited_probes = awaited;
        }
        any && (awaited > 0 || self.forward_to_least_loaded(query))
    }

    /// A probe has ended; `answered` says whether the server gave a sign of life.
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
        let known = self.queries.get(query);
        let waits = known
            .is_some_and(|known| known.open && known.arrived_at == arrived_at && known.executions.is_empty());
        if waits && self.settings.load_only_from_probes {
            let awaited = &mut self.queries[query].awaited_probes;
            *awaited = awaited.saturating_sub(1);
            if *awaited == 0 && !self.forward_to_least_loaded(query) {
                self.finish(query);
            }
        } else if waits && answered && self.is_available(server) {
            self.execute(query, server);
        }
    }

    /// Of the probed servers that reported their load and have capacity, the one with the least load for its capacity
    /// gets the query. Guards against servers that other balancers fill, of which own executions say nothing.
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
        let least = loads.min_by(|a, b| a.0.total_cmp(&b.0));
        least.is_some_and(|(_, server)| self.execute(query, server))
    }

    /// How long a server may take to answer a probe.
    pub(super) fn probe_time_out(&self) -> u64 {
        self.shortest_slo / PROBE_SLO_PART
    }

    /// Queries at the server by its last report and this balancer's sends since, while that report is fresh.
    pub(super) fn fresh_load(&self, server: usize) -> Option<f64> {
        let server = &self.servers[server];
        let is_fresh = |&(_, at): &(f64, u64)| self.now <= at + self.probe_time_out();
        let (load, reported_at) = server.reported_load.filter(is_fresh)?;
        let sends = server.recent_sends.iter().rev().take_while(|sent| sent.0 >= reported_at);
        Some(load + sends.count() as f64)
    }

    /// What the server serves in a part of the shortest SLO time, or in the latency that counts as overload if less.
    pub(super) fn load_limit(&self, server: usize) -> f64 {
        let server = &self.servers[server];
        let overload = OVERLOAD_RATIO * self.latency_runs.lowest_mean();
        let time = overload.min(self.shortest_slo as f64 / CAPACITY_SLO_PART) / 1e6;
        // Probes that wait in the queue as queries do are reported among those served.
        let wait_in_queue =
            self.probe_latencies.iter().any(|&latency| latency >= self.shortest_slo / QUEUED_SLO_PART);
        let probes = self.rate(&self.probes_sent, CHECK_PERIOD);
        let completions = self.rate(&self.completions, CHECK_PERIOD);
        let with_probes = if wait_in_queue { 1.0 + probes / completions.max(1.0) } else { 1.0 };
        let rate = server.reported_rates.back().map(|rate| rate / with_probes);
        (time * server.reported_capacity.or(rate).unwrap_or(f64::MAX)).max(1.0)
    }

    /// A zone's admitted share falls while servers probed there are above their limit, and rises slowly. Guards against
    /// overload where all balancers see the same old reports: by these alone all would send at once, or none.
    fn update_admitted_share(&mut self, server: usize) {
        let Some((load, _)) = self.servers[server].reported_load else { return };
        let (limit, zone) = (self.load_limit(server), self.servers[server].zone);
        let elapsed = (self.now - self.zones[zone].admitted_share_at).min(self.shortest_slo);
        let elapsed = elapsed as f64 / self.shortest_slo as f64;
        let factor = if load > limit { (-elapsed).exp() } else { 1.0 };
        self.zones[zone].admitted_share = self.admitted_share(zone) * factor;
        self.zones[zone].admitted_share_at = self.now;
    }

    /// The share of queries that a zone admits. It rises by time alone: where hardly a query is admitted, hardly a server
    /// is probed.
    pub(super) fn admitted_share(&self, zone: usize) -> f64 {
        let elapsed = (self.now - self.zones[zone].admitted_share_at) as f64;
        let risen = elapsed / (RISE_SLO_TIMES * self.shortest_slo as f64);
        (self.zones[zone].admitted_share + risen).min(1.0)
    }
}
