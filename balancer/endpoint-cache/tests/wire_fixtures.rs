//! Each message that neighbours say to one another of the list: read, compared by every field, and written as the
//! same bytes again. They go as the bytes of a message of the policy's members.

#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;

use std::collections::BTreeSet;

use fixtures::fixture;
use whinspindle_endpoint_cache::NeighbourMessage;

/// The name of a kind's fixture. With a kind that is new this does not compile: it needs a name, a message in the
/// list below, and its file.
fn kind(message: &NeighbourMessage) -> &'static str {
    match message {
        NeighbourMessage::Ask => "ask",
        NeighbourMessage::Offer { .. } => "has",
        NeighbourMessage::Fetch { .. } => "fetch",
        NeighbourMessage::Chunk { .. } => "piece",
    }
}

/// So many kinds there are.
const KINDS: u8 = 4;

fn messages() -> [NeighbourMessage; KINDS as usize] {
    let name = |first: u8| std::array::from_fn(|at| first + at as u8);
    [
        NeighbourMessage::Ask,
        NeighbourMessage::Offer { name: name(0x10), length: 262_144, age_us: 3_600_000_001 },
        NeighbourMessage::Fetch { name: name(0x20), first_chunk: 300 },
        NeighbourMessage::Chunk { name: name(0x30), chunk: 301, bytes: (0..160).rev().collect() },
    ]
}

#[test]
fn each_message_is_read_and_written_as_the_same_bytes() {
    let mut numbers = BTreeSet::new();
    for message in messages() {
        let name = format!("word-{}.bin", kind(&message));
        let bytes = fixture(&name, &message.to_bytes());
        let (read, rest) = postcard::take_from_bytes::<NeighbourMessage>(&bytes).expect("a message");
        assert_eq!((&read, rest.len()), (&message, 0), "{name}");
        assert_eq!(read.to_bytes(), bytes, "{name}");
        numbers.insert(bytes[0]);
    }
    // The first byte is the number of the kind; with zeros for what follows each is a message, and none is beyond.
    assert_eq!(numbers, (0..KINDS).collect());
    let zeros = |kind: u8| [&[kind], [0u8; 64].as_slice()].concat();
    assert!((0..KINDS).all(|kind| postcard::take_from_bytes::<NeighbourMessage>(&zeros(kind)).is_ok()));
    assert!(postcard::take_from_bytes::<NeighbourMessage>(&zeros(KINDS)).is_err());
}
