//! Faults of controllers: restarts, pauses, lost disks and partitions.

use std::net::SocketAddr;

use super::Deployment;
use crate::common::fleet::{SEEDS, endpoint};
use crate::common::rules::Rules;

/// Which other machines a controller is partitioned from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// The other controllers.
    Peers,
    /// Edge machines and upstreams.
    Clients,
    All,
    /// The other controllers, and every second edge machine and upstream. The remaining clients still reach
    /// it.
    Near,
}

/// The direction of a partition, seen from the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Both,
    Outward,
    Inward,
}

impl<R: Rules> Deployment<R> {
    pub fn start_controller(&mut self, at: SocketAddr) {
        if !self.fleet.cluster.is_running(at) {
            self.disturb_core();
            *self.incarnations.entry(at).or_insert(0) += 1;
            self.frozen.remove(&at);
            self.fleet.cluster.start(at);
        }
    }

    pub fn stop_controller(&mut self, at: SocketAddr) {
        self.disturb_core();
        self.fleet.cluster.stop(at);
    }

    /// Pauses a controller. If it is already paused, the pause is never shortened.
    pub fn freeze_controller(&mut self, at: SocketAddr, span_ms: u64) {
        self.disturb_core();
        let before = self.frozen.get(&at).copied().unwrap_or(0);
        let until = before.max(self.now() + span_ms);
        self.frozen.insert(at, until);
        self.thaws.entry(at).and_modify(|thaw| *thaw = until.max(*thaw)).or_insert(until);
        self.fleet.cluster.freeze(at, until);
    }

    /// Stops a controller and loses its disk.
    pub fn wipe_controller(&mut self, at: SocketAddr) {
        self.stop_controller(at);
        self.fleet.wipe(at);
        self.disks_lost.insert(at);
    }

    /// Removes a controller for good, and adds one at a new address with an empty disk.
    pub fn replace_controller(&mut self, at: SocketAddr, by: u8) {
        self.disturb_core();
        self.disks_lost.insert(at);
        self.fleet.cluster.remove(at);
        self.fleet.cluster.add(endpoint(by), false);
        self.start_controller(endpoint(by));
        let seeds: Vec<SocketAddr> = self.fleet.cluster.endpoints().into_iter().take(SEEDS).collect();
        self.edges.iter_mut().for_each(|edge| edge.seeds = seeds.clone());
    }

    pub fn partition_controller(&mut self, at: SocketAddr, reach: Reach, direction: Direction) {
        self.disturb_core();
        if reach != Reach::Clients {
            for other in self.fleet.cluster.endpoints().into_iter().filter(|other| *other != at) {
                for (from, to) in directed(at, other, direction) {
                    self.fleet.cluster.cut(from, to);
                }
            }
        }
        let addresses: Vec<SocketAddr> = self.client_addresses();
        let cut_off = addresses.into_iter().enumerate().filter(|(position, _)| match reach {
            Reach::Peers => false,
            Reach::Clients | Reach::All => true,
            Reach::Near => position % 2 == 0,
        });
        for (_, client) in cut_off {
            self.cuts.extend(directed(at, client, direction));
        }
    }

    /// Partitions the controllers whose bit in `half` is set from the others. All clients reach both halves.
    pub fn halve_controllers(&mut self, half: u64) {
        self.partition_where(|one, other| ((half >> one) ^ (half >> other)) & 1 == 1);
    }

    /// Partitions all controllers from each other. All clients reach all of them.
    pub fn scatter_controllers(&mut self) {
        self.partition_where(|_, _| true);
    }

    fn partition_where(&mut self, is_cut: impl Fn(usize, usize) -> bool) {
        self.disturb_core();
        let endpoints = self.fleet.cluster.endpoints();
        for (one, from) in endpoints.iter().enumerate() {
            for (other, to) in endpoints.iter().enumerate() {
                if one != other && is_cut(one, other) {
                    self.fleet.cluster.cut(*from, *to);
                }
            }
        }
    }

    /// Partitions an edge machine from a controller.
    pub fn partition_edge(&mut self, index: usize, at: SocketAddr, direction: Direction) {
        self.cuts.extend(directed(at, self.edges[index].address, direction));
    }

    pub fn heal_all(&mut self) {
        self.disturb_core();
        self.cuts.clear();
        self.fleet.cluster.heal_all();
    }

    fn client_addresses(&self) -> Vec<SocketAddr> {
        let edges = self.edges.iter().map(|edge| edge.address);
        edges.chain(self.upstreams.iter().map(|upstream| upstream.address)).collect()
    }
}

fn directed(at: SocketAddr, other: SocketAddr, direction: Direction) -> Vec<(SocketAddr, SocketAddr)> {
    match direction {
        Direction::Both => vec![(at, other), (other, at)],
        Direction::Outward => vec![(at, other)],
        Direction::Inward => vec![(other, at)],
    }
}
