//! Discovery of one tier: the list, its generations, what has changed since one of them, and how it misleads.

use std::collections::{BTreeMap, VecDeque};

use whinspindle::host::EndpointState;
use whinspindle_lab_scenario::Scenario;

/// Generations that are kept; who asks from an older one is told the whole list.
const KEPT: usize = 256;

/// One line of the list. `server` is the number of the process: a replacement has a new one.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    pub server: usize,
    pub zone: usize,
    pub kind: usize,
    pub cell: usize,
    pub standing: EndpointState,
    pub size: f64,
    /// 0: long ago.
    pub started_at: u64,
    /// The machine that it listens on.
    pub place: usize,
}

/// Where a machine stands, and what it is.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub place: usize,
    pub zone: usize,
    pub kind: usize,
    pub cell: usize,
}

impl Listing {
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

#[derive(Clone, Debug)]
pub struct News {
    pub generation: u64,
    pub whole: bool,
    pub listings: Vec<Listing>,
}

#[derive(Default)]
pub struct Registry {
    generation: u64,
    listed: BTreeMap<usize, Listing>,
    /// The server of each change and when it came, the last one with the present generation.
    changes: VecDeque<(u64, Listing)>,
    pub silent: bool,
    /// Further delay of what it tells.
    pub late: u64,
    /// Part of the servers that it leaves out.
    pub forgets: f64,
}

impl Registry {
    pub fn generation(&self) -> u64 {
        self.generation
    }

    pub fn get(&self, server: usize) -> Option<&Listing> {
        self.listed.get(&server)
    }

    /// A server joins, changes, or is gone.
    pub fn set(&mut self, now: u64, listing: Listing) {
        self.generation += 1;
        if self.changes.len() >= KEPT {
            self.changes.pop_front();
        }
        self.changes.push_back((now, listing.clone()));
        if listing.standing == EndpointState::Gone {
            self.listed.remove(&listing.server);
        } else {
            self.listed.insert(listing.server, listing);
        }
    }

    fn forgotten(&self, server: usize) -> bool {
        let part = |n: usize| (n as f64 * self.forgets).floor();
        part(server + 1) > part(server)
    }

    pub fn whole(&self) -> News {
        let listings = self.listed.values().filter(|listing| !self.forgotten(listing.server)).cloned();
        News { generation: self.generation, whole: true, listings: listings.collect() }
    }

    /// What has changed since a generation, or the whole list if that is no longer known or some is left out.
    pub fn since(&self, generation: u64) -> News {
        let missing = self.generation.saturating_sub(generation) as usize;
        if missing > self.changes.len() || self.forgets > 0.0 || generation > self.generation {
            return self.whole();
        }
        // The last word on each server counts.
        let mut last = BTreeMap::new();
        for (_, listing) in self.changes.iter().skip(self.changes.len() - missing) {
            last.insert(listing.server, listing.clone());
        }
        News { generation: self.generation, whole: false, listings: last.into_values().collect() }
    }

    /// The list as it was at a time, as far as the changes kept can tell.
    pub fn as_of(&self, at: u64) -> News {
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
        News { generation, whole: true, listings: listed.into_values().collect() }
    }
}
