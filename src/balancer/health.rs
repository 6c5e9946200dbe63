//! Health of servers: consecutive failures, ejection and the trial after it.

use super::observations::RECENT_RESULTS;
use super::{Balancer, observations};
use crate::host::Host;
use crate::samples::push_bounded;

/// Failures in a row that eject a server, and failures among its last results that do, if they are half of them.
const MIN_FAILURES: usize = 2;
/// An ejection doubles with each one in a row, up to this many times.
const MAX_DOUBLINGS: u32 = 3;
/// A server silent for this many times what nine of ten queries take is taken for hung.
const SILENCE_RATIO: u64 = 3;

impl<H: Host> Balancer<H> {
    /// Whether the server is ready and not ejected.
    pub(super) fn is_available(&self, server: usize) -> bool {
        self.servers[server].ready && !self.is_ejected(server)
    }

    /// Ejected, or on trial with one execution in flight.
    fn is_ejected(&self, server: usize) -> bool {
        let server = &self.servers[server];
        self.now < server.ejected_until || (server.ejections > 0 && server.in_flight > 0)
    }

    /// Counts a failure. Guards against servers that fail quickly or answer nothing: few executions in flight attract
    /// more of them.
    pub(super) fn record_failure(&mut self, server: usize) {
        let outcomes = &mut self.servers[server].recent_outcomes;
        push_bounded(outcomes, RECENT_RESULTS, false);
        let failures = outcomes.iter().filter(|&&completed| !completed).count();
        let consecutive = outcomes.iter().rev().take_while(|&&completed| !completed).count();
        let is_half = failures >= MIN_FAILURES && 2 * failures >= outcomes.len();
        if consecutive >= MIN_FAILURES || is_half {
            self.eject(server);
        }
    }

    /// No new executions for the longest SLO time, doubled each time that the trial after it fails too. Once half the
    /// list is ejected the fault is not the servers'.
    fn eject(&mut self, server: usize) {
        let ejected = self.listed.iter().filter(|&&listed| self.is_ejected(listed)).count();
        if ejected >= self.listed.len() / 2 {
            return;
        }
        let longest = self.settings.products.iter().map(|product| product.slo_time_us).max().unwrap_or(0);
        let server = &mut self.servers[server];
        server.ejected_until = self.now + (longest << server.ejections.min(MAX_DOUBLINGS));
        server.ejections += 1;
        self.select_subset();
    }

    /// How long an execution may be in flight before the silence of its server counts against it.
    pub(super) fn silence_limit(&self, product: usize) -> u64 {
        let long = self.latency_rank(product, observations::LONG_RANK);
        long.map_or(self.settings.products[product].slo_time_us, |latency| SILENCE_RATIO * latency)
    }
}
