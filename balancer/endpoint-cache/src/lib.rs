//! The list of servers as a balancer had it last, and how far it is believed when the process starts again.
//! No I/O and no clock: bytes and times in, a list out. A list a few seconds old is taken nearly as told;
//! with an older one every server counts as cold until its answers and discovery say otherwise; what was
//! draining when it was saved gets nothing from either.

mod neighbours;
mod recovery;
mod startup_limit;

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use whinspindle::host::EndpointState;
use whinspindle_protocol::endpoints::{EndpointUpdate, ListedServer};

pub use neighbours::{NeighbourMessage, Neighbours};
pub use recovery::{RecoveryTracker, SecondSummary};
pub use startup_limit::StartupLimit;

/// Another number is another format, which is not read.
const FORMAT: u8 = 1;
/// More servers than this are not saved: the bytes are bounded.
pub const MAX_SERVERS: usize = 20_000;

/// Between which ages, in microseconds, a list is believed how far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ages {
    /// Up to this age it is taken as told.
    pub fresh: u64,
    /// Up to this age its servers are expected to be there, cold; beyond they are addresses to try.
    pub old: u64,
}

/// What is believed further comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trust {
    /// It is taken as it was listed.
    Full,
    /// All of it counts as cold.
    Doubted,
    /// The same, and few of it may be left: nothing is to be concluded from one that does not answer.
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

#[derive(Serialize, Deserialize)]
struct Saved {
    format: u8,
    /// Unix microseconds.
    at: u64,
    generation: u64,
    servers: Vec<SavedServer>,
}

#[derive(Serialize, Deserialize)]
struct SavedServer {
    name: String,
    zone: String,
    kind: String,
    cell: u64,
    size: f64,
    started_at: u64,
    draining: bool,
    address: SocketAddr,
}

/// What is kept of a list: those with an address that are not gone.
pub fn encode(servers: &[ListedServer], generation: u64, at: u64) -> Vec<u8> {
    let kept = servers.iter().filter(|listed| listed.state != EndpointState::Gone).take(MAX_SERVERS);
    let servers = kept.filter_map(|listed| {
        Some(SavedServer {
            name: listed.name.clone(),
            zone: listed.zone.clone(),
            kind: listed.kind.clone(),
            cell: listed.cell as u64,
            size: listed.relative_capacity,
            started_at: listed.started_at,
            draining: listed.state == EndpointState::Draining,
            address: listed.address?,
        })
    });
    let saved = Saved { format: FORMAT, at, generation, servers: servers.collect() };
    postcard::to_stdvec(&saved).unwrap_or_default()
}

/// What was saved, as a list to begin with; none if the bytes are no list of this format, or an empty one.
pub fn restore(bytes: &[u8], now: u64, ages: &Ages) -> Option<(EndpointUpdate, Trust)> {
    let saved = read(bytes)?;
    // Guards against a clock that was set back: a list of tomorrow has no age that can be known.
    let trust = match now.checked_sub(saved.at) {
        Some(age) if age <= ages.fresh => Trust::Full,
        Some(age) if age <= ages.old => Trust::Doubted,
        _ => Trust::Unverified,
    };
    Some((list(saved, trust, now), trust))
}

/// What `encode` made, believed so far.
fn decode(bytes: &[u8], trust: Trust, now: u64) -> Option<EndpointUpdate> {
    Some(list(read(bytes)?, trust, now))
}

fn read(bytes: &[u8]) -> Option<Saved> {
    let saved: Saved = postcard::from_bytes(bytes).ok()?;
    let well = saved.format == FORMAT && !saved.servers.is_empty() && saved.servers.len() <= MAX_SERVERS;
    well.then_some(saved)
}

fn list(saved: Saved, trust: Trust, now: u64) -> EndpointUpdate {
    let servers = saved.servers.into_iter().map(|kept| ListedServer {
        name: kept.name,
        zone: kept.zone,
        kind: kept.kind,
        cell: kept.cell as usize,
        relative_capacity: kept.size,
        started_at: if trust == Trust::Full { kept.started_at } else { now },
        state: if kept.draining { EndpointState::Draining } else { EndpointState::Ready },
        address: Some(kept.address),
    });
    let servers = servers.collect();
    // Discovery is asked for the whole list, whatever generation this one had.
    EndpointUpdate { generation: 0, is_complete: true, servers, errors: Vec::new() }
}
