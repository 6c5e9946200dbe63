//! Fixtures of each message about endpoint lists. Each is decoded, compared by every field, and encoded to
//! the same bytes again. On the network they are the payload of the fleet policy's `Message::Opaque`.

#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;

use std::collections::BTreeSet;

use fixtures::fixture;
use whinspindle_endpoint_cache::NeighbourMessage;

/// The name of a kind's fixture. A new kind doesn't compile here until it has a name; it also needs a message
/// in the list below, and its file.
fn kind(message: &NeighbourMessage) -> &'static str {
    match message {
        NeighbourMessage::Ask => "ask",
        NeighbourMessage::Offer { .. } => "offer",
        NeighbourMessage::Fetch { .. } => "fetch",
        NeighbourMessage::Chunk { .. } => "chunk",
    }
}

/// The number of variants of `NeighbourMessage`.
const KIND_COUNT: u8 = 4;

fn messages() -> [NeighbourMessage; KIND_COUNT as usize] {
    let hash = |first: u8| std::array::from_fn(|at| first + at as u8);
    [
        NeighbourMessage::Ask,
        NeighbourMessage::Offer { hash: hash(0x10), length: 262_144, age_us: 3_600_000_001 },
        NeighbourMessage::Fetch { hash: hash(0x20), first_chunk: 300 },
        NeighbourMessage::Chunk { hash: hash(0x30), chunk: 301, bytes: (0..160).rev().collect() },
    ]
}

#[test]
fn each_message_round_trips_through_its_fixture() {
    let mut numbers = BTreeSet::new();
    for message in messages() {
        let name = format!("message-{}.bin", kind(&message));
        let bytes = fixture(&name, &message.to_bytes());
        let (read, rest) = postcard::take_from_bytes::<NeighbourMessage>(&bytes).expect("a message");
        assert_eq!((&read, rest.len()), (&message, 0), "{name}");
        assert_eq!(read.to_bytes(), bytes, "{name}");
        numbers.insert(bytes[0]);
    }
    // The first byte is the number of the kind. Followed by zeros, each known number decodes to a message,
    // and the next number does not.
    assert_eq!(numbers, (0..KIND_COUNT).collect());
    let zeros = |kind: u8| [&[kind], [0u8; 64].as_slice()].concat();
    assert!((0..KIND_COUNT).all(|kind| postcard::take_from_bytes::<NeighbourMessage>(&zeros(kind)).is_ok()));
    assert!(postcard::take_from_bytes::<NeighbourMessage>(&zeros(KIND_COUNT)).is_err());
}
