//! The stored copy of a balancer's endpoint list, and how far a restarted process trusts it.
//!
//! A list a few seconds old is used almost as it was. With an older list every server starts as cold until
//! discovery or the server's own answers report its state. A server that was draining when the list was saved
//! receives no new requests from either. The crate does no I/O and reads no clock.

mod neighbours;
mod recovery;
mod startup_limit;

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use whinspindle::host::EndpointState;
use whinspindle_protocol::endpoints::{EndpointUpdate, ListedServer};

pub use neighbours::{NeighbourExchange, NeighbourMessage};
pub use recovery::{RecoveryTracker, SecondSummary};
pub use startup_limit::StartupLimit;

/// The format version. A stored list with another version is ignored.
const FORMAT_VERSION: u8 = 1;
/// The largest number of servers that are stored, which bounds the size of the encoding.
pub const MAX_SERVERS: usize = 20_000;

/// The ages, in microseconds, that decide how far a stored list is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgeLimits {
    /// Up to this age a list is used as it was saved.
    pub fresh_us: u64,
    /// Up to this age the listed servers are expected to exist but count as cold. Beyond it they are only
    /// addresses to try.
    pub old_us: u64,
}

/// How far a list is trusted, the highest trust first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trust {
    /// The list is used as it was saved.
    Full,
    /// Every listed server counts as cold.
    Doubted,
    /// Every listed server counts as cold and may no longer exist, so a server that doesn't answer says
    /// nothing about the others.
    Unverified,
}

impl fmt::Display for Trust {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(match self {
            Trust::Full => "taken as told",
            Trust::Doubted => "its servers count as cold",
            Trust::Unverified => "old: addresses to try, cold",
        })
    }
}

/// The stored form of an endpoint list.
#[derive(Serialize, Deserialize)]
struct StoredList {
    format_version: u8,
    /// When the list was saved, in Unix microseconds.
    saved_at_us: u64,
    generation: u64,
    servers: Vec<StoredServer>,
}

#[derive(Serialize, Deserialize)]
struct StoredServer {
    name: String,
    zone: String,
    kind: String,
    pod: u64,
    size: f64,
    started_at: u64,
    is_draining: bool,
    address: SocketAddr,
}

/// Encodes the servers of a list that have an address and are not gone.
pub fn encode(servers: &[ListedServer], generation: u64, saved_at_us: u64) -> Vec<u8> {
    let stored = servers.iter().filter(|listed| listed.state != EndpointState::Gone).take(MAX_SERVERS);
    let servers = stored.filter_map(|listed| {
        Some(StoredServer {
            name: listed.name.clone(),
            zone: listed.zone.clone(),
            kind: listed.kind.clone(),
            pod: listed.cell as u64,
            size: listed.relative_capacity,
            started_at: listed.started_at,
            is_draining: listed.state == EndpointState::Draining,
            address: listed.address?,
        })
    });
    let list =
        StoredList { format_version: FORMAT_VERSION, saved_at_us, generation, servers: servers.collect() };
    postcard::to_stdvec(&list).unwrap_or_default()
}

/// Decodes a stored list for a process that starts at `now`, and decides how far it is trusted. Returns
/// `None` if the bytes are not a list of this format, or the list is empty.
pub fn restore(bytes: &[u8], now: u64, limits: &AgeLimits) -> Option<(EndpointUpdate, Trust)> {
    let list = decode(bytes)?;
    // Guards against a clock that was set back: the age of a list from the future is unknown.
    let trust = match now.checked_sub(list.saved_at_us) {
        Some(age) if age <= limits.fresh_us => Trust::Full,
        Some(age) if age <= limits.old_us => Trust::Doubted,
        _ => Trust::Unverified,
    };
    Some((to_update(list, trust, now), trust))
}

/// Decodes a list received from another balancer, with the given trust.
fn decode_update(bytes: &[u8], trust: Trust, now: u64) -> Option<EndpointUpdate> {
    Some(to_update(decode(bytes)?, trust, now))
}

fn decode(bytes: &[u8]) -> Option<StoredList> {
    let list: StoredList = postcard::from_bytes(bytes).ok()?;
    let is_valid = list.format_version == FORMAT_VERSION
        && !list.servers.is_empty()
        && list.servers.len() <= MAX_SERVERS;
    is_valid.then_some(list)
}

fn to_update(list: StoredList, trust: Trust, now: u64) -> EndpointUpdate {
    let servers = list.servers.into_iter().map(|stored| ListedServer {
        name: stored.name,
        zone: stored.zone,
        kind: stored.kind,
        cell: stored.pod as usize,
        relative_capacity: stored.size,
        started_at: if trust == Trust::Full { stored.started_at } else { now },
        state: if stored.is_draining { EndpointState::Draining } else { EndpointState::Ready },
        address: Some(stored.address),
    });
    let servers = servers.collect();
    // Generation 0 makes discovery send the whole list, whatever the generation of the stored one.
    EndpointUpdate { generation: 0, is_complete: true, servers, errors: Vec::new() }
}
