//! Maps the servers of the endpoint list to small indices. The index of a gone server is reused once no query
//! or probe refers to it.

use std::collections::{BTreeSet, HashMap};

use whinspindle::host::{Endpoint, EndpointState};
use whinspindle_protocol::endpoints::{EndpointUpdate, ListedServer};

use crate::ServerProcess;

pub struct Servers {
    index_by_name: HashMap<String, usize>,
    servers: Vec<ServerState>,
    free_indices: Vec<usize>,
    /// Number of server processes seen so far.
    process_count: u64,
    zones: Vec<String>,
    kinds: Vec<String>,
    has_list: bool,
    /// Generation of the last update.
    generation: u64,
    /// Keys of the servers drained by the fleet. The decision logic treats them as draining, whatever the
    /// list says.
    drained: BTreeSet<u64>,
}

#[derive(Default)]
struct ServerState {
    name: String,
    process: Option<ServerProcess>,
    started_at: u64,
    is_ready: bool,
    is_gone: bool,
    /// The last entry in the endpoint list.
    entry: Option<Endpoint>,
    /// Number of open queries and probes that refer to the server.
    references: usize,
}

/// Index of a name, which is appended if it is new.
fn index_or_insert(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|server_state| server_state == name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}

impl Servers {
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        let (index_by_name, servers, free_indices, drained) = Default::default();
        Servers {
            index_by_name,
            servers,
            free_indices,
            process_count: 0,
            zones,
            kinds,
            has_list: false,
            generation: 0,
            drained,
        }
    }

    /// Applies an update and converts it to endpoints. If the update is older than the previous one, for
    /// example after discovery was restored from a backup, draining servers that have not restarted stay
    /// draining.
    pub fn apply(&mut self, update: &EndpointUpdate) -> Vec<Endpoint> {
        let is_older = update.generation < self.generation;
        self.generation = update.generation;
        if update.is_complete {
            self.has_list = true;
            self.servers
                .iter_mut()
                .for_each(|server_state| (server_state.is_ready, server_state.is_gone) = (false, true));
        }
        let mut entries = Vec::with_capacity(update.servers.len());
        for listed in &update.servers {
            // Gone servers that were never server_state are ignored.
            if listed.state == EndpointState::Gone && !self.index_by_name.contains_key(&listed.name) {
                continue;
            }
            let server = self.index_of(&listed.name);
            let previous = &self.servers[server];
            let was_draining = previous.entry.is_some_and(|entry| entry.state != EndpointState::Ready);
            let stays_draining = is_older && was_draining && previous.started_at == listed.started_at;
            let state = match listed.state {
                EndpointState::Ready if stays_draining => EndpointState::Draining,
                state => state,
            };
            self.update_state(server, listed, state);
            let entry = Endpoint {
                server,
                key: whinspindle_deployment_settings::server_key(listed.name.as_bytes()),
                zone: index_or_insert(&mut self.zones, &listed.zone),
                cell: listed.cell,
                kind: index_or_insert(&mut self.kinds, &listed.kind),
                state,
                relative_capacity: listed.relative_capacity,
                started_at: listed.started_at,
            };
            self.servers[server].entry = Some(entry);
            entries.push(self.apply_drain(entry));
        }
        entries
    }

    fn apply_drain(&mut self, entry: Endpoint) -> Endpoint {
        let drains = entry.state == EndpointState::Ready && self.drained.contains(&entry.key);
        let server_state = &mut self.servers[entry.server];
        server_state.is_ready =
            entry.state == EndpointState::Ready && !drains && server_state.process.is_some();
        if drains { Endpoint { state: EndpointState::Draining, ..entry } } else { entry }
    }

    /// Replaces the set of servers drained by the fleet and returns the changed endpoints.
    pub fn set_drained(&mut self, keys: &BTreeSet<u64>) -> Vec<Endpoint> {
        let before = std::mem::replace(&mut self.drained, keys.clone());
        let changed = |entry: &Endpoint| before.contains(&entry.key) != keys.contains(&entry.key);
        let listed = self
            .servers
            .iter()
            .filter(|server_state| !server_state.is_gone)
            .filter_map(|server_state| server_state.entry);
        let entries: Vec<Endpoint> = listed.filter(changed).collect();
        entries.into_iter().map(|entry| self.apply_drain(entry)).collect()
    }

    /// The complete endpoint list, without the drains of the fleet.
    pub fn endpoint_list(&self) -> Vec<ListedServer> {
        let listed = self.servers.iter().filter(|server_state| !server_state.is_gone);
        let listed = listed.filter_map(|server_state| {
            let entry = server_state.entry?;
            Some(ListedServer {
                name: server_state.name.clone(),
                zone: self.zones.get(entry.zone)?.clone(),
                kind: self.kinds.get(entry.kind).cloned().unwrap_or_default(),
                cell: entry.cell,
                relative_capacity: entry.relative_capacity,
                started_at: entry.started_at,
                state: entry.state,
                address: server_state.process.map(|process| process.address),
            })
        });
        listed.collect()
    }

    /// The listed servers, with their state in the endpoint list.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.servers
            .iter()
            .filter(|server_state| !server_state.is_gone)
            .filter_map(|server_state| server_state.entry.as_ref())
    }

    fn index_of(&mut self, name: &str) -> usize {
        if let Some(&server) = self.index_by_name.get(name) {
            return server;
        }
        let server = self.free_indices.pop().unwrap_or_else(|| {
            self.servers.push(ServerState::default());
            self.servers.len() - 1
        });
        self.index_by_name.insert(name.to_string(), server);
        self.servers[server] = ServerState { name: name.to_string(), ..ServerState::default() };
        server
    }

    fn update_state(&mut self, server: usize, listed: &ListedServer, state: EndpointState) {
        let server_state = &mut self.servers[server];
        if let Some(address) = listed.address
            && (server_state.process.is_none_or(|process| process.address != address)
                || server_state.started_at != listed.started_at)
        {
            self.process_count += 1;
            server_state.process = Some(ServerProcess { address, process: self.process_count });
        }
        server_state.started_at = listed.started_at;
        server_state.is_gone = state == EndpointState::Gone;
        server_state.is_ready = state == EndpointState::Ready && server_state.process.is_some();
    }

    /// Takes a reference to a server until `release` and returns its process.
    pub fn acquire(&mut self, server: usize) -> Option<ServerProcess> {
        let server_state = self.servers.get_mut(server)?;
        server_state.references += usize::from(server_state.process.is_some());
        server_state.process
    }

    pub fn release(&mut self, server: usize) {
        if let Some(server_state) = self.servers.get_mut(server) {
            server_state.references = server_state.references.saturating_sub(1);
        }
    }

    /// Frees the index of one gone server without references.
    pub fn release_gone(&mut self) -> Option<usize> {
        let is_unused = |server_state: &ServerState| {
            server_state.is_gone && server_state.references == 0 && !server_state.name.is_empty()
        };
        let server = self.servers.iter().position(is_unused)?;
        self.index_by_name.remove(&std::mem::take(&mut self.servers[server].name));
        self.free_indices.push(server);
        Some(server)
    }

    pub fn is_ready(&self, server: usize) -> bool {
        self.servers.get(server).is_some_and(|server_state| server_state.is_ready)
    }

    pub fn has_list(&self) -> bool {
        self.has_list
    }
}
