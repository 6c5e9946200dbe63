//! The servers that the list names, and the small indices that stand for them. One that is gone is forgotten
//! once nothing in flight holds it, and its index stands for the next new one.

use std::collections::{BTreeSet, HashMap};

use whinspindle::host::{Endpoint, EndpointState};
use whinspindle_protocol::endpoints::{EndpointUpdate, ListedServer};

use crate::ServerProcess;

pub struct Servers {
    index: HashMap<String, usize>,
    known: Vec<Known>,
    free: Vec<usize>,
    /// How many processes of servers the list has named.
    processes: u64,
    zones: Vec<String>,
    kinds: Vec<String>,
    has_list: bool,
    /// Up to where discovery has counted.
    generation: u64,
    /// The keys of those that are let out by the fleet: to the decisions they drain, whatever the list says.
    taken_out: BTreeSet<u64>,
}

#[derive(Default)]
struct Known {
    name: String,
    process: Option<ServerProcess>,
    started_at: u64,
    ready: bool,
    gone: bool,
    /// As the list told it last.
    entry: Option<Endpoint>,
    /// Open queries that were sent to it, and probes that are out.
    references: usize,
}

/// The index of a name; one that is new gets the next.
fn index(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}

impl Servers {
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        let (index, known, free, taken_out) = Default::default();
        Servers { index, known, free, processes: 0, zones, kinds, has_list: false, generation: 0, taken_out }
    }

    /// Applies an update and turns it into endpoints for the decisions. Guards against a list that is older
    /// than what was told before, as from a discovery that is back from an earlier state: a server that was
    /// told to drain, and has not started anew, drains on.
    pub fn apply(&mut self, update: &EndpointUpdate) -> Vec<Endpoint> {
        let is_older = update.generation < self.generation;
        self.generation = update.generation;
        if update.is_complete {
            self.has_list = true;
            self.known.iter_mut().for_each(|known| (known.ready, known.gone) = (false, true));
        }
        let mut entries = Vec::with_capacity(update.servers.len());
        for listed in &update.servers {
            // Of one that was never known, nothing need be kept.
            if listed.state == EndpointState::Gone && !self.index.contains_key(&listed.name) {
                continue;
            }
            let server = self.index_of(&listed.name);
            let before = &self.known[server];
            let drains = before.entry.is_some_and(|entry| entry.state != EndpointState::Ready);
            let drains_on = is_older && drains && before.started_at == listed.started_at;
            let state = match listed.state {
                EndpointState::Ready if drains_on => EndpointState::Draining,
                told => told,
            };
            self.renew(server, listed, state);
            let entry = Endpoint {
                server,
                key: whinspindle_deployment_settings::server_key(listed.name.as_bytes()),
                zone: index(&mut self.zones, &listed.zone),
                cell: listed.cell,
                kind: index(&mut self.kinds, &listed.kind),
                state,
                relative_capacity: listed.relative_capacity,
                started_at: listed.started_at,
            };
            self.known[server].entry = Some(entry);
            entries.push(self.as_taken_out(entry));
        }
        entries
    }

    fn as_taken_out(&mut self, entry: Endpoint) -> Endpoint {
        let drains = entry.state == EndpointState::Ready && self.taken_out.contains(&entry.key);
        let known = &mut self.known[entry.server];
        known.ready = entry.state == EndpointState::Ready && !drains && known.process.is_some();
        if drains { Endpoint { state: EndpointState::Draining, ..entry } } else { entry }
    }

    /// The fleet has let these out; returns what that changes for the decisions.
    pub fn taken_out(&mut self, keys: &BTreeSet<u64>) -> Vec<Endpoint> {
        let before = std::mem::replace(&mut self.taken_out, keys.clone());
        let changed = |entry: &Endpoint| before.contains(&entry.key) != keys.contains(&entry.key);
        let listed = self.known.iter().filter(|known| !known.gone).filter_map(|known| known.entry);
        let entries: Vec<Endpoint> = listed.filter(changed).collect();
        entries.into_iter().map(|entry| self.as_taken_out(entry)).collect()
    }

    /// The whole list as it was told, to be kept.
    pub fn complete_list(&self) -> Vec<ListedServer> {
        let listed = self.known.iter().filter(|known| !known.gone);
        let listed = listed.filter_map(|known| {
            let entry = known.entry?;
            Some(ListedServer {
                name: known.name.clone(),
                zone: self.zones.get(entry.zone)?.clone(),
                kind: self.kinds.get(entry.kind).cloned().unwrap_or_default(),
                cell: entry.cell,
                relative_capacity: entry.relative_capacity,
                started_at: entry.started_at,
                state: entry.state,
                address: known.process.map(|process| process.address),
            })
        });
        listed.collect()
    }

    /// Those that the list names, as it told them last.
    pub fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.known.iter().filter(|known| !known.gone).filter_map(|known| known.entry.as_ref())
    }

    fn index_of(&mut self, name: &str) -> usize {
        if let Some(&server) = self.index.get(name) {
            return server;
        }
        let server = self.free.pop().unwrap_or_else(|| {
            self.known.push(Known::default());
            self.known.len() - 1
        });
        self.index.insert(name.to_string(), server);
        self.known[server] = Known { name: name.to_string(), ..Known::default() };
        server
    }

    fn renew(&mut self, server: usize, listed: &ListedServer, state: EndpointState) {
        let known = &mut self.known[server];
        if let Some(address) = listed.address
            && (known.process.is_none_or(|process| process.address != address)
                || known.started_at != listed.started_at)
        {
            self.processes += 1;
            known.process = Some(ServerProcess { address, process: self.processes });
        }
        known.started_at = listed.started_at;
        known.gone = state == EndpointState::Gone;
        known.ready = state == EndpointState::Ready && known.process.is_some();
    }

    /// Where to reach a server for something that holds it until `release`.
    pub fn acquire(&mut self, server: usize) -> Option<ServerProcess> {
        let known = self.known.get_mut(server)?;
        known.references += usize::from(known.process.is_some());
        known.process
    }

    pub fn release(&mut self, server: usize) {
        if let Some(known) = self.known.get_mut(server) {
            known.references = known.references.saturating_sub(1);
        }
    }

    /// Forgets one server that is gone and that nothing holds.
    pub fn forget_gone(&mut self) -> Option<usize> {
        let leaves = |known: &Known| known.gone && known.references == 0 && !known.name.is_empty();
        let server = self.known.iter().position(leaves)?;
        self.index.remove(&std::mem::take(&mut self.known[server].name));
        self.free.push(server);
        Some(server)
    }

    pub fn is_ready(&self, server: usize) -> bool {
        self.known.get(server).is_some_and(|known| known.ready)
    }

    pub fn has_list(&self) -> bool {
        self.has_list
    }
}
