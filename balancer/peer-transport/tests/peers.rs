//! Which datagrams are accepted, and which are dropped and counted by cause.

use whinspindle_peer_transport::{DroppedDatagrams, MAX_DATAGRAM_BYTES, PeerTransport};

fn transport(member: u16, fleet: &str, secret: &str, start: u32) -> PeerTransport {
    PeerTransport::new(member, 3, fleet, secret, start, MAX_DATAGRAM_BYTES)
}

#[test]
fn invalid_datagrams_are_dropped_and_counted_by_cause() {
    let message = vec!["a message".to_string()];
    let none = DroppedDatagrams::default();
    type Corruption = fn(&mut Vec<u8>);
    let cases: [(&str, &str, Option<u16>, Corruption, DroppedDatagrams); 10] = [
        ("f", "s", Some(1), |_| {}, none),
        ("g", "s", Some(1), |_| {}, DroppedDatagrams { other_fleet: 1, ..none }),
        ("f", "t", Some(1), |_| {}, DroppedDatagrams { wrong_mark: 1, ..none }),
        ("f", "s", Some(2), |_| {}, DroppedDatagrams { unknown: 1, ..none }),
        ("f", "s", None, |_| {}, DroppedDatagrams { unknown: 1, ..none }),
        ("f", "s", Some(1), |d| d[20] ^= 1, DroppedDatagrams { wrong_mark: 1, ..none }),
        ("f", "s", Some(1), |d| d[1] = 7, DroppedDatagrams { wrong_mark: 1, ..none }),
        ("f", "s", Some(1), |d| d[0] = 2, DroppedDatagrams { garbled: 1, ..none }),
        ("f", "s", Some(1), |d| d.truncate(28), DroppedDatagrams { garbled: 1, ..none }),
        ("f", "s", Some(1), |d| d.clear(), DroppedDatagrams { garbled: 1, ..none }),
    ];
    for (number, (fleet, secret, from, corrupt, expected)) in cases.into_iter().enumerate() {
        let mut to = transport(0, "f", "s", 1);
        let mut datagram = transport(1, fleet, secret, 1).encode(0, &message).remove(0);
        corrupt(&mut datagram);
        let received = to.receive::<Vec<String>>(0, from, &datagram);
        assert_eq!((received.is_some(), to.dropped), (expected == none, expected), "case {number}");
    }
    // A datagram for another member, and one with a message of another type.
    let mut to = transport(0, "f", "s", 1);
    assert_eq!(
        to.receive::<Vec<String>>(0, Some(1), &transport(1, "f", "s", 1).encode(2, &message)[0]),
        None
    );
    assert_eq!(
        to.receive::<Vec<String>>(0, Some(1), &transport(1, "f", "s", 2).encode(0, &(9u8, true))[0]),
        None
    );
    assert_eq!(to.dropped, DroppedDatagrams { wrong_mark: 1, garbled: 1, ..none });
}

#[test]
fn long_messages_are_assembled_and_duplicates_are_dropped() {
    let long: Vec<u32> = (0..400).collect();
    let (mut from, mut to) = (transport(1, "f", "", 5), transport(0, "f", "", 1));
    let datagrams = from.encode(0, &long);
    assert!(datagrams.len() > 2 && datagrams.iter().all(|datagram| datagram.len() <= MAX_DATAGRAM_BYTES));
    let mut order: Vec<usize> = (0..datagrams.len()).rev().collect();
    order.swap(0, 1);
    let last = order.pop().expect("several");
    for part in &order {
        assert_eq!(to.receive::<Vec<u32>>(0, Some(1), &datagrams[*part]), None);
    }
    assert_eq!(to.receive::<Vec<u32>>(0, Some(1), &datagrams[last]), Some((1, long.clone())));
    // The same datagrams again: at once, after an hour of others, and after the sender has restarted.
    let all_dropped =
        |to: &mut PeerTransport| datagrams.iter().all(|d| to.receive::<Vec<u32>>(0, Some(1), d).is_none());
    assert!(all_dropped(&mut to));
    for second in 0..3600 {
        for datagram in from.encode(0, &vec![1u32; 8]) {
            assert!(to.receive::<Vec<u32>>(second, Some(1), &datagram).is_some());
        }
    }
    assert!(all_dropped(&mut to));
    let mut restarted = transport(1, "f", "", 6);
    assert!(to.receive::<Vec<u32>>(4000, Some(1), &restarted.encode(0, &vec![2u32])[0]).is_some());
    assert!(all_dropped(&mut to));
    assert_eq!(to.dropped.repeated, 3 * datagrams.len() as u64);
    // A late datagram of an unknown start doesn't lock out the present start.
    let late = transport(1, "f", "", 4).encode(0, &vec![3u32]).remove(0);
    assert!(to.receive::<Vec<u32>>(4001, Some(1), &late).is_some());
    assert!(to.receive::<Vec<u32>>(4001, Some(1), &restarted.encode(0, &vec![2u32])[0]).is_some());
    assert!(to.receive::<Vec<u32>>(4001, Some(1), &late).is_none());
}

#[test]
fn datagram_rate_is_limited_and_too_long_messages_are_not_encoded() {
    let (mut from, mut to) = (transport(1, "f", "", 5), transport(0, "f", "", 1));
    let received = |to: &mut PeerTransport, from: &mut PeerTransport, second| {
        (0..5000).filter(|_| to.receive::<u8>(second, Some(1), &from.encode(0, &1u8)[0]).is_some()).count()
    };
    let first = received(&mut to, &mut from, 1);
    assert!((1000..4000).contains(&first) && to.dropped.flood == 5000 - first as u64, "{first}");
    assert_eq!(received(&mut to, &mut from, 2), first);
    assert!(from.encode(0, &vec![7u8; 100_000]).is_empty());
}
