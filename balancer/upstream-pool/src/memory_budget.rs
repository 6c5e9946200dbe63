//! Memory for answers that are longer than usual, shared out among all that are in hand.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// The budget of all long answers of one process.
pub struct MemoryBudget {
    /// An answer of so many bytes needs none of it.
    usual: usize,
    /// The most bytes that one answer may have.
    largest: usize,
    available: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// `all` is for longer answers together; one may take a quarter of it.
    pub fn new(usual: usize, all: usize) -> Self {
        MemoryBudget { usual, largest: usual.max(all / 4), available: Arc::new(AtomicUsize::new(all)) }
    }

    pub(crate) fn allocation(&self) -> Allocation {
        Allocation {
            usual: self.usual,
            largest: self.largest,
            taken: 0,
            available: Arc::clone(&self.available),
        }
    }
}

/// What one answer takes of the budget; given back when it is dropped.
pub(crate) struct Allocation {
    usual: usize,
    largest: usize,
    taken: usize,
    available: Arc<AtomicUsize>,
}

impl Allocation {
    /// Whether the answer may have so many bytes.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = if bytes > self.usual { bytes.saturating_sub(self.taken) } else { 0 };
        let taken = |available: usize| available.checked_sub(more);
        if bytes > self.largest
            || self.available.fetch_update(Ordering::Relaxed, Ordering::Relaxed, taken).is_err()
        {
            return false;
        }
        self.taken += more;
        true
    }

    /// The answer's bytes, which keep their allocation for as long as they are there.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if self.taken > 0 { Bytes::from_owner(AllocatedBytes { bytes, _allocation: self }) } else { bytes }
    }
}

impl Drop for Allocation {
    fn drop(&mut self) {
        self.available.fetch_add(self.taken, Ordering::Relaxed);
    }
}

struct AllocatedBytes {
    bytes: Bytes,
    _allocation: Allocation,
}

impl AsRef<[u8]> for AllocatedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
