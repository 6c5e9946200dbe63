//! The datagrams themselves, whatever they carry: what each byte of the frame is, with a secret and without, in
//! one part and in several.

#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;

use fixtures::fixture;
use whinspindle_peer_transport::{DroppedDatagrams, MAX_DATAGRAM_BYTES, PeerTransport};

const FROM: u16 = 258;
const TO: u16 = 3;
const MEMBERS: u16 = 300;
const START: u32 = 0x0a0b_0c0d;
/// Before the message and after it.
const HEADER_BYTES: usize = 17;
const TAG_BYTES: usize = 12;

fn number(bytes: &[u8]) -> u64 {
    bytes.iter().rev().fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// The tag by the published hash, not by the code that is under test.
fn tag(secret: &str, to: u16, framed: &[u8]) -> Vec<u8> {
    let key = blake3::derive_key("whinspindle datagrams between balancers, version 1", secret.as_bytes());
    let bytes = [&to.to_le_bytes(), framed].concat();
    blake3::keyed_hash(&key, &bytes).as_bytes()[..TAG_BYTES].to_vec()
}

#[test]
fn datagrams_of_one_part_and_of_several_are_read_and_written_as_the_same_bytes() {
    let short: Vec<u32> = vec![0, 127, 128, 0xffff_ffff];
    let long: Vec<u32> = (0..400).collect();
    for (name, secret) in [("keyed", "a secret of members"), ("unkeyed", "")] {
        let mut from = PeerTransport::new(FROM, MEMBERS, "fixtures", secret, START, MAX_DATAGRAM_BYTES);
        let written = [from.encode(TO, &short), from.encode(TO, &long)];
        let bytes = written.each_ref().map(|datagrams| datagrams.concat());
        let one = fixture(&format!("datagram-{name}.bin"), &bytes[0]);
        let several = fixture(&format!("datagrams-{name}-in-parts.bin"), &bytes[1]);
        // Each but the last is as long as one may be, so that they can be told apart again.
        let parts: Vec<&[u8]> = several.chunks(MAX_DATAGRAM_BYTES).collect();
        assert!(one.len() < MAX_DATAGRAM_BYTES && parts.len() == 3, "{name}: {} parts", parts.len());
        let all = [one.as_slice()].into_iter().chain(parts.iter().copied());
        for (serial, datagram) in all.enumerate() {
            let (part, of) = if serial == 0 { (0, 1) } else { (serial - 1, parts.len()) };
            assert_eq!(datagram[..3], [1, part as u8, of as u8], "{name} {serial}: version, part, parts");
            assert_eq!(datagram[3..7], blake3::hash(b"fixtures").as_bytes()[..4], "{name} {serial}: fleet");
            assert_eq!(number(&datagram[7..9]), u64::from(FROM), "{name} {serial}: sender");
            assert_eq!(number(&datagram[9..13]), u64::from(START), "{name} {serial}: start");
            assert_eq!(number(&datagram[13..HEADER_BYTES]), serial as u64, "{name} {serial}: number");
            let (framed, marked) = datagram.split_at(datagram.len() - TAG_BYTES);
            assert_eq!(marked, tag(secret, TO, framed), "{name} {serial}: tag");
        }
        // Four numbers, the first their count, each in as few bytes of seven bits as it needs.
        let payload = &one[HEADER_BYTES..one.len() - TAG_BYTES];
        assert_eq!(payload, [4, 0, 127, 128, 1, 255, 255, 255, 255, 15], "{name}");
        let mut to = PeerTransport::new(TO, MEMBERS, "fixtures", secret, 1, MAX_DATAGRAM_BYTES);
        assert_eq!(PeerTransport::claimed_sender(&one), Some(FROM));
        assert_eq!(to.receive(0, Some(FROM), &one), Some((FROM, short.clone())), "{name}");
        let (last, first) = parts.split_last().expect("parts");
        assert!(first.iter().all(|part| to.receive::<Vec<u32>>(0, Some(FROM), part).is_none()), "{name}");
        assert_eq!(to.receive(0, Some(FROM), last), Some((FROM, long.clone())), "{name}");
        assert_eq!(to.dropped, DroppedDatagrams::default(), "{name}");
        // Each is for one member alone.
        let mut other = PeerTransport::new(TO + 1, MEMBERS, "fixtures", secret, 1, MAX_DATAGRAM_BYTES);
        assert_eq!(other.receive::<Vec<u32>>(0, Some(FROM), &one), None, "{name}");
        assert_eq!(
            other.dropped,
            DroppedDatagrams { wrong_mark: 1, ..DroppedDatagrams::default() },
            "{name}"
        );
    }
}
