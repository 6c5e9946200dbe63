//! The endpoint list and the subset of servers that this balancer sends to.

use super::state::{Server, Zone};
use super::{Balancer, LABEL_ENDPOINTS};
use crate::host::{Endpoint, EndpointState, Host};

/// Average number of balancers that send to each server.
const BALANCERS_PER_SERVER: f64 = 3.0;
/// Multiples of the golden ratio modulo 1 spread the balancers' ranks evenly over the list, for any number of
/// balancers.
const GOLDEN_RATIO: f64 = 0.618_033_988_75;

impl<H: Host> Balancer<H> {
    /// A complete endpoint list has arrived; servers that it does not contain are gone.
    pub fn endpoints_replaced(&mut self, now: u64, endpoints: &[Endpoint]) {
        for server in &mut self.servers {
            (server.is_ready, server.is_gone) = (false, true);
        }
        self.endpoints_changed(now, endpoints);
    }

    /// Changes of the endpoint list have arrived.
    pub fn endpoints_changed(&mut self, now: u64, endpoints: &[Endpoint]) {
        self.now = now;
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
        self.listed = (0..self.servers.len()).filter(|&server| !self.servers[server].is_gone).collect();
        self.select_subset();
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint) {
        if endpoint.server >= self.servers.len() {
            self.servers.resize_with(endpoint.server + 1, || Server { is_gone: true, ..Server::default() });
        }
        if endpoint.zone >= self.zones.len() {
            let zone = || Zone { weight_per_ready: 1.0, admitted_share: 1.0, ..Zone::default() };
            self.zones.resize_with(endpoint.zone + 1, zone);
        }
        let server = &mut self.servers[endpoint.server];
        if server.started_at != endpoint.started_at {
            // A restarted server loses its statistics but keeps its executions and probes in flight.
            *server = Server {
                in_flight: server.in_flight,
                probe_waiters: std::mem::take(&mut server.probe_waiters),
                budget_rounding: self.random.next_f64(),
                ..Server::default()
            };
        }
        let is_valid = endpoint.relative_capacity.is_finite() && endpoint.relative_capacity > 0.0;
        server.relative_capacity = if is_valid { endpoint.relative_capacity } else { 1.0 };
        server.zone = endpoint.zone;
        server.cell = endpoint.cell;
        server.kind = endpoint.kind;
        server.key = endpoint.key;
        server.started_at = endpoint.started_at;
        server.is_ready = endpoint.state == EndpointState::Ready;
        server.is_gone = endpoint.state == EndpointState::Gone;
    }

    /// Selects the servers that this balancer sends to. If a connection carries only one query at a time,
    /// these are all listed servers. Otherwise the subset is a contiguous range in each zone that starts at
    /// the balancer's own position and has a capacity in proportion to its share of the queries. A balancer
    /// that connected to all servers would fill their connection tables: most executions would find no
    /// connection, and opening one costs as much as a query.
    pub(super) fn select_subset(&mut self) {
        if self.settings.streams_per_connection <= 1 {
            self.subset = self.listed.clone();
            return;
        }
        self.subset.clear();
        let position = (self.settings.rank as f64 * GOLDEN_RATIO).fract();
        let weights = self.zone_weights();
        let home_probability = self.home_probability(&self.listed);
        let total = BALANCERS_PER_SERVER * self.traffic_share() * self.settings.balancers as f64;
        for (zone, weight) in weights.iter().enumerate() {
            let home = if zone == self.settings.home_zone { home_probability } else { 0.0 };
            let mut remaining = (total * (home + (1.0 - home_probability) * weight)).max(1.0);
            let mut ring = self.listed.clone();
            ring.retain(|&server| self.servers[server].zone == zone);
            ring.sort_by_key(|&server| self.servers[server].key);
            let start = (position * ring.len() as f64) as usize;
            ring.rotate_left(start);
            for server in ring {
                if remaining > 0.5 {
                    self.subset.push(server);
                    // Ejected servers and servers in slow start count with their available capacity only.
                    remaining -= self.available_capacity(server);
                }
            }
        }
    }

    /// A gone server has no executions in flight any more. Its index may be reused for another server.
    pub fn endpoint_removed(&mut self, server: usize) {
        if let Some(entry) = self.servers.get_mut(server) {
            *entry = Server { is_gone: true, ..Server::default() };
        }
    }

    /// The watch of the endpoint list has failed. The known endpoints stay, and the watch is reopened after a
    /// random delay so that the balancers do not overload discovery.
    pub fn endpoint_watch_failed(&mut self, now: u64) {
        self.now = now;
        if let Some(limit_us) = self.settings.watch_reopen_limit_us {
            let delay_us = (1.0 + self.random.next_f64()) * limit_us as f64 / 8.0;
            self.host.set_timer(delay_us as u64, LABEL_ENDPOINTS);
        }
    }
}
