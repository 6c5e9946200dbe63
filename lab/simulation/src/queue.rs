//! What happens next. Of two things at the same time the one that was put down first comes first.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

struct Item<E> {
    at: u64,
    serial: u64,
    event: E,
}

impl<E> PartialEq for Item<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.serial) == (other.at, other.serial)
    }
}

impl<E> Eq for Item<E> {}

impl<E> PartialOrd for Item<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Item<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.serial).cmp(&(other.at, other.serial))
    }
}

pub struct Queue<E> {
    heap: BinaryHeap<Reverse<Item<E>>>,
    serial: u64,
}

impl<E> Queue<E> {
    pub fn new() -> Self {
        Queue { heap: BinaryHeap::new(), serial: 0 }
    }

    pub fn put(&mut self, at: u64, event: E) {
        self.serial += 1;
        self.heap.push(Reverse(Item { at, serial: self.serial, event }));
    }

    pub fn take(&mut self) -> Option<(u64, E)> {
        self.heap.pop().map(|Reverse(item)| (item.at, item.event))
    }

    /// Things put down since the start.
    pub fn count(&self) -> u64 {
        self.serial
    }
}
