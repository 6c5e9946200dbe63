use super::*;

#[test]
fn long_answers_share_what_there_is() {
    let memory = MemoryBudget::new(10, 100);
    for (bytes, fits, available) in [(10, true, 100), (25, true, 75), (26, false, 100), (3_000, false, 100)] {
        let mut allocation = memory.allocation();
        assert_eq!(allocation.grow_to(bytes), fits, "{bytes}");
        let held = allocation.hold(Bytes::from(vec![0; bytes]));
        assert_eq!((held.len(), memory.available.load(Ordering::Relaxed)), (bytes, available));
    }
    let mut shares = [(); 5].map(|()| memory.allocation());
    let grown = shares.each_mut().map(|allocation| allocation.grow_to(12) && allocation.grow_to(25));
    assert_eq!(grown, [true, true, true, true, false]);
    drop(shares);
    assert_eq!(memory.available.load(Ordering::Relaxed), 100);
}
