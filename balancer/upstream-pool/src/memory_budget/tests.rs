use super::*;

#[test]
fn long_bodies_share_the_budget() {
    let memory = MemoryBudget::new(10, 100);
    for (bytes, fits, available) in [(10, true, 100), (25, true, 75), (26, false, 100), (3_000, false, 100)] {
        let mut allocation = memory.allocation();
        assert_eq!(allocation.grow_to(bytes), fits, "{bytes}");
        let body = allocation.attach_to(Bytes::from(vec![0; bytes]));
        assert_eq!((body.len(), memory.available_bytes.load(Ordering::Relaxed)), (bytes, available));
    }
    let mut allocations = [(); 5].map(|()| memory.allocation());
    let grown = allocations.each_mut().map(|allocation| allocation.grow_to(12) && allocation.grow_to(25));
    assert_eq!(grown, [true, true, true, true, false]);
    drop(allocations);
    assert_eq!(memory.available_bytes.load(Ordering::Relaxed), 100);
}
