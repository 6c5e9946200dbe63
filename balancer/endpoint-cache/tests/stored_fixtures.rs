//! Fixtures of the endpoint list as it is stored on disk and sent to neighbours. Each is decoded, compared by
//! every field, and encoded to the same bytes again.

#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;

use std::net::{Ipv6Addr, SocketAddr};

use fixtures::fixture;
use whinspindle::host::EndpointState;
use whinspindle_endpoint_cache::{AgeLimits, NeighbourExchange, NeighbourMessage, Trust, encode, restore};
use whinspindle_protocol::endpoints::ListedServer;

const AGE_LIMITS: AgeLimits = AgeLimits { fresh_us: 10_000_000, old_us: 3_600_000_000 };
const SAVED_AT_US: u64 = 1_800_000_000_123_456;
const GENERATION: u64 = 41_000;

/// The servers that are stored: those that have an address and are not gone.
fn stored_servers() -> [ListedServer; 2] {
    let six = Ipv6Addr::new(0x2001, 0xdb8, 0, 0, 0, 0, 0, 0x17);
    [
        ListedServer {
            name: "server-größer".to_string(),
            zone: "zone-b".to_string(),
            kind: "kind-large".to_string(),
            cell: 300,
            relative_capacity: 2.75,
            started_at: 1_799_000_000_654_321,
            state: EndpointState::Draining,
            address: Some(SocketAddr::from((six, 8443))),
        },
        ListedServer {
            name: "server-1".to_string(),
            zone: "zone-a".to_string(),
            kind: "kind-small".to_string(),
            cell: 7,
            relative_capacity: 0.1,
            started_at: 0,
            state: EndpointState::Ready,
            address: Some(SocketAddr::from(([192, 0, 2, 17], 80))),
        },
    ]
}

fn listed_servers() -> Vec<ListedServer> {
    let [first, second] = stored_servers();
    let gone = ListedServer { name: "gone".to_string(), state: EndpointState::Gone, ..first.clone() };
    let lost = ListedServer { name: "lost".to_string(), address: None, ..second.clone() };
    vec![first, gone, second, lost]
}

/// Reads the format version, time, generation and number of servers, which are encoded as varints.
fn header(bytes: &[u8]) -> [u64; 4] {
    let mut bytes = bytes.iter();
    let mut number = || {
        let mut number = 0;
        for (at, byte) in bytes.by_ref().enumerate() {
            number |= u64::from(byte & 127) << (7 * at);
            if byte & 128 == 0 {
                break;
            }
        }
        number
    };
    [number(), number(), number(), number()]
}

#[test]
fn stored_list_round_trips_through_its_fixture() {
    let bytes = fixture("list.bin", &encode(&listed_servers(), GENERATION, SAVED_AT_US));
    assert_eq!(header(&bytes), [1, SAVED_AT_US, GENERATION, 2], "format, time, generation, servers");
    for (age, trust) in [
        (AGE_LIMITS.fresh_us, Trust::Full),
        (AGE_LIMITS.fresh_us + 1, Trust::Doubted),
        (AGE_LIMITS.old_us, Trust::Doubted),
        (AGE_LIMITS.old_us + 1, Trust::Unverified),
    ] {
        let (update, restored_trust) = restore(&bytes, SAVED_AT_US + age, &AGE_LIMITS).expect("a list");
        assert_eq!(
            (restored_trust, update.generation, update.is_complete, update.errors.len()),
            (trust, 0, true, 0)
        );
        let expected = stored_servers().map(|server| match trust {
            Trust::Full => server,
            Trust::Doubted | Trust::Unverified => ListedServer { started_at: SAVED_AT_US + age, ..server },
        });
        assert_eq!(update.servers, expected, "{age}");
        if trust == Trust::Full {
            assert_eq!(encode(&update.servers, GENERATION, SAVED_AT_US), bytes);
        }
    }
}

#[test]
fn exchanged_list_round_trips_through_its_fixture() {
    let mut exchange = NeighbourExchange::new(1, 2, AGE_LIMITS, 0, 0);
    exchange.record_discovered(0, &listed_servers());
    let ask = |exchange: &mut NeighbourExchange, message: &NeighbourMessage| {
        exchange.receive(0, 0, &message.to_bytes())
    };
    let [NeighbourMessage::Offer { hash, length, .. }] = ask(&mut exchange, &NeighbourMessage::Ask)[..]
    else {
        panic!("it has a list")
    };
    let chunks = ask(&mut exchange, &NeighbourMessage::Fetch { hash, first_chunk: 0 });
    let chunks = chunks.into_iter().flat_map(|message| match message {
        NeighbourMessage::Chunk { bytes, .. } => bytes,
        other => panic!("{other:?} is no chunk"),
    });
    let bytes = fixture("list-of-neighbours.bin", &chunks.collect::<Vec<u8>>());
    // A list for neighbours has neither time nor generation, and its servers are sorted by name.
    assert_eq!(header(&bytes), [1, 0, 0, 2], "format, time, generation, servers");
    assert_eq!(length as usize, bytes.len());
    assert_eq!(hash, blake3::hash(&bytes).as_bytes()[..16]);
    let (update, _) = restore(&bytes, 0, &AGE_LIMITS).expect("a list");
    let [first, second] = stored_servers();
    assert_eq!(update.servers, [second, first]);
}
