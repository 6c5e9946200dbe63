//! The choice of a server: a zone by its weight, and inside it a random server in proportion to capacity, passing over
//! those with many more queries in flight than the mean.

use super::state::Execution;
use super::{
    Balancer,
    load_shed::{BEYOND_QUOTA_PART, OVERLOAD_RATIO},
};
use crate::host::{Host, Outcome};
use crate::samples::{mean, quantile};

/// A server above this many times the mean of this balancer's queries in flight is passed over.
const PASS_OVER_RATIO: f64 = 2.0;
/// A server is taken to serve this many times the best rate that it reported.
const PEAK_RATIO: f64 = 1.5;
/// Completed executions that are needed before a server's own latency counts.
const MIN_LATENCIES: usize = 3;
/// A server's latency lowers its capacity to this part at the least.
const MIN_SPEED: f64 = 0.25;

impl<H: Host> Balancer<H> {
    /// The design's ordinary path: a zone by its weight, inside it a random server, passing over the crowded ones. Left
    /// out are servers already `probed` for the query and those that had it; with `retry_same` those that had it may get
    /// it again where their answer was malformed.
    pub(super) fn choose(&mut self, query: usize, probed: &[usize], retry_same: bool) -> Option<usize> {
        let weights = self.zone_weights();
        let (mut candidates, open) = self.candidates(query, probed, retry_same, &weights);
        let zone = self.choose_zone(&candidates, &open, probed.is_empty())?;
        candidates.retain(|&server| self.servers[server].zone == zone);
        self.choose_in_zone(&candidates)
    }

    /// The servers that may get the query, and the weights of their zones.
    fn candidates(
        &mut self,
        query: usize,
        probed: &[usize],
        retry_same: bool,
        weights: &[f64],
    ) -> (Vec<usize>, Vec<f64>) {
        let mut candidates: Vec<usize> = Vec::with_capacity(self.listed.len());
        let mut open = vec![0.0; weights.len()];
        let some_have_capacity = |server: &usize| self.is_available(*server) && self.has_capacity(*server);
        let needs_capacity =
            self.settings.load_only_from_probes || self.subset.iter().any(some_have_capacity);
        for position in 0..self.subset.len() {
            let server = self.subset[position];
            let had_it = |execution: &Execution| {
                let may_repeat = retry_same && execution.outcome.is_some_and(Outcome::is_transient);
                execution.server == server && !may_repeat
            };
            let tried = self.queries[query].executions.iter().any(had_it) || probed.contains(&server);
            // Servers probed together share a zone, so that the ways to them are alike.
            let shares_zone = |&first: &usize| self.servers[first].zone == self.servers[server].zone;
            // A server in slow start gets the part of an even share that it can serve.
            let warm_fraction = self.warm_fraction(server);
            let is_warm = warm_fraction >= 1.0 || self.random.next_f64() < warm_fraction;
            let may = self.is_available(server)
                && self.has_slow_start_budget(server)
                && self.may_retry_on(query, server, None);
            let fits = may && is_warm && !tried && probed.first().is_none_or(shares_zone);
            if fits && (!needs_capacity || self.has_capacity(server)) {
                candidates.push(server);
                let zone = self.servers[server].zone;
                open[zone] = f64::max(weights[zone], f64::MIN_POSITIVE);
            }
        }
        (candidates, open)
    }

    /// Draws a zone by the weights that are open; the home zone with its own probability first. None where the zone's
    /// admitted share says that the query is to be rejected, which counts for the first choice alone.
    fn choose_zone(&mut self, candidates: &[usize], open: &[f64], is_first: bool) -> Option<usize> {
        let zone = self.random.pick_weighted(open)?;
        let home = self.settings.home_zone;
        let sheds = self.settings.load_only_from_probes && is_first;
        let among = if self.settings.streams_per_connection > 1 { &self.listed } else { candidates };
        let admitted = if sheds && home < self.zones.len() { self.admitted_share(home) } else { 1.0 };
        let stay_home = self.home_probability(among) * admitted;
        let home_is_open = open.get(home).is_some_and(|&weight| weight > 0.0);
        if stay_home > 0.0 && home_is_open && self.random.next_f64() < stay_home {
            return Some(home);
        }
        if sheds && self.random.next_f64() >= self.admitted_share(zone) {
            return None;
        }
        Some(zone)
    }

