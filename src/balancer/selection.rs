//! Server selection: a zone by weight, then a random server in the zone with probability proportional to
//! capacity, avoiding servers with many more queries in flight than the mean.

use super::state::Execution;
use super::{
    Balancer,
    load_shed::{BEYOND_QUOTA_FACTOR, OVERLOAD_RATIO},
};
use crate::host::{Host, Outcome};
use crate::samples::{mean, quantile};

/// A server counts as crowded above this multiple of the mean number of queries in flight per capacity.
const CROWDED_RATIO: f64 = 2.0;
/// Assumed ratio of a server's peak rate to the best rate that it reported.
const PEAK_RATIO: f64 = 1.5;
/// Number of completed executions before a server's own latency is used.
const MIN_LATENCY_SAMPLES: usize = 3;
/// Minimum factor by which a server's latency reduces its capacity.
const MIN_SPEED_FACTOR: f64 = 0.25;

impl<H: Host> Balancer<H> {
    /// Chooses a server for the query. Excludes the servers in `probed` and those that already had the query;
    /// with `allow_same_server`, a server whose outcome was transient may get it again.
    pub(super) fn choose_server(
        &mut self,
        query: usize,
        probed: &[usize],
        allow_same_server: bool,
    ) -> Option<usize> {
        let weights = self.zone_weights();
        let (mut candidates, zone_weights) = self.candidates(query, probed, allow_same_server, &weights);
        let zone = self.choose_zone(&candidates, &zone_weights, probed.is_empty())?;
        candidates.retain(|&server| self.servers[server].zone == zone);
        self.choose_in_zone(&candidates)
    }

    /// Returns the servers that may get the query, and the weights of their zones.
    fn candidates(
        &mut self,
        query: usize,
        probed: &[usize],
        allow_same_server: bool,
        weights: &[f64],
    ) -> (Vec<usize>, Vec<f64>) {
        let mut candidates: Vec<usize> = Vec::with_capacity(self.listed.len());
        let mut candidate_weights = vec![0.0; weights.len()];
        let some_have_capacity = |server: &usize| self.is_available(*server) && self.has_capacity(*server);
        let needs_capacity =
            self.settings.load_only_from_probes || self.subset.iter().any(some_have_capacity);
        for position in 0..self.subset.len() {
            let server = self.subset[position];
            let was_sent_to = |execution: &Execution| {
                let may_repeat = allow_same_server && execution.outcome.is_some_and(Outcome::is_transient);
                execution.server == server && !may_repeat
            };
            let is_excluded =
                self.queries[query].executions.iter().any(was_sent_to) || probed.contains(&server);
            // Servers probed together share a zone, so that their network latency is similar.
            let shares_zone = |&first: &usize| self.servers[first].zone == self.servers[server].zone;
            // A server in slow start gets a fraction of an even share that matches its capacity.
            let warm_fraction = self.warm_fraction(server);
            let is_warm = warm_fraction >= 1.0 || self.random.next_f64() < warm_fraction;
            let is_allowed = self.is_available(server)
                && self.has_slow_start_budget(server)
                && self.may_retry_on(query, server, None);
            let is_candidate =
                is_allowed && is_warm && !is_excluded && probed.first().is_none_or(shares_zone);
            if is_candidate && (!needs_capacity || self.has_capacity(server)) {
                candidates.push(server);
                let zone = self.servers[server].zone;
                candidate_weights[zone] = f64::max(weights[zone], f64::MIN_POSITIVE);
            }
        }
        (candidates, candidate_weights)
    }

    /// Draws a zone by weight, after the home zone with its own probability. Returns `None` if the admitted
    /// share of the zone rejects the query, which applies only to the first choice.
    fn choose_zone(&mut self, candidates: &[usize], zone_weights: &[f64], is_first: bool) -> Option<usize> {
        let zone = self.random.pick_weighted(zone_weights)?;
        let home = self.settings.home_zone;
        let may_reject = self.settings.load_only_from_probes && is_first;
        let servers = if self.settings.streams_per_connection > 1 { &self.listed } else { candidates };
        let admitted_share =
            if may_reject && home < self.zones.len() { self.admitted_share(home) } else { 1.0 };
        let home_probability = self.home_probability(servers) * admitted_share;
        let home_is_open = zone_weights.get(home).is_some_and(|&weight| weight > 0.0);
        if home_probability > 0.0 && home_is_open && self.random.next_f64() < home_probability {
            return Some(home);
        }
        if may_reject && self.random.next_f64() >= self.admitted_share(zone) {
            return None;
        }
        Some(zone)
    }

