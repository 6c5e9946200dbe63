//! Reachability between controllers and clients, and the times at which it changed.

use std::net::SocketAddr;

use whinspindle_controller::api::Call;
use whinspindle_controller::{Action, Event};

use super::{Deployment, STEP_MS, text_between};
use crate::common::rules::Rules;

/// Interval between updates of the list of voters.
const VOTERS_MS: u64 = 100;

impl<R: Rules> Deployment<R> {
    pub(super) fn disturb_core(&mut self) {
        self.core_disturbed_at = self.now();
    }

    pub(super) fn disturb_edge(&mut self, index: usize) {
        let now = self.now();
        self.edge_disturbed_at.insert(self.edges[index].address, now);
    }

    pub(super) fn update_reachability(&mut self, now: u64) {
        if now >= self.voters_at + VOTERS_MS {
            self.voters_at = now;
            self.voters = self.find_voters(now);
        }
        let serving = self.serving_controllers(now);
        if serving.is_empty() || self.thaws.values().any(|until| *until + STEP_MS > now && *until <= now) {
            self.core_disturbed_at = now;
        }
        for edge in &self.edges {
            let reaches_all = serving.iter().all(|at| self.is_path(edge.address, *at));
            if !edge.is_running() {
                self.edge_disturbed_at.insert(edge.address, now);
            }
            if edge.frozen_until > now || !reaches_all {
                self.edge_unreached_at.insert(edge.address, now);
            }
        }
        for upstream in &self.upstreams {
            if !serving.iter().all(|at| self.is_path(upstream.address, *at)) {
                self.upstream_disturbed_at.insert(upstream.address, now);
            }
        }
    }

    fn is_path(&self, client: SocketAddr, at: SocketAddr) -> bool {
        !self.cuts.contains(&(client, at)) && !self.cuts.contains(&(at, client))
    }

    /// Running controllers that reach a majority of the voters in both directions.
    pub(super) fn serving_controllers(&mut self, now: u64) -> Vec<SocketAddr> {
        let endpoints = self.fleet.cluster.endpoints();
        let mut running = endpoints;
        running.retain(|at| {
            self.fleet.cluster.is_running(*at) && self.frozen.get(at).is_none_or(|until| *until <= now)
        });
        let network = self.fleet.cluster.network();
        let mut reaches = |one: SocketAddr, other: SocketAddr| {
            one == other || !(network.is_cut(one, other) || network.is_cut(other, one))
        };
        let is_intact = |voter: &SocketAddr| running.contains(voter) && !self.disks_lost.contains(voter);
        let voters: Vec<SocketAddr> = self.voters.iter().copied().filter(is_intact).collect();
        let majority = self.voters.len() / 2 + 1;
        let count = |at: SocketAddr, reaches: &mut dyn FnMut(SocketAddr, SocketAddr) -> bool| {
            voters.iter().filter(|voter| reaches(at, **voter)).count()
        };
        let core: Vec<SocketAddr> =
            running.into_iter().filter(|at| count(*at, &mut reaches) >= majority).collect();
        // Fewer voters than a majority are no quorum, even if each of them reaches a majority.
        let agreeing = core.iter().filter(|at| voters.contains(at)).count();
        if agreeing >= majority { core } else { Vec::new() }
    }

    /// The voters of the newest view that any running controller reports.
    fn find_voters(&mut self, now: u64) -> Vec<SocketAddr> {
        let mut newest = (0, self.voters.clone());
        for at in self.fleet.cluster.endpoints() {
            if self.frozen.get(&at).is_some_and(|until| *until > now) {
                continue;
            }
            let id = self.fleet.next_call();
            let Some(process) = self.fleet.cluster.process_mut(at) else { continue };
            let actions = process.controller.handle(now, Event::Call { id, call: Call::Status });
            let [Action::Answer { response, .. }] = &actions[..] else {
                panic!("a status call has one response")
            };
            let status = std::str::from_utf8(&response.body).expect("a status is text");
            let view = text_between(status, "\"view\":", ',').parse().expect("a number");
            if view > newest.0 {
                let voters = text_between(status, "\"voters\":[", ']');
                let voters = voters.split(',').filter(|voter| !voter.is_empty());
                let voters = voters.map(|voter| voter.trim_matches('"').parse().expect("an address"));
                newest = (view, voters.collect());
            }
        }
        newest.1
    }
}
