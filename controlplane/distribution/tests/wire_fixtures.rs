//! Compatibility tests with stored messages and frames of earlier releases. Each is decoded to the expected
//! message, and the message is encoded to the same bytes.

#[path = "../../../coordination/replica/tests/fixtures/mod.rs"]
mod fixtures;

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::net::SocketAddr;

use bytes::Bytes;
use whinspindle_distribution::frame::{FrameBuffer, FrameDecoder, FrameKind};
use whinspindle_distribution::{
    Configured, ControllerAddress, Evacuations, Fleet, Gossip, GossipInstance, GossipLease, GossipScope,
    Hello, Instance, InstanceChanges, InstanceFailures, Instances, Link, RegionLoad, Report, Role,
    ServiceRegion, ToBalancer, Update, Versions, decode_gossip, decode_hello, decode_report,
    decode_to_balancer, encode_gossip, encode_hello, encode_report, encode_to_balancer,
};

fn ipv4_address() -> SocketAddr {
    "10.1.2.3:7700".parse().unwrap()
}

fn ipv6_address() -> SocketAddr {
    "[2001:db8::5:6]:7701".parse().unwrap()
}

/// Checks that the fixture is decoded to the message, and that the message is encoded to the bytes of the
/// fixture.
fn check_fixture<T: Debug + PartialEq, E: Debug>(
    name: &str,
    message: &T,
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> Result<T, E>,
) {
    let stored = fixtures::read(&format!("{name}.bin"), &encode(message));
    let decoded = decode(&stored).expect(name);
    assert_eq!(&decoded, message, "{name}");
    assert_eq!(encode(&decoded), stored, "{name}");
}

fn loads() -> Vec<RegionLoad> {
    let load = |service: &str, region: &str, requests_per_s| RegionLoad {
        target: ServiceRegion { service: service.to_owned(), region: region.to_owned() },
        requests_per_s,
    };
    vec![load("desk", "north", 12.625), load("modèle", "south", 0.1)]
}

fn failing() -> Vec<InstanceFailures> {
    let failures = |id: &str, failures| InstanceFailures { id: id.to_owned(), failures };
    vec![failures("desk-1", 3), failures("desk-2", u32::MAX)]
}

fn instances() -> Vec<Instance> {
    let ready = Instance {
        id: "desk-1".to_owned(),
        service: "desk".to_owned(),
        address: ipv4_address(),
        zone: "zone-a".to_owned(),
        slots: 6,
        draining: false,
        slow_start_ms: 2_500,
    };
    let draining = Instance {
        id: "model-7".to_owned(),
        service: "modèle".to_owned(),
        address: ipv6_address(),
        zone: "zone-c".to_owned(),
        slots: u32::MAX,
        draining: true,
        slow_start_ms: u64::MAX,
    };
    vec![ready, draining, Instance::ended("desk-9".to_owned())]
}

const ROLE_COUNT: usize = 2;

fn role_index(hello: &Hello) -> usize {
    let Hello { role, endpoint: _ } = hello;
    match role {
        Role::Peer => 0,
        Role::Balancer => 1,
    }
}

#[test]
fn hello_encoding_is_stable() {
    let hellos = [
        ("hello-peer", Hello { role: Role::Peer, endpoint: ipv4_address() }),
        ("hello-balancer", Hello { role: Role::Balancer, endpoint: ipv6_address() }),
    ];
    let roles: BTreeSet<usize> = hellos.iter().map(|(_, hello)| role_index(hello)).collect();
    assert_eq!(roles, (0..ROLE_COUNT).collect());
    for (name, hello) in &hellos {
        check_fixture(name, hello, encode_hello, decode_hello);
    }
}

fn link() -> Link {
    let controller = |endpoint, zone: &str, region: &str| ControllerAddress {
        endpoint,
        zone: zone.to_owned(),
        region: region.to_owned(),
    };
    let controllers =
        vec![controller(ipv4_address(), "zone-a", "north"), controller(ipv6_address(), "zone-c", "south")];
    Link { in_quorum: true, shutting_down: false, controllers }
}

fn update() -> Update {
    let body = Bytes::from_static(b"{\"generation\": 7,  \"routes\": []}\n");
    Update {
        configured: Some(Configured { sequence: 901, body }),
        evacuations: Some(Evacuations {
            sequence: 902,
            zones: vec!["zone-a".to_owned(), "zone-ü".to_owned()],
        }),
        instances: Some(Instances { version: 31, list: instances() }),
        fleet: Some(Fleet {
            version: 17,
            balancers: 5,
            loads: loads(),
            failing: vec!["desk-1".to_owned(), "desk-2".to_owned()],
        }),
        changes: Some(InstanceChanges {
            base: 29,
            version: 30,
            changed: instances(),
            removed: vec!["desk-3".to_owned(), "desk-4".to_owned()],
        }),
    }
}

const TO_BALANCER_KIND_COUNT: usize = 2;

fn to_balancer_kind_index(message: &ToBalancer) -> usize {
    match message {
        ToBalancer::Update(Update { configured: _, evacuations: _, instances: _, fleet: _, changes: _ }) => 0,
        ToBalancer::Link(Link { in_quorum: _, shutting_down: _, controllers: _ }) => 1,
    }
}

