//! The endpoint list: which servers exist, and the subset of them that this balancer sends to.

use super::state::{Server, Zone};
use super::{Balancer, LABEL_ENDPOINTS};
use crate::host::{Endpoint, EndpointState, Host};

/// How many balancers reach each server of an even subset, on average.
const BALANCERS_PER_SERVER: f64 = 3.0;
/// Multiples of the golden ratio spread the balancers' ranks evenly over the list, however many there are.
const GOLDEN_RATIO: f64 = 0.618_033_988_75;

impl<H: Host> Balancer<H> {
    /// The complete endpoint list has arrived: servers that it does not name are gone.
    pub fn endpoints_replaced(&mut self, now: u64, endpoints: &[Endpoint]) {
        for server in &mut self.servers {
            (server.ready, server.gone) = (false, true);
        }
        self.endpoints_changed(now, endpoints);
    }

    /// Changes of the endpoint list have arrived.
    pub fn endpoints_changed(&mut self, now: u64, endpoints: &[Endpoint]) {
        self.now = now;
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
        self.listed = (0..self.servers.len()).filter(|&server| !self.servers[server].gone).collect();
        self.select_subset();
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint) {
        if endpoint.server >= self.servers.len() {
            self.servers.resize_with(endpoint.server + 1, || Server { gone: true, ..Server::default() });
        }
        if endpoint.zone >= self.zones.len() {
            let zone = || Zone { weight_per_ready: 1.0, admitted_share: 1.0, ..Zone::default() };
            self.zones.resize_with(endpoint.zone + 1, zone);
        }
        let server = &mut self.servers[endpoint.server];
        if server.started_at != endpoint.started_at {
            // A new start forgets what the process before it did, but not the executions still in flight.
            *server = Server {
                in_flight: server.in_flight,
                probe_waiters: std::mem::take(&mut server.probe_waiters),
                budget_rounding: self.random.next_f64(),
                ..Server::default()
            };
        }
        let has_size = endpoint.relative_capacity.is_finite() && endpoint.relative_capacity > 0.0;
        server.size = if has_size { endpoint.relative_capacity } else { 1.0 };
        server.zone = endpoint.zone;
        server.cell = endpoint.cell;
        server.kind = endpoint.kind;
        server.key = endpoint.key;
        server.started_at = endpoint.started_at;
        server.ready = endpoint.state == EndpointState::Ready;
        server.gone = endpoint.state == EndpointState::Gone;
    }

    /// Where a connection carries many queries, a balancer keeps to its subset of the list: a run of servers in
    /// each zone, as long as its share of the queries asks for, from the balancer's own position on. Guards against
    /// full connection tables, at which most executions find no connection and new ones cost as much as a query.
    pub(super) fn select_subset(&mut self) {
        if self.settings.streams_per_connection <= 1 {
            self.subset = self.listed.clone();
            return;
        }
        self.subset.clear();
        let position = (self.settings.rank as f64 * GOLDEN_RATIO).fract();
        let weights = self.zone_weights();
        let stay_home = self.home_probability(&self.listed);
        let total = BALANCERS_PER_SERVER * self.traffic_share() * self.settings.balancers as f64;
        for (zone, weight) in weights.iter().enumerate() {
            let home = if zone == self.settings.home_zone { stay_home } else { 0.0 };
            let mut missing = (total * (home + (1.0 - stay_home) * weight)).max(1.0);
            let mut ring = self.listed.clone();
            ring.retain(|&server| self.servers[server].zone == zone);
            ring.sort_by_key(|&server| self.servers[server].key);
            let first = (position * ring.len() as f64) as usize;
            ring.rotate_left(first);
            for server in ring {
                if missing > 0.5 {
                    self.subset.push(server);
                    // Ejected servers and those in slow start are made up for by more.
                    missing -= self.available_capacity(server);
                }
            }
        }
    }

    /// Nothing in flight refers to the server that is gone: its index may stand for another one from now on.
    pub fn endpoint_removed(&mut self, server: usize) {
        if let Some(known) = self.servers.get_mut(server) {
            *known = Server { gone: true, ..Server::default() };
        }
    }

    /// The watch of the endpoint list failed. What is known stays, and the list is asked for again, at a random time so
    /// that the balancers don't flood discovery.
    pub fn endpoint_watch_failed(&mut self, now: u64) {
        self.now = now;
        if let Some(within) = self.settings.watch_reopen_limit_us {
            let wait = (1.0 + self.random.next_f64()) * within as f64 / 8.0;
            self.host.set_timer(wait as u64, LABEL_ENDPOINTS);
        }
    }
}
