//! Endpoint lists as the balancers receive them, and servers in their slow start.

use std::collections::hash_map::Entry;
use std::collections::{BTreeSet, VecDeque};

use super::{InvariantChecker, NO_COLD_OVERLOAD, Subject};
use crate::Listed;
use crate::rules::Location;

/// A server that has been off the list for so long, in microseconds, counts as one that was never listed.
const GONE_RETENTION: u64 = 60_000_000;

/// The balancers answer for an overload if at least so many thirds of its work came from those that knew of the start.
const INFORMED_THIRDS: f64 = 2.0;

/// A server in its slow start.
pub(super) struct ColdServer {
    pub(super) started: u64,
    /// The work received within the overload window.
    pub(super) received: VecDeque<ReceivedWork>,
    /// The balancers that were informed of this start.
    pub(super) informed: BTreeSet<usize>,
}

/// The work of one execution.
pub(super) struct ReceivedWork {
    pub(super) at: u64,
    pub(super) balancer: usize,
    pub(super) work: f64,
}

impl InvariantChecker {
    /// A server has started, and is cold.
    pub fn server_started(&mut self, now: u64, server: usize) {
        self.verdict.count_check(NO_COLD_OVERLOAD);
        let cold = ColdServer { started: now, received: VecDeque::new(), informed: BTreeSet::new() };
        self.cold_servers.insert(server, cold);
        let oldest = now.saturating_sub(self.rules.slow_start_time + self.rules.overload_window);
        self.cold_servers.retain(|_, cold| cold.started >= oldest);
    }

    /// A balancer was informed of the state of one server.
    pub fn endpoint_listed(
        &mut self,
        now: u64,
        balancer: usize,
        server: usize,
        listed: Listed,
        zone: usize,
        pod: usize,
    ) {
        self.locations.insert(server, Location { zone, pod });
        let endpoints = self.endpoint_lists.entry(balancer).or_default();
        match listed {
            Listed::Ready => {
                endpoints.insert(server);
                self.unavailable.remove(&(balancer, server));
                if let Some(cold) = self.cold_servers.get_mut(&server) {
                    cold.informed.insert(balancer);
                }
            }
            Listed::Draining => {
                endpoints.insert(server);
                self.mark_unavailable(now, balancer, server);
            }
            Listed::Gone => {
                endpoints.remove(&server);
                self.mark_unavailable(now, balancer, server);
            }
        }
    }

    /// A balancer received a complete endpoint list: servers that it lacks are gone. The state of each server in it is
    /// reported by [`InvariantChecker::endpoint_listed`].
    pub fn full_list_received(&mut self, now: u64, balancer: usize, listed: &BTreeSet<usize>) {
        let endpoints = self.endpoint_lists.entry(balancer).or_default();
        let gone: Vec<usize> = endpoints.difference(listed).copied().collect();
        for &server in &gone {
            endpoints.remove(&server);
        }
        for server in gone {
            self.mark_unavailable(now, balancer, server);
        }
    }

    /// A server was overloaded. It is a violation if it was cold and most of the work came from balancers that knew.
    pub fn server_overloaded(&mut self, now: u64, server: usize) {
        self.advance(now);
        let Some(cold) = self.cold_servers.get(&server) else { return };
        let since = now.saturating_sub(self.rules.overload_window);
        let (mut total, mut informed) = (0.0, 0.0);
        for received in cold.received.iter().filter(|received| received.at >= since) {
            total += received.work;
            if cold.informed.contains(&received.balancer) {
                informed += received.work;
            }
        }
        if total > 0.0 && informed >= total * INFORMED_THIRDS / 3.0 {
            let percent = informed / total * 100.0;
            let what =
                format!("a cold server pushed over, {percent:.0}% of it by balancers told of its start");
            let subject = Subject { server: Some(server), ..Subject::default() };
            self.violated(NO_COLD_OVERLOAD, what, now, subject);
        }
    }

    /// Keeps the work that a cold server receives.
    pub(super) fn work_received(&mut self, now: u64, server: usize, balancer: usize, work: f64) {
        let window = self.rules.overload_window;
        let cold_for = self.rules.slow_start_time + window;
        if let Some(cold) = self.cold_servers.get_mut(&server)
            && now < cold.started + cold_for
        {
            cold.received.push_back(ReceivedWork { at: now, balancer, work });
            while cold.received.pop_front_if(|received| received.at + window < now).is_some() {}
        }
    }

    pub(super) fn is_listed(&self, balancer: usize, server: usize) -> bool {
        self.endpoint_lists.get(&balancer).is_some_and(|endpoints| endpoints.contains(&server))
    }

    fn mark_unavailable(&mut self, now: u64, balancer: usize, server: usize) {
        if let Entry::Vacant(new) = self.unavailable.entry((balancer, server)) {
            new.insert(now);
            self.unavailable_by_time.push_back((now, (balancer, server)));
        }
        self.expire_unavailable(now);
    }

    /// Forgets servers that are long gone: that nothing is sent to them is checked by the endpoint list itself.
    fn expire_unavailable(&mut self, now: u64) {
        while let Some(&(at, key)) = self.unavailable_by_time.front()
            && at + GONE_RETENTION < now
        {
            self.unavailable_by_time.pop_front();
            let listed = self.is_listed(key.0, key.1);
            match self.unavailable.get(&key) {
                Some(&since) if listed || since + GONE_RETENTION >= now => {
                    self.unavailable_by_time.push_back((now, key));
                }
                _ => {
                    self.unavailable.remove(&key);
                }
            }
        }
    }
}
