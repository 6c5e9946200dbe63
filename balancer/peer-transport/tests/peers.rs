//! Datagrams that are taken, and those that are passed over and counted.

use whinspindle_peer_transport::{DroppedDatagrams, MAX_DATAGRAM_BYTES, PeerTransport};

fn peers(me: u16, fleet: &str, secret: &str, start: u32) -> PeerTransport {
    PeerTransport::new(me, 3, fleet, secret, start, MAX_DATAGRAM_BYTES)
}

#[test]
fn what_is_not_a_members_own_new_word_is_passed_over_and_counted() {
    let message = vec!["a message".to_string()];
    let none = DroppedDatagrams::default();
    type Spoil = fn(&mut Vec<u8>);
    let cases: [(&str, &str, Option<u16>, Spoil, DroppedDatagrams); 10] = [
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
    for (number, (fleet, secret, from, spoil, counted)) in cases.into_iter().enumerate() {
        let mut to = peers(0, "f", "s", 1);
        let mut datagram = peers(1, fleet, secret, 1).encode(0, &message).remove(0);
        spoil(&mut datagram);
        let taken = to.receive::<Vec<String>>(0, from, &datagram);
        assert_eq!((taken.is_some(), to.dropped), (counted == none, counted), "case {number}");
    }
    // One for another member, and one that holds another message.
    let mut to = peers(0, "f", "s", 1);
    assert_eq!(to.receive::<Vec<String>>(0, Some(1), &peers(1, "f", "s", 1).encode(2, &message)[0]), None);
    assert_eq!(
        to.receive::<Vec<String>>(0, Some(1), &peers(1, "f", "s", 2).encode(0, &(9u8, true))[0]),
        None
    );
    assert_eq!(to.dropped, DroppedDatagrams { wrong_mark: 1, garbled: 1, ..none });
}

#[test]
fn long_messages_come_whole_in_any_order_and_repeats_are_known() {
    let long: Vec<u32> = (0..400).collect();
    let (mut from, mut to) = (peers(1, "f", "", 5), peers(0, "f", "", 1));
    let datagrams = from.encode(0, &long);
    assert!(datagrams.len() > 2 && datagrams.iter().all(|datagram| datagram.len() <= MAX_DATAGRAM_BYTES));
    let mut order: Vec<usize> = (0..datagrams.len()).rev().collect();
    order.swap(0, 1);
    let last = order.pop().expect("several");
    for part in &order {
        assert_eq!(to.receive::<Vec<u32>>(0, Some(1), &datagrams[*part]), None);
    }
    assert_eq!(to.receive::<Vec<u32>>(0, Some(1), &datagrams[last]), Some((1, long.clone())));
    // All of it again, at once and after an hour of others; then that of a start before.
    let again =
        |to: &mut PeerTransport| datagrams.iter().all(|d| to.receive::<Vec<u32>>(0, Some(1), d).is_none());
    assert!(again(&mut to));
    for second in 0..3600 {
        for datagram in from.encode(0, &vec![1u32; 8]) {
            assert!(to.receive::<Vec<u32>>(second, Some(1), &datagram).is_some());
        }
    }
    assert!(again(&mut to));
    let mut next = peers(1, "f", "", 6);
    assert!(to.receive::<Vec<u32>>(4000, Some(1), &next.encode(0, &vec![2u32])[0]).is_some());
    assert!(again(&mut to));
    assert_eq!(to.dropped.repeated, 3 * datagrams.len() as u64);
    // One of a start that was never heard of does not lock out the one that lives.
    let old = peers(1, "f", "", 4).encode(0, &vec![3u32]).remove(0);
    assert!(to.receive::<Vec<u32>>(4001, Some(1), &old).is_some());
    assert!(to.receive::<Vec<u32>>(4001, Some(1), &next.encode(0, &vec![2u32])[0]).is_some());
    assert!(to.receive::<Vec<u32>>(4001, Some(1), &old).is_none());
}

#[test]
fn a_flood_has_an_end_and_what_is_too_long_is_not_sent() {
    let (mut from, mut to) = (peers(1, "f", "", 5), peers(0, "f", "", 1));
    let taken = |to: &mut PeerTransport, from: &mut PeerTransport, second| {
        (0..5000).filter(|_| to.receive::<u8>(second, Some(1), &from.encode(0, &1u8)[0]).is_some()).count()
    };
    let first = taken(&mut to, &mut from, 1);
    assert!((1000..4000).contains(&first) && to.dropped.flood == 5000 - first as u64, "{first}");
    assert_eq!(taken(&mut to, &mut from, 2), first);
    assert!(from.encode(0, &vec![7u8; 100_000]).is_empty());
}
