//! Fixtures of the frame of datagrams, byte by byte: with and without a secret, in one part and in several.

#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;

use fixtures::fixture;
use whinspindle_peer_transport::{DroppedDatagrams, MAX_DATAGRAM_BYTES, PeerTransport};

const FROM: u16 = 258;
const TO: u16 = 3;
const MEMBERS: u16 = 300;
const START: u32 = 0x0a0b_0c0d;
/// Bytes before the message.
const HEADER_BYTES: usize = 17;
/// Bytes after the message.
const TAG_BYTES: usize = 12;

fn little_endian(bytes: &[u8]) -> u64 {
    bytes.iter().rev().fold(0, |value, byte| value << 8 | u64::from(*byte))
}

/// The expected tag, computed with the hash function directly instead of the code under test.
fn expected_tag(secret: &str, to: u16, frame: &[u8]) -> Vec<u8> {
    let key = blake3::derive_key("whinspindle datagrams between balancers, version 1", secret.as_bytes());
    let bytes = [&to.to_le_bytes(), frame].concat();
    blake3::keyed_hash(&key, &bytes).as_bytes()[..TAG_BYTES].to_vec()
}

#[test]
fn datagrams_in_one_and_several_parts_round_trip_through_their_fixtures() {
    let short: Vec<u32> = vec![0, 127, 128, 0xffff_ffff];
    let long: Vec<u32> = (0..400).collect();
    for (name, secret) in [("keyed", "a secret of members"), ("unkeyed", "")] {
        let mut from = PeerTransport::new(FROM, MEMBERS, "fixtures", secret, START, MAX_DATAGRAM_BYTES);
        let encoded = [from.encode(TO, &short), from.encode(TO, &long)];
        let bytes = encoded.each_ref().map(|datagrams| datagrams.concat());
        let single = fixture(&format!("datagram-{name}.bin"), &bytes[0]);
        let multipart = fixture(&format!("datagrams-{name}-in-parts.bin"), &bytes[1]);
        // Each datagram but the last has the largest size, so that the file can be split again.
        let parts: Vec<&[u8]> = multipart.chunks(MAX_DATAGRAM_BYTES).collect();
        assert!(single.len() < MAX_DATAGRAM_BYTES && parts.len() == 3, "{name}: {} parts", parts.len());
        let all = [single.as_slice()].into_iter().chain(parts.iter().copied());
        for (serial, datagram) in all.enumerate() {
            let (part, part_count) = if serial == 0 { (0, 1) } else { (serial - 1, parts.len()) };
            assert_eq!(
                datagram[..3],
                [1, part as u8, part_count as u8],
                "{name} {serial}: version, part, parts"
            );
            assert_eq!(datagram[3..7], blake3::hash(b"fixtures").as_bytes()[..4], "{name} {serial}: fleet");
            assert_eq!(little_endian(&datagram[7..9]), u64::from(FROM), "{name} {serial}: sender");
            assert_eq!(little_endian(&datagram[9..13]), u64::from(START), "{name} {serial}: start");
            assert_eq!(little_endian(&datagram[13..HEADER_BYTES]), serial as u64, "{name} {serial}: number");
            let (frame, tag) = datagram.split_at(datagram.len() - TAG_BYTES);
            assert_eq!(tag, expected_tag(secret, TO, frame), "{name} {serial}: tag");
        }
        // The length of the list and its four numbers, each as a varint.
        let payload = &single[HEADER_BYTES..single.len() - TAG_BYTES];
        assert_eq!(payload, [4, 0, 127, 128, 1, 255, 255, 255, 255, 15], "{name}");
        let mut to = PeerTransport::new(TO, MEMBERS, "fixtures", secret, 1, MAX_DATAGRAM_BYTES);
        assert_eq!(PeerTransport::claimed_sender(&single), Some(FROM));
        assert_eq!(to.receive(0, Some(FROM), &single), Some((FROM, short.clone())), "{name}");
        let (last, earlier) = parts.split_last().expect("parts");
        assert!(earlier.iter().all(|part| to.receive::<Vec<u32>>(0, Some(FROM), part).is_none()), "{name}");
        assert_eq!(to.receive(0, Some(FROM), last), Some((FROM, long.clone())), "{name}");
        assert_eq!(to.dropped, DroppedDatagrams::default(), "{name}");
        // A datagram is accepted only by the member that it is addressed to.
        let mut other = PeerTransport::new(TO + 1, MEMBERS, "fixtures", secret, 1, MAX_DATAGRAM_BYTES);
        assert_eq!(other.receive::<Vec<u32>>(0, Some(FROM), &single), None, "{name}");
        assert_eq!(
            other.dropped,
            DroppedDatagrams { wrong_mark: 1, ..DroppedDatagrams::default() },
            "{name}"
        );
    }
}
