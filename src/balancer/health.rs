//! Server health: failure counts, ejection and the trial after an ejection.

use super::observations::RECENT_RESULTS;
use super::{Balancer, observations};
use crate::host::Host;
use crate::samples::push_bounded;

/// Number of consecutive failures that ejects a server. The same number among its recent results does if at
/// least half of them failed.
const MIN_FAILURES: usize = 2;
/// Maximum number of times that the duration of consecutive ejections doubles.
const MAX_DOUBLINGS: u32 = 3;
/// Multiple of the 90th percentile latency after which a silent server counts as hung.
const SILENCE_RATIO: u64 = 3;

impl<H: Host> Balancer<H> {
    /// Whether the server is ready and not ejected.
    pub(super) fn is_available(&self, server: usize) -> bool {
        self.servers[server].is_ready && !self.is_ejected(server)
    }

    /// Whether the server is ejected, or on trial with an execution in flight.
    fn is_ejected(&self, server: usize) -> bool {
        let server = &self.servers[server];
        self.now < server.ejected_until || (server.ejections > 0 && server.in_flight > 0)
    }

    /// Records a failure and may eject the server. Servers that fail quickly have few executions in flight
    /// and would attract more queries than others.
    pub(super) fn record_failure(&mut self, server: usize) {
        let outcomes = &mut self.servers[server].recent_outcomes;
        push_bounded(outcomes, RECENT_RESULTS, false);
        let failures = outcomes.iter().filter(|&&completed| !completed).count();
        let consecutive = outcomes.iter().rev().take_while(|&&completed| !completed).count();
        let is_half_failed = failures >= MIN_FAILURES && 2 * failures >= outcomes.len();
        if consecutive >= MIN_FAILURES || is_half_failed {
            self.eject(server);
        }
    }

    /// Ejects the server for the longest SLO time, doubled each time that the trial after an ejection fails.
    /// No server is ejected while half of the list is, because the cause is then not a single server.
    fn eject(&mut self, server: usize) {
        let ejected = self.listed.iter().filter(|&&listed| self.is_ejected(listed)).count();
        if ejected >= self.listed.len() / 2 {
            return;
        }
        let max_slo_time_us =
            self.settings.products.iter().map(|product| product.slo_time_us).max().unwrap_or(0);
        let server = &mut self.servers[server];
        server.ejected_until = self.now + (max_slo_time_us << server.ejections.min(MAX_DOUBLINGS));
        server.ejections += 1;
        self.select_subset();
    }

    /// How long an execution may be in flight before the silence of its server counts as a failure.
    pub(super) fn silence_limit(&self, product: usize) -> u64 {
        let long_latency = self.latency_quantile(product, observations::LONG_LATENCY_RANK);
        long_latency.map_or(self.settings.products[product].slo_time_us, |latency| SILENCE_RATIO * latency)
    }
}
