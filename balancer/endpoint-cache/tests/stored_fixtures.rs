//! The list of servers as it is kept on disk and told to neighbours: read, compared by every field, and written
//! as the same bytes again.

#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;

use std::net::{Ipv6Addr, SocketAddr};

use fixtures::fixture;
use whinspindle::host::EndpointState;
use whinspindle_endpoint_cache::{Ages, NeighbourMessage, Neighbours, Trust, encode, restore};
use whinspindle_protocol::endpoints::ListedServer;

const AGES: Ages = Ages { fresh: 10_000_000, old: 3_600_000_000 };
const AT: u64 = 1_800_000_000_123_456;
const GENERATION: u64 = 41_000;

/// What is kept: servers that are not gone and have an address.
fn kept() -> [ListedServer; 2] {
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

fn told() -> Vec<ListedServer> {
    let [first, second] = kept();
    let gone = ListedServer { name: "gone".to_string(), state: EndpointState::Gone, ..first.clone() };
    let lost = ListedServer { name: "lost".to_string(), address: None, ..second.clone() };
    vec![first, gone, second, lost]
}

/// Form, time, generation and how many servers there are, as numbers of seven bits to a byte, the lowest first.
fn head(bytes: &[u8]) -> [u64; 4] {
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
fn a_kept_list_is_read_and_written_as_the_same_bytes() {
    let bytes = fixture("list.bin", &encode(&told(), GENERATION, AT));
    assert_eq!(head(&bytes), [1, AT, GENERATION, 2], "format, time, generation, servers");
    for (age, trust) in [
        (AGES.fresh, Trust::Full),
        (AGES.fresh + 1, Trust::Doubted),
        (AGES.old, Trust::Doubted),
        (AGES.old + 1, Trust::Unverified),
    ] {
        let (update, told) = restore(&bytes, AT + age, &AGES).expect("a list");
        assert_eq!((told, update.generation, update.is_complete, update.errors.len()), (trust, 0, true, 0));
        let expected = kept().map(|server| match trust {
            Trust::Full => server,
            Trust::Doubted | Trust::Unverified => ListedServer { started_at: AT + age, ..server },
        });
        assert_eq!(update.servers, expected, "{age}");
        if trust == Trust::Full {
            assert_eq!(encode(&update.servers, GENERATION, AT), bytes);
        }
    }
}

#[test]
fn a_list_is_told_to_neighbours_as_the_same_bytes_and_taken_from_them() {
    let mut has = Neighbours::new(1, 2, AGES, 0, 0);
    has.told(0, &told());
    let ask = |has: &mut Neighbours, message: &NeighbourMessage| has.receive(0, 0, &message.to_bytes());
    let [NeighbourMessage::Has { name, length, .. }] = ask(&mut has, &NeighbourMessage::Ask)[..] else {
        panic!("it has a list")
    };
    let chunks = ask(&mut has, &NeighbourMessage::Fetch { name, from: 0 });
    let chunks = chunks.into_iter().flat_map(|message| match message {
        NeighbourMessage::Chunk { bytes, .. } => bytes,
        other => panic!("{other:?} is no chunk"),
    });
    let bytes = fixture("list-of-neighbours.bin", &chunks.collect::<Vec<u8>>());
    // Without its time and generation, in the order of the names.
    assert_eq!(head(&bytes), [1, 0, 0, 2], "format, time, generation, servers");
    assert_eq!(length as usize, bytes.len());
    assert_eq!(name, blake3::hash(&bytes).as_bytes()[..16]);
    let (update, _) = restore(&bytes, 0, &AGES).expect("a list");
    let [first, second] = kept();
    assert_eq!(update.servers, [second, first]);
}
