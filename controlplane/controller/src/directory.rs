//! The directory: the addresses of balancers that a client is to connect to, by its location.

use std::fmt::Write;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use bytes::Bytes;
use whinspindle_configuration::ServingRegions;
use whinspindle_registry::{Lease, LeaseTable};

/// The largest number of addresses in an answer.
const MAX_ADDRESSES: usize = 64;
/// With fewer addresses a client whose balancer fails has no other one before its next request.
const MIN_ADDRESSES: usize = 2;
/// How long a client may cache an answer, in seconds.
const TTL_S: u64 = 2;

/// The location of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLocation<'a> {
    /// Its region.
    pub region: &'a str,
    /// Its zone.
    pub zone: &'a str,
}

impl ClientLocation<'_> {
    /// Whether a balancer is in the client's region or zone; the settings need not name that zone.
    fn is_local(self, lease: &Lease) -> bool {
        lease.region == self.region || lease.zone == self.zone
    }
}

/// Addresses for a client: those of its zone, else those of its region, else all. Where these are too few, others of the
/// region and then one of another region are added. None is ever outside of the client's region and the host's regions,
/// also if no others are left: planned work may have taken the rest, and answers outlast their cause.
///
/// A host whose requests may not be served in the client's region is reached at balancers of its home regions: each
/// request would have to go there in any case, and a client reaches them also where its own region does not.
pub fn addresses_for(
    leases: &LeaseTable,
    now: u64,
    client: ClientLocation<'_>,
    host_regions: &ServingRegions,
) -> Vec<SocketAddr> {
    if !host_regions.contains(client.region) {
        let homes = leases.presumed_live_leases(now).filter(|lease| host_regions.contains(&lease.region));
        let homes: Vec<&Lease> = open_in_order(homes);
        if homes.len() >= MIN_ADDRESSES {
            return limited(fronts(&homes, |_| true), client);
        }
    }
    let permitted = |lease: &&Lease| client.is_local(lease) || host_regions.contains(&lease.region);
    let open = open_in_order(leases.live_leases(now).filter(permitted));
    let zone = fronts(&open, |lease| lease.zone == client.zone);
    if zone.len() >= MIN_ADDRESSES {
        return limited(zone, client);
    }
    let region = fronts(&open, |lease| client.is_local(lease));
    match region.len() {
        0 => limited(fronts(&open, |_| true), client),
        1 => with_one_from_elsewhere(region, &open, client),
        _ => limited(region, client),
    }
}

/// The body of the answer; none without addresses.
pub fn answer(addresses: &[SocketAddr]) -> Option<Bytes> {
    if addresses.is_empty() {
        return None;
    }
    let mut body = String::from("{\"addrs\":[");
    for (position, address) in addresses.iter().enumerate() {
        let separator = if position == 0 { "" } else { "," };
        let _ = write!(body, "{separator}\"{address}\"");
    }
    let _ = write!(body, "],\"ttl_s\":{TTL_S}}}");
    Some(Bytes::from(body))
}

/// The balancers that take new clients, in a fixed order.
fn open_in_order<'a>(leases: impl Iterator<Item = &'a Lease>) -> Vec<&'a Lease> {
    let mut open: Vec<&Lease> = leases.filter(|lease| lease.ready && !lease.shutting_down).collect();
    open.sort_by_key(|lease| lease.front_address);
    open
}

fn fronts(open: &[&Lease], belongs: impl Fn(&Lease) -> bool) -> Vec<SocketAddr> {
    open.iter().filter(|lease| belongs(lease)).map(|lease| lease.front_address).collect()
}

/// Adds one balancer of another region. The choice is fixed for each zone, so that clients keep their connections, and
/// differs between zones.
fn with_one_from_elsewhere(
    mut addresses: Vec<SocketAddr>,
    open: &[&Lease],
    client: ClientLocation<'_>,
) -> Vec<SocketAddr> {
    let others = fronts(open, |lease| !addresses.contains(&lease.front_address));
    if !others.is_empty() {
        let spread: usize = client.zone.bytes().map(usize::from).sum();
        addresses.push(others[spread % others.len()]);
    }
    addresses
}

/// Limits the addresses to what an answer may hold. Each zone gets a subset by rendezvous hashing: zones use the balancers
/// evenly, and the loss of one changes a single address of an answer.
fn limited(mut addresses: Vec<SocketAddr>, client: ClientLocation<'_>) -> Vec<SocketAddr> {
    if addresses.len() > MAX_ADDRESSES {
        addresses.sort_by_cached_key(|address| rendezvous_rank(client.zone, address));
        addresses.truncate(MAX_ADDRESSES);
        addresses.sort();
    }
    addresses
}

/// The rank of an address for a zone; the same on every controller of a build.
fn rendezvous_rank(zone: &str, address: &SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (zone, address).hash(&mut hasher);
    hasher.finish()
}
