use super::*;

#[test]
fn long_answers_share_what_there_is() {
    let room = Room::new(10, 100);
    for (bytes, fits, left) in [(10, true, 100), (25, true, 75), (26, false, 100), (3_000, false, 100)] {
        let mut share = room.share();
        assert_eq!(share.grow_to(bytes), fits, "{bytes}");
        let held = share.hold(Bytes::from(vec![0; bytes]));
        assert_eq!((held.len(), room.left.load(Ordering::Relaxed)), (bytes, left));
    }
    let mut shares = [(); 5].map(|()| room.share());
    let grown = shares.each_mut().map(|share| share.grow_to(12) && share.grow_to(25));
    assert_eq!(grown, [true, true, true, true, false]);
    drop(shares);
    assert_eq!(room.left.load(Ordering::Relaxed), 100);
}
