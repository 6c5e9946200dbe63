//! Generators of random messages.
#![allow(dead_code, reason = "each test file uses a part of the generators")]

use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use quickcheck::{Arbitrary, Gen};
use whinspindle_distribution::{
    Configured, ControllerAddress, Evacuations, Fleet, Gossip, GossipInstance, GossipLease, GossipScope,
    Hello, Instance, InstanceChanges, InstanceFailures, Instances, Link, RegionLoad, Report, Role,
    ServiceRegion, ToBalancer, Update, Versions,
};

/// A random value that quickcheck generates.
#[derive(Clone, Debug)]
pub struct Random<T>(pub T);

/// A type of which random values can be generated.
pub trait Generate: Clone + std::fmt::Debug + 'static {
    fn generate(generator: &mut Gen) -> Self;
}

impl<T: Generate> Arbitrary for Random<T> {
    fn arbitrary(generator: &mut Gen) -> Self {
        Random(T::generate(generator))
    }
}

pub fn address(generator: &mut Gen) -> SocketAddr {
    SocketAddr::new(IpAddr::arbitrary(generator), u16::arbitrary(generator))
}

fn random_text(generator: &mut Gen) -> String {
    String::arbitrary(generator)
}

fn random_list<T>(generator: &mut Gen, generate: impl Fn(&mut Gen) -> T) -> Vec<T> {
    let count = usize::arbitrary(generator) % 5;
    (0..count).map(|_| generate(generator)).collect()
}

fn random_option<T>(generator: &mut Gen, generate: impl Fn(&mut Gen) -> T) -> Option<T> {
    bool::arbitrary(generator).then(|| generate(generator))
}

fn random_rate(generator: &mut Gen) -> f64 {
    f64::from(u32::arbitrary(generator)) / 16.0
}

fn random_load(generator: &mut Gen) -> RegionLoad {
    let target = ServiceRegion { service: random_text(generator), region: random_text(generator) };
    RegionLoad { target, requests_per_s: random_rate(generator) }
}

fn versions(generator: &mut Gen) -> Versions {
    Versions {
        configured: u64::arbitrary(generator),
        evacuations: u64::arbitrary(generator),
        instances: u64::arbitrary(generator),
        fleet: u64::arbitrary(generator),
    }
}

fn instance(generator: &mut Gen) -> Instance {
    Instance {
        id: random_text(generator),
        service: random_text(generator),
        address: address(generator),
        zone: random_text(generator),
        slots: u32::arbitrary(generator),
        draining: bool::arbitrary(generator),
        slow_start_ms: u64::arbitrary(generator),
    }
}

fn controller(generator: &mut Gen) -> ControllerAddress {
    ControllerAddress {
        endpoint: address(generator),
        zone: random_text(generator),
        region: random_text(generator),
    }
}

impl Generate for Hello {
    fn generate(generator: &mut Gen) -> Self {
        let role = if bool::arbitrary(generator) { Role::Peer } else { Role::Balancer };
        Hello { role, endpoint: address(generator) }
    }
}

impl Generate for Instances {
    fn generate(generator: &mut Gen) -> Self {
        Instances { version: u64::arbitrary(generator), list: random_list(generator, instance) }
    }
}

impl Generate for InstanceChanges {
    fn generate(generator: &mut Gen) -> Self {
        InstanceChanges {
            base: u64::arbitrary(generator),
            version: u64::arbitrary(generator),
            changed: random_list(generator, instance),
            removed: random_list(generator, random_text),
        }
    }
}

impl Generate for Update {
    fn generate(generator: &mut Gen) -> Self {
        Update {
            configured: random_option(generator, |generator| Configured {
                sequence: u64::arbitrary(generator),
                body: Bytes::from(Vec::<u8>::arbitrary(generator)),
            }),
            evacuations: random_option(generator, |generator| Evacuations {
                sequence: u64::arbitrary(generator),
                zones: random_list(generator, random_text),
            }),
            instances: random_option(generator, Instances::generate),
            fleet: random_option(generator, |generator| Fleet {
                version: u64::arbitrary(generator),
                balancers: u32::arbitrary(generator),
                loads: random_list(generator, random_load),
                failing: random_list(generator, random_text),
            }),
            changes: random_option(generator, InstanceChanges::generate),
        }
    }
}

impl Generate for ToBalancer {
    fn generate(generator: &mut Gen) -> Self {
        if bool::arbitrary(generator) {
            return ToBalancer::Update(Update::generate(generator));
        }
        ToBalancer::Link(Link {
            in_quorum: bool::arbitrary(generator),
            shutting_down: bool::arbitrary(generator),
            controllers: random_list(generator, controller),
        })
    }
}

impl Generate for Report {
    fn generate(generator: &mut Gen) -> Self {
        Report {
            node: random_text(generator),
            incarnation: u64::arbitrary(generator),
            zone: random_text(generator),
            region: random_text(generator),
            front: address(generator),
            ready: bool::arbitrary(generator),
            shutting_down: bool::arbitrary(generator),
            applied: versions(generator),
            sends: random_list(generator, random_load),
            failing: random_list(generator, failures),
        }
    }
}

impl Generate for Gossip {
    fn generate(generator: &mut Gen) -> Self {
        let scopes =
            [GossipScope::Changes, GossipScope::Observed, GossipScope::Complete, GossipScope::Restored];
        Gossip {
            scope: *generator.choose(&scopes).unwrap_or(&GossipScope::Changes),
            instances: random_list(generator, gossip_instance),
            leases: random_list(generator, gossip_lease),
        }
    }
}

fn gossip_instance(generator: &mut Gen) -> GossipInstance {
    GossipInstance {
        id: random_text(generator),
        service: random_text(generator),
        address: address(generator),
        zone: random_text(generator),
        slots: u32::arbitrary(generator),
        sequence: u64::arbitrary(generator),
        draining: bool::arbitrary(generator),
        deregistered: bool::arbitrary(generator),
        slow_start_ms: u64::arbitrary(generator),
        age_ms: u64::arbitrary(generator),
    }
}

fn gossip_lease(generator: &mut Gen) -> GossipLease {
    GossipLease {
        node: random_text(generator),
        incarnation: u64::arbitrary(generator),
        zone: random_text(generator),
        region: random_text(generator),
        front: address(generator),
        ready: bool::arbitrary(generator),
        shutting_down: bool::arbitrary(generator),
        age_ms: u64::arbitrary(generator),
        sends: random_list(generator, random_load),
        failing: random_list(generator, failures),
    }
}

fn failures(generator: &mut Gen) -> InstanceFailures {
    InstanceFailures { id: random_text(generator), failures: u32::arbitrary(generator) }
}
