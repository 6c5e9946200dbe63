use super::*;

#[test]
fn serial_numbers_wrap_around_without_loss() {
    let (mut from, mut to) = (
        PeerTransport::new(1, 2, "f", "", u32::MAX, MAX_DATAGRAM_BYTES),
        PeerTransport::new(0, 2, "f", "", 1, MAX_DATAGRAM_BYTES),
    );
    from.next_serial = u32::MAX - MAX_PARTS as u32 - 3;
    for second in 0..10 {
        let datagram = from.encode(0, &7u8).remove(0);
        assert_eq!(to.receive::<u8>(second, Some(1), &datagram), Some((1, 7)));
    }
    assert_eq!((from.start, from.next_serial), (0, 6));
}
