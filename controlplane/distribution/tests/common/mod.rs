//! Random messages.
#![allow(dead_code, reason = "each test file uses its share")]

use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use quickcheck::{Arbitrary, Gen};
use whinspindle_distribution::{
    Configured, ControllerAddress, Evacuations, Fleet, Gossip, GossipInstance, GossipLease, GossipScope,
    Hello, Instance, InstanceChanges, InstanceFailures, Instances, Link, RegionLoad, Report, Role,
    ServiceRegion, ToBalancer, Update, Versions,
};

/// A value that quickcheck draws.
#[derive(Clone, Debug)]
pub struct Any<T>(pub T);

/// How to draw a message.
pub trait Draw: Clone + std::fmt::Debug + 'static {
    fn draw(source: &mut Gen) -> Self;
}

impl<T: Draw> Arbitrary for Any<T> {
    fn arbitrary(source: &mut Gen) -> Self {
        Any(T::draw(source))
    }
}

pub fn address(source: &mut Gen) -> SocketAddr {
    SocketAddr::new(IpAddr::arbitrary(source), u16::arbitrary(source))
}

fn text(source: &mut Gen) -> String {
    String::arbitrary(source)
}

fn several<T>(source: &mut Gen, draw: impl Fn(&mut Gen) -> T) -> Vec<T> {
    let count = usize::arbitrary(source) % 5;
    (0..count).map(|_| draw(source)).collect()
}

fn option<T>(source: &mut Gen, draw: impl Fn(&mut Gen) -> T) -> Option<T> {
    bool::arbitrary(source).then(|| draw(source))
}

fn rate(source: &mut Gen) -> f64 {
    f64::from(u32::arbitrary(source)) / 16.0
}

fn load(source: &mut Gen) -> RegionLoad {
    let target = ServiceRegion { service: text(source), region: text(source) };
    RegionLoad { target, requests_per_s: rate(source) }
}

fn versions(source: &mut Gen) -> Versions {
    Versions {
        configured: u64::arbitrary(source),
        evacuations: u64::arbitrary(source),
        instances: u64::arbitrary(source),
        fleet: u64::arbitrary(source),
    }
}

fn instance(source: &mut Gen) -> Instance {
    Instance {
        id: text(source),
        service: text(source),
        address: address(source),
        zone: text(source),
        slots: u32::arbitrary(source),
        draining: bool::arbitrary(source),
        slow_start_ms: u64::arbitrary(source),
    }
}

fn controller(source: &mut Gen) -> ControllerAddress {
    ControllerAddress { endpoint: address(source), zone: text(source), region: text(source) }
}

impl Draw for Hello {
    fn draw(source: &mut Gen) -> Self {
        let role = if bool::arbitrary(source) { Role::Peer } else { Role::Balancer };
        Hello { role, endpoint: address(source) }
    }
}

impl Draw for Instances {
    fn draw(source: &mut Gen) -> Self {
        Instances { version: u64::arbitrary(source), list: several(source, instance) }
    }
}

impl Draw for InstanceChanges {
    fn draw(source: &mut Gen) -> Self {
        InstanceChanges {
            base: u64::arbitrary(source),
            version: u64::arbitrary(source),
            changed: several(source, instance),
            removed: several(source, text),
        }
    }
}

impl Draw for Update {
    fn draw(source: &mut Gen) -> Self {
        Update {
            configured: option(source, |source| Configured {
                sequence: u64::arbitrary(source),
                body: Bytes::from(Vec::<u8>::arbitrary(source)),
            }),
            evacuations: option(source, |source| Evacuations {
                sequence: u64::arbitrary(source),
                zones: several(source, text),
            }),
            instances: option(source, Instances::draw),
            fleet: option(source, |source| Fleet {
                version: u64::arbitrary(source),
                balancers: u32::arbitrary(source),
                loads: several(source, load),
                failing: several(source, text),
            }),
            changes: option(source, InstanceChanges::draw),
        }
    }
}

impl Draw for ToBalancer {
    fn draw(source: &mut Gen) -> Self {
        if bool::arbitrary(source) {
            return ToBalancer::Update(Update::draw(source));
        }
        ToBalancer::Link(Link {
            in_quorum: bool::arbitrary(source),
            shutting_down: bool::arbitrary(source),
            controllers: several(source, controller),
        })
    }
}

impl Draw for Report {
    fn draw(source: &mut Gen) -> Self {
        Report {
            node: text(source),
            incarnation: u64::arbitrary(source),
            zone: text(source),
            region: text(source),
            front: address(source),
            ready: bool::arbitrary(source),
            shutting_down: bool::arbitrary(source),
            applied: versions(source),
            sends: several(source, load),
            failing: several(source, failures),
        }
    }
}

impl Draw for Gossip {
    fn draw(source: &mut Gen) -> Self {
        let scopes =
            [GossipScope::Changes, GossipScope::Observed, GossipScope::Complete, GossipScope::Restored];
        Gossip {
            scope: *source.choose(&scopes).unwrap_or(&GossipScope::Changes),
            instances: several(source, gossip_instance),
            leases: several(source, gossip_lease),
        }
    }
}

fn gossip_instance(source: &mut Gen) -> GossipInstance {
    GossipInstance {
        id: text(source),
        service: text(source),
        address: address(source),
        zone: text(source),
        slots: u32::arbitrary(source),
        sequence: u64::arbitrary(source),
        draining: bool::arbitrary(source),
        deregistered: bool::arbitrary(source),
        slow_start_ms: u64::arbitrary(source),
        age_ms: u64::arbitrary(source),
    }
}

fn gossip_lease(source: &mut Gen) -> GossipLease {
    GossipLease {
        node: text(source),
        incarnation: u64::arbitrary(source),
        zone: text(source),
        region: text(source),
        front: address(source),
        ready: bool::arbitrary(source),
        shutting_down: bool::arbitrary(source),
        age_ms: u64::arbitrary(source),
        sends: several(source, load),
        failing: several(source, failures),
    }
}

fn failures(source: &mut Gen) -> InstanceFailures {
    InstanceFailures { id: text(source), failures: u32::arbitrary(source) }
}
