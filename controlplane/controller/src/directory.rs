//! Where clients connect: the balancers' addresses that a client of a place is told.

use std::fmt::Write;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use bytes::Bytes;
use whinspindle_configuration::ServingRegions;
use whinspindle_registry::{Lease, LeaseTable};

/// The most addresses of an answer.
const MAX_ADDRESSES: usize = 64;
/// With fewer addresses than this a client whose balancer fails has nowhere to go before its next question.
const MIN_ADDRESSES: usize = 2;
/// How long a client may keep an answer.
const TTL_S: u64 = 2;

/// Where a client stands.
#[derive(Clone, Copy, Debug)]
pub struct Place<'a> {
    pub region: &'a str,
    pub zone: &'a str,
}

impl Place<'_> {
    /// Whether a balancer stands in the client's region, as its own zone does, also one that the settings don't name.
    fn holds(self, lease: &Lease) -> bool {
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
    place: Place<'_>,
    host_regions: &ServingRegions,
) -> Vec<SocketAddr> {
    if !host_regions.contains(place.region) {
        let homes = leases.presumed(now).filter(|lease| host_regions.contains(&lease.region));
        let homes: Vec<&Lease> = open_in_order(homes);
        if homes.len() >= MIN_ADDRESSES {
            return bounded(fronts(&homes, |_| true), place);
        }
    }
    let permitted = |lease: &&Lease| place.holds(lease) || host_regions.contains(&lease.region);
    let open = open_in_order(leases.live(now).filter(permitted));
    let zone = fronts(&open, |lease| lease.zone == place.zone);
    if zone.len() >= MIN_ADDRESSES {
        return bounded(zone, place);
    }
    let region = fronts(&open, |lease| place.holds(lease));
    match region.len() {
        0 => bounded(fronts(&open, |_| true), place),
        1 => with_one_from_elsewhere(region, &open, place),
        _ => bounded(region, place),
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

/// Those that take new clients, in a fixed order.
fn open_in_order<'a>(leases: impl Iterator<Item = &'a Lease>) -> Vec<&'a Lease> {
    let mut open: Vec<&Lease> = leases.filter(|lease| lease.ready && !lease.shutting_down).collect();
    open.sort_by_key(|lease| lease.front);
    open
}

fn fronts(open: &[&Lease], belongs: impl Fn(&Lease) -> bool) -> Vec<SocketAddr> {
    open.iter().filter(|lease| belongs(lease)).map(|lease| lease.front).collect()
}

/// Each zone gets a fixed one of the others, so that clients keep their connections and zones choose differently.
fn with_one_from_elsewhere(
    mut addresses: Vec<SocketAddr>,
    open: &[&Lease],
    place: Place<'_>,
) -> Vec<SocketAddr> {
    let others = fronts(open, |lease| !addresses.contains(&lease.front));
    if !others.is_empty() {
        let spread: usize = place.zone.bytes().map(usize::from).sum();
        addresses.push(others[spread % others.len()]);
    }
    addresses
}

/// Where there are more addresses than an answer may name, each zone's clients are told others of them, chosen by
/// rendezvous hashing: zones share the balancers evenly, and one that goes changes a single address of an answer.
fn bounded(mut addresses: Vec<SocketAddr>, place: Place<'_>) -> Vec<SocketAddr> {
    if addresses.len() > MAX_ADDRESSES {
        addresses.sort_by_cached_key(|address| rendezvous_rank(place.zone, address));
        addresses.truncate(MAX_ADDRESSES);
        addresses.sort();
    }
    addresses
}

/// The same on every controller of a build.
fn rendezvous_rank(zone: &str, address: &SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (zone, address).hash(&mut hasher);
    hasher.finish()
}
