//! The client directory, which selects the balancers to which a client connects by its location.

use std::fmt::Write;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use bytes::Bytes;
use whinspindle_configuration::ServingRegions;
use whinspindle_registry::{Lease, LeaseTable};

/// The maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;
/// The minimum number of addresses that allows a client to switch to another balancer without another
/// directory request.
const MIN_ADDRESSES: usize = 2;
/// The time for which a client may cache a response, in seconds.
const TTL_S: u64 = 2;

/// The location of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLocation<'a> {
    /// The region of the client.
    pub region: &'a str,
    /// The zone of the client.
    pub zone: &'a str,
}

impl ClientLocation<'_> {
    /// Whether a balancer is in the client's region or zone. The zone may be missing from the settings.
    fn is_local(self, lease: &Lease) -> bool {
        lease.region == self.region || lease.zone == self.zone
    }
}

/// Selects the balancer addresses for a client. Balancers in the client's zone come first. If the zone has
/// fewer than [`MIN_ADDRESSES`], the whole region is used, and if the region has a single balancer, one of
/// another region is added. If the region has none, all permitted balancers are used.
///
/// Every address is in the client's region or zone, or in one of the host's regions. No other address is
/// returned, even if no balancer remains there: planned maintenance may have stopped them, and clients keep
/// using a response after the maintenance is over.
///
/// If the host's requests may not be served in the client's region, the client is directed to balancers in
/// the host's home regions. Each request would have to be forwarded there in any case, and the client may be
/// able to reach these regions even if its own region cannot.
pub fn addresses_for(
    leases: &LeaseTable,
    now: u64,
    client: ClientLocation<'_>,
    host_regions: &ServingRegions,
) -> Vec<SocketAddr> {
    if !host_regions.contains(client.region) {
        let home_leases =
            leases.presumed_live_leases(now).filter(|lease| host_regions.contains(&lease.region));
        let home_leases: Vec<&Lease> = accepting_leases(home_leases);
        if home_leases.len() >= MIN_ADDRESSES {
            return limit_addresses(front_addresses(&home_leases, |_| true), client);
        }
    }
    let is_permitted = |lease: &&Lease| client.is_local(lease) || host_regions.contains(&lease.region);
    let accepting = accepting_leases(leases.live_leases(now).filter(is_permitted));
    let zone_addresses = front_addresses(&accepting, |lease| lease.zone == client.zone);
    if zone_addresses.len() >= MIN_ADDRESSES {
        return limit_addresses(zone_addresses, client);
    }
    let local_addresses = front_addresses(&accepting, |lease| client.is_local(lease));
    match local_addresses.len() {
        0 => limit_addresses(front_addresses(&accepting, |_| true), client),
        1 => with_remote_address(local_addresses, &accepting, client),
        _ => limit_addresses(local_addresses, client),
    }
}

/// The body of the directory's response; none without addresses.
pub fn response_body(addresses: &[SocketAddr]) -> Option<Bytes> {
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

/// The leases of balancers that accept new clients, sorted by address.
fn accepting_leases<'a>(leases: impl Iterator<Item = &'a Lease>) -> Vec<&'a Lease> {
    let mut accepting: Vec<&Lease> = leases.filter(|lease| lease.ready && !lease.shutting_down).collect();
    accepting.sort_by_key(|lease| lease.front_address);
    accepting
}

fn front_addresses(leases: &[&Lease], is_selected: impl Fn(&Lease) -> bool) -> Vec<SocketAddr> {
    leases.iter().filter(|lease| is_selected(lease)).map(|lease| lease.front_address).collect()
}

/// Adds one balancer of another region. The choice depends on the client's zone: it is stable, so that
/// clients keep their connections, and it distributes zones over the balancers.
fn with_remote_address(
    mut addresses: Vec<SocketAddr>,
    accepting: &[&Lease],
    client: ClientLocation<'_>,
) -> Vec<SocketAddr> {
    let remote_addresses = front_addresses(accepting, |lease| !addresses.contains(&lease.front_address));
    if !remote_addresses.is_empty() {
        let zone_hash: usize = client.zone.bytes().map(usize::from).sum();
        addresses.push(remote_addresses[zone_hash % remote_addresses.len()]);
    }
    addresses
}

/// Limits the addresses to [`MAX_ADDRESSES`]. Each zone gets a subset by rendezvous hashing, which
/// distributes zones evenly over the balancers. The loss of a balancer changes only one address of a
/// response.
fn limit_addresses(mut addresses: Vec<SocketAddr>, client: ClientLocation<'_>) -> Vec<SocketAddr> {
    if addresses.len() > MAX_ADDRESSES {
        addresses.sort_by_cached_key(|address| rendezvous_rank(client.zone, address));
        addresses.truncate(MAX_ADDRESSES);
        addresses.sort();
    }
    addresses
}

/// The rank of an address for a zone. It is the same on all controllers that run the same build.
fn rendezvous_rank(zone: &str, address: &SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (zone, address).hash(&mut hasher);
    hasher.finish()
}