    /// A random draw in proportion to capacity: the least of exponential times, each at its server's rate. Crowded
    /// servers come after all others, the least crowded first.
    fn choose_in_zone(&mut self, candidates: &[usize]) -> Option<usize> {
        let capacities = self.capacities(candidates);
        let in_flight = |server: usize| self.servers[server].in_flight as f64;
        let relative =
            candidates.iter().zip(&capacities).map(|(&server, capacity)| in_flight(server) / capacity);
        let limit = PASS_OVER_RATIO * mean(relative);
        let mut chosen = None;
        for (&server, capacity) in candidates.iter().zip(&capacities) {
            let time = -(1.0 - self.random.next_f64()).ln() / capacity;
            let is_crowded = (in_flight(server) + 1.0) / capacity > limit;
            let rank = (if is_crowded { in_flight(server) / capacity } else { -1.0 }, time);
            if chosen.is_none_or(|(least, _)| rank < least) {
                chosen = Some((rank, server));
            }
        }
        chosen.map(|(_, server)| server)
    }

    /// Where crossings between zones cost and each zone has two balancers, the probability that a query stays in the home
    /// zone: by its servers' part of all capacity, for this balancer and an even part of the rest for its peers in the
    /// zone. Guards against crossings that fail with a partition or a lost zone; with one balancer a zone, its loss would
    /// bring everything to another's home. Where a first tier's answers take so long that tenants are rejected, the home
    /// zone is too small, and the weights decide.
    pub(super) fn home_probability(&self, among: &[usize]) -> f64 {
        let all: f64 = among.iter().map(|&server| self.available_capacity(server)).sum();
        let at_home = among.iter().filter(|&&server| self.servers[server].zone == self.settings.home_zone);
        let home: f64 = at_home.map(|&server| self.available_capacity(server)).sum();
        let rejects_tenants = BEYOND_QUOTA_PART * OVERLOAD_RATIO * self.latency_runs.lowest_mean();
        let is_strained = self.settings.tier == 0 && self.latency_runs.latest_mean() > rejects_tenants;
        let pays = self.settings.cross_zone_cost > 0.0 && self.settings.balancers >= 2 * self.zones.len();
        if is_strained || !pays || home <= 0.0 {
            return 0.0;
        }
        let (zones, share) = (self.zones.len() as f64, self.traffic_share());
        let other_balancers = (self.settings.balancers - 1) as f64;
        let peers_in_zone = self.settings.balancers as f64 / zones - 1.0;
        let peers_share = (1.0 - share) * peers_in_zone / other_balancers;
        (home / all / (share + peers_share)).min(1.0)
    }

    /// What each server can serve against the others: by its reports, else by its listed size and the reports of all;
    /// less where its last answers took longer than usual.
    pub(super) fn capacities(&self, servers: &[usize]) -> Vec<f64> {
        let usual = self.median_relative_latency();
        let listed = self.listed.iter().map(|&server| &self.servers[server]);
        let reported = listed.filter_map(|server| Some((server.reported_capacity?, server.size)));
        let (all, sizes) =
            reported.fold((0.0, 0.0), |sum, (capacity, size)| (sum.0 + capacity, sum.1 + size));
        let capacity = |&server: &usize| {
            let server = &self.servers[server];
            let latencies = &server.relative_latencies;
            let is_known = latencies.len() >= MIN_LATENCIES && usual > 0.0;
            let speed =
                if is_known { (usual / mean(latencies.iter().copied())).clamp(MIN_SPEED, 1.0) } else { 1.0 };
            let by_size = if sizes > 0.0 { all / sizes * server.size } else { server.size };
            server.reported_capacity.unwrap_or(by_size) * speed
        };
        servers.iter().map(capacity).collect()
    }

    fn median_relative_latency(&self) -> f64 {
        let is_known = |server: &&usize| {
            self.is_available(**server) && self.servers[**server].relative_latencies.len() >= MIN_LATENCIES
        };
        let known = self.listed.iter().filter(is_known);
        let means = known.map(|&server| mean(self.servers[server].relative_latencies.iter().copied()));
        quantile(means, 0.5).unwrap_or(0.0)
    }

    /// Guards against one good first-tier server taking the load of others that have capacity: what it holds of this
    /// balancer's, times the balancers, must be served in the least mean latency at the best rate that it reported.
    pub(super) fn has_capacity(&self, server: usize) -> bool {
        let known = &self.servers[server];
        if self.settings.load_only_from_probes {
            // One that has not answered in time has no capacity either.
            let probe_time = self.probe_time_out();
            let is_silent = known
                .probe_waiters
                .front()
                .is_some_and(|&(_, arrived_at)| arrived_at + probe_time <= self.now);
            return !is_silent && self.fresh_load(server).is_none_or(|load| load <= self.load_limit(server));
        }
        let in_flight = (known.in_flight * self.settings.balancers) as f64;
        let best = known.reported_rates.iter().copied().reduce(f64::max);
        self.settings.tier > 0
            || known.in_flight == 0
            || best.is_none_or(|rate| in_flight <= self.latency_runs.lowest_mean() / 1e6 * PEAK_RATIO * rate)
    }
}