#[test]
fn to_balancer_encoding_is_stable() {
    let empty = Update {
        configured: Some(Configured { sequence: 1, body: Bytes::new() }),
        evacuations: Some(Evacuations::default()),
        ..Update::default()
    };
    let messages = [
        ("to-balancer-update", ToBalancer::Update(update())),
        ("to-balancer-update-sections-empty", ToBalancer::Update(empty)),
        ("to-balancer-update-sections-absent", ToBalancer::Update(Update::default())),
        ("to-balancer-link", ToBalancer::Link(link())),
        ("to-balancer-link-leaving", ToBalancer::Link(Link { shutting_down: true, ..Link::default() })),
    ];
    let kinds: BTreeSet<usize> =
        messages.iter().map(|(_, message)| to_balancer_kind_index(message)).collect();
    assert_eq!(kinds, (0..TO_BALANCER_KIND_COUNT).collect());
    for (name, message) in &messages {
        check_fixture(name, message, encode_to_balancer, decode_to_balancer);
    }
}

#[test]
fn report_encoding_is_stable() {
    let report = Report {
        node: "edge-1".to_owned(),
        incarnation: 0x0102_0304_0506_0708,
        zone: "zone-a".to_owned(),
        region: "north".to_owned(),
        front: ipv4_address(),
        ready: true,
        shutting_down: false,
        applied: Versions { configured: 901, evacuations: 902, instances: 31, fleet: 17 },
        sends: loads(),
        failing: failing(),
    };
    check_fixture("report", &report, encode_report, decode_report);
    let shutting_down = Report {
        node: "edge-2".to_owned(),
        incarnation: 2,
        zone: "zone-c".to_owned(),
        region: "south".to_owned(),
        front: ipv6_address(),
        ready: false,
        shutting_down: true,
        applied: Versions::default(),
        sends: Vec::new(),
        failing: Vec::new(),
    };
    check_fixture("report-leaving", &shutting_down, encode_report, decode_report);
}

fn gossip(scope: GossipScope) -> Gossip {
    let instance = |id: &str, address, draining, deregistered, sequence| GossipInstance {
        id: id.to_owned(),
        service: "desk".to_owned(),
        address,
        zone: "zone-a".to_owned(),
        slots: 6,
        sequence,
        draining,
        deregistered,
        slow_start_ms: 2_500,
        age_ms: 125,
    };
    let lease = |node: &str, front, ready, shutting_down, incarnation| GossipLease {
        node: node.to_owned(),
        incarnation,
        zone: "zone-c".to_owned(),
        region: "south".to_owned(),
        front,
        ready,
        shutting_down,
        age_ms: 375,
        sends: loads(),
        failing: failing(),
    };
    Gossip {
        scope,
        instances: vec![
            instance("desk-1", ipv4_address(), true, false, 0x0102_0304_0506_0708),
            instance("desk-2", ipv6_address(), false, true, 9),
        ],
        leases: vec![
            lease("edge-1", ipv4_address(), true, false, 0x1112_1314_1516_1718),
            lease("edge-2", ipv6_address(), false, true, 2),
        ],
    }
}

const SCOPE_COUNT: usize = 4;

fn scope_index(gossip: &Gossip) -> usize {
    let Gossip { scope, instances: _, leases: _ } = gossip;
    match scope {
        GossipScope::Changes => 0,
        GossipScope::Observed => 1,
        GossipScope::Complete => 2,
        GossipScope::Restored => 3,
    }
}

#[test]
fn gossip_encoding_is_stable() {
    let gossips = [
        ("gossip-changes", gossip(GossipScope::Changes)),
        ("gossip-heard", gossip(GossipScope::Observed)),
        ("gossip-complete", gossip(GossipScope::Complete)),
        ("gossip-recalled", gossip(GossipScope::Restored)),
    ];
    let scopes: BTreeSet<usize> = gossips.iter().map(|(_, gossip)| scope_index(gossip)).collect();
    assert_eq!(scopes, (0..SCOPE_COUNT).collect());
    for (name, gossip) in &gossips {
        check_fixture(name, gossip, encode_gossip, decode_gossip);
    }
}

const FRAME_KIND_COUNT: usize = 5;

fn frame_kind_index(kind: FrameKind) -> usize {
    match kind {
        FrameKind::Hello => 0,
        FrameKind::Replica => 1,
        FrameKind::Gossip => 2,
        FrameKind::Report => 3,
        FrameKind::ToBalancer => 4,
    }
}

#[test]
fn frame_encoding_is_stable() {
    let frames: [(FrameKind, &[u8]); FRAME_KIND_COUNT] = [
        (FrameKind::Hello, b"a hello"),
        (FrameKind::Replica, b""),
        (FrameKind::Gossip, &[0xff; 300]),
        (FrameKind::Report, b"\x00\x01\x02"),
        (FrameKind::ToBalancer, b"an update"),
    ];
    let kinds: BTreeSet<usize> = frames.iter().map(|(kind, _)| frame_kind_index(*kind)).collect();
    assert_eq!(kinds, (0..FRAME_KIND_COUNT).collect());
    let mut buffer = FrameBuffer::default();
    for (kind, payload) in frames {
        buffer.push(kind, payload).unwrap();
    }
    let stored = fixtures::read("frames.bin", buffer.as_slice());
    assert_eq!(buffer.as_slice(), stored);
    let mut decoder = FrameDecoder::default();
    decoder.extend(&stored);
    for (kind, payload) in frames {
        let frame = decoder.next_frame().unwrap().expect("a further frame");
        assert_eq!((frame.kind, &frame.payload[..]), (kind, payload));
    }
    assert_eq!(decoder.next_frame().unwrap(), None);
}
