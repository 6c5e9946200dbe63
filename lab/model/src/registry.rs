//! Discovery of one tier: the endpoint list with its generations and changes, and the faults of discovery.

use std::collections::{BTreeMap, VecDeque};

use whinspindle::host::EndpointState;
use whinspindle_lab_scenario::Scenario;

/// Changes that are kept: a balancer with an older generation gets the full list.
const MAX_CHANGES: usize = 256;

/// One entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The number of the process: a replacement has a new one.
    pub server: usize,
    /// The machine's zone.
    pub zone: usize,
    /// The number of the kind of machine.
    pub kind: usize,
    /// The number of its cell.
    pub cell: usize,
    /// Whether it takes queries.
    pub standing: EndpointState,
    /// The capacity that the list states.
    pub size: f64,
    /// When the process started; 0 means long ago.
    pub started_at: u64,
    /// The machine that it listens on.
    pub place: usize,
}

/// Where a machine is, and of which kind.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// The number of the machine in its tier.
    pub place: usize,
    /// Its zone.
    pub zone: usize,
    /// The number of its kind.
    pub kind: usize,
    /// The number of its cell.
    pub cell: usize,
}

impl Listing {
    /// The entry of a process on a machine.
    pub fn new(
        scenario: &Scenario,
        site: Site,
        server: usize,
        standing: EndpointState,
        started_at: u64,
    ) -> Self {
        let Site { place, zone, kind, cell } = site;
        Listing { server, zone, kind, cell, standing, size: scenario.kinds[kind].listed, started_at, place }
    }
}

/// What a balancer receives: the full list, or changes since the generation that it has.
#[derive(Clone, Debug)]
pub struct ListUpdate {
    /// The generation that the balancer has after it.
    pub generation: u64,
    /// Whether servers that it lacks are gone.
    pub is_full: bool,
    /// The entries, by the number of the server.
    pub listings: Vec<Listing>,
}

/// The registry of one tier.
#[derive(Default)]
pub struct Registry {
    generation: u64,
    listed: BTreeMap<usize, Listing>,
    /// Each change and its time; the last one made the present generation.
    changes: VecDeque<(u64, Listing)>,
    /// Whether it answers nothing.
    pub silent: bool,
    /// Additional delay of its updates.
    pub delay: u64,
    /// The share of the servers that it leaves out.
    pub omitted_share: f64,
}

impl Registry {
    /// The present generation: the number of changes.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The entry of a server that is listed.
    pub fn get(&self, server: usize) -> Option<&Listing> {
        self.listed.get(&server)
    }

    /// Adds, changes, or, if its state is gone, removes a server.
    pub fn set(&mut self, now: u64, listing: Listing) {
        self.generation += 1;
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((now, listing.clone()));
        if listing.standing == EndpointState::Gone {
            self.listed.remove(&listing.server);
        } else {
            self.listed.insert(listing.server, listing);
        }
    }

    fn is_omitted(&self, server: usize) -> bool {
        let part = |n: usize| (n as f64 * self.omitted_share).floor();
        part(server + 1) > part(server)
    }

    /// The full list, without the servers that are left out.
    pub fn full_list(&self) -> ListUpdate {
        let listings = self.listed.values().filter(|listing| !self.is_omitted(listing.server)).cloned();
        ListUpdate { generation: self.generation, is_full: true, listings: listings.collect() }
    }

    /// What has changed since a generation, or the full list if that is no longer known or servers are left out.
    pub fn since(&self, generation: u64) -> ListUpdate {
        let missing = self.generation.saturating_sub(generation) as usize;
        if missing > self.changes.len() || self.omitted_share > 0.0 || generation > self.generation {
            return self.full_list();
        }
        // Only the last change of each server counts.
        let mut last = BTreeMap::new();
        for (_, listing) in self.changes.iter().skip(self.changes.len() - missing) {
            last.insert(listing.server, listing.clone());
        }
        ListUpdate { generation: self.generation, is_full: false, listings: last.into_values().collect() }
    }

    /// The list as it was at a time, as far as the changes kept can tell.
    pub fn as_of(&self, at: u64) -> ListUpdate {
        let mut listed = self.listed.clone();
        let mut generation = self.generation;
        let later: Vec<&(u64, Listing)> = self.changes.iter().filter(|(when, _)| *when > at).collect();
        generation -= later.len() as u64;
        for (_, listing) in &later {
            listed.remove(&listing.server);
        }
        for (_, listing) in self.changes.iter().filter(|(when, _)| *when <= at) {
            if later.iter().any(|(_, l)| l.server == listing.server) {
                if listing.standing == EndpointState::Gone {
                    listed.remove(&listing.server);
                } else {
                    listed.insert(listing.server, listing.clone());
                }
            }
        }
        ListUpdate { generation, is_full: true, listings: listed.into_values().collect() }
    }
}