    /// Draws a server with probability proportional to capacity: the minimum of exponentially distributed
    /// times with the capacities as rates. Crowded servers rank after all others, the least crowded first.
    fn choose_in_zone(&mut self, candidates: &[usize]) -> Option<usize> {
        let capacities = self.capacities(candidates);
        let in_flight = |server: usize| self.servers[server].in_flight as f64;
        let loads =
            candidates.iter().zip(&capacities).map(|(&server, capacity)| in_flight(server) / capacity);
        let limit = CROWDED_RATIO * mean(loads);
        let mut chosen = None;
        for (&server, capacity) in candidates.iter().zip(&capacities) {
            let time = -(1.0 - self.random.next_f64()).ln() / capacity;
            let is_crowded = (in_flight(server) + 1.0) / capacity > limit;
            let rank = (if is_crowded { in_flight(server) / capacity } else { -1.0 }, time);
            if chosen.is_none_or(|(lowest, _)| rank < lowest) {
                chosen = Some((rank, server));
            }
        }
        chosen.map(|(_, server)| server)
    }

    /// Probability that a query stays in the home zone: the zone's share of all capacity relative to the
    /// share of traffic of its balancers. Queries that stay are not affected by a partition or by the loss of
    /// another zone. The probability is 0 if crossing zones has no cost, or with fewer than two balancers per
    /// zone, where the loss of a balancer would shift all its queries to one other zone. It is also 0 if
    /// latencies of the first tier are so high that tenants are rejected: the home zone is then too small.
    pub(super) fn home_probability(&self, servers: &[usize]) -> f64 {
        let total_capacity: f64 = servers.iter().map(|&server| self.available_capacity(server)).sum();
        let in_home_zone =
            servers.iter().filter(|&&server| self.servers[server].zone == self.settings.home_zone);
        let home_capacity: f64 = in_home_zone.map(|&server| self.available_capacity(server)).sum();
        let tenant_limit = BEYOND_QUOTA_FACTOR * OVERLOAD_RATIO * self.latency_batches.lowest_mean();
        let is_overloaded = self.settings.tier == 0 && self.latency_batches.latest_mean() > tenant_limit;
        let is_beneficial =
            self.settings.cross_zone_cost > 0.0 && self.settings.balancers >= 2 * self.zones.len();
        if is_overloaded || !is_beneficial || home_capacity <= 0.0 {
            return 0.0;
        }
        let (zones, share) = (self.zones.len() as f64, self.traffic_share());
        let other_balancers = (self.settings.balancers - 1) as f64;
        let peers_in_zone = self.settings.balancers as f64 / zones - 1.0;
        let peers_share = (1.0 - share) * peers_in_zone / other_balancers;
        (home_capacity / total_capacity / (share + peers_share)).min(1.0)
    }

    /// Capacities of the servers relative to each other: the reported capacity, or else an estimate from the
    /// listed capacity and the reports of all servers. Reduced for servers with higher latency than usual.
    pub(super) fn capacities(&self, servers: &[usize]) -> Vec<f64> {
        let usual_latency = self.median_relative_latency();
        let listed = self.listed.iter().map(|&server| &self.servers[server]);
        let reported =
            listed.filter_map(|server| Some((server.reported_capacity?, server.relative_capacity)));
        let (total_reported, total_listed) =
            reported.fold((0.0, 0.0), |sum, (capacity, size)| (sum.0 + capacity, sum.1 + size));
        let capacity = |&server: &usize| {
            let server = &self.servers[server];
            let latencies = &server.relative_latencies;
            let is_known = latencies.len() >= MIN_LATENCY_SAMPLES && usual_latency > 0.0;
            let speed = if is_known {
                (usual_latency / mean(latencies.iter().copied())).clamp(MIN_SPEED_FACTOR, 1.0)
            } else {
                1.0
            };
            let estimate = if total_listed > 0.0 {
                total_reported / total_listed * server.relative_capacity
            } else {
                server.relative_capacity
            };
            server.reported_capacity.unwrap_or(estimate) * speed
        };
        servers.iter().map(capacity).collect()
    }

    fn median_relative_latency(&self) -> f64 {
        let is_known = |server: &&usize| {
            self.is_available(**server)
                && self.servers[**server].relative_latencies.len() >= MIN_LATENCY_SAMPLES
        };
        let measured = self.listed.iter().filter(is_known);
        let means = measured.map(|&server| mean(self.servers[server].relative_latencies.iter().copied()));
        quantile(means, 0.5).unwrap_or(0.0)
    }

    /// Whether the server has capacity for another query. In the first tier, the server must be able to serve
    /// the queries in flight, extrapolated to all balancers, within the lowest mean latency at its peak rate.
    /// This keeps one fast server from taking the load of others.
    pub(super) fn has_capacity(&self, server: usize) -> bool {
        let state = &self.servers[server];
        if self.settings.load_only_from_probes {
            // A server with an overdue probe has no capacity.
            let probe_timeout_us = self.probe_timeout_us();
            let is_silent = state
                .probe_waiters
                .front()
                .is_some_and(|&(_, arrived_at)| arrived_at + probe_timeout_us <= self.now);
            return !is_silent && self.fresh_load(server).is_none_or(|load| load <= self.load_limit(server));
        }
        let in_flight = (state.in_flight * self.settings.balancers) as f64;
        let best_rate = state.reported_rates.iter().copied().reduce(f64::max);
        self.settings.tier > 0
            || state.in_flight == 0
            || best_rate
                .is_none_or(|rate| in_flight <= self.latency_batches.lowest_mean() / 1e6 * PEAK_RATIO * rate)
    }
}
