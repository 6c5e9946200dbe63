//! Memory budget for long response bodies, shared by all exchanges of a process.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// The memory budget of a process for long response bodies.
pub struct MemoryBudget {
    /// Bodies up to this size do not count against the budget.
    exempt_bytes: usize,
    /// Maximum size of a body.
    max_body_bytes: usize,
    available_bytes: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// Creates a budget of `total_bytes` for all bodies longer than `exempt_bytes`. A single body may use a
    /// quarter of it.
    pub fn new(exempt_bytes: usize, total_bytes: usize) -> Self {
        MemoryBudget {
            exempt_bytes,
            max_body_bytes: exempt_bytes.max(total_bytes / 4),
            available_bytes: Arc::new(AtomicUsize::new(total_bytes)),
        }
    }

    pub(crate) fn allocation(&self) -> Allocation {
        Allocation {
            exempt_bytes: self.exempt_bytes,
            max_body_bytes: self.max_body_bytes,
            allocated_bytes: 0,
            available_bytes: Arc::clone(&self.available_bytes),
        }
    }
}

/// The memory allocated for one body; released on drop.
pub(crate) struct Allocation {
    exempt_bytes: usize,
    max_body_bytes: usize,
    allocated_bytes: usize,
    available_bytes: Arc<AtomicUsize>,
}

impl Allocation {
    /// Grows the allocation for a body of this size. Returns whether the budget allows it.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let additional =
            if bytes > self.exempt_bytes { bytes.saturating_sub(self.allocated_bytes) } else { 0 };
        let reserve = |available: usize| available.checked_sub(additional);
        if bytes > self.max_body_bytes
            || self.available_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, reserve).is_err()
        {
            return false;
        }
        self.allocated_bytes += additional;
        true
    }

    /// Attaches the allocation to the body, so that it is released when the body is dropped.
    pub fn attach_to(self, bytes: Bytes) -> Bytes {
        if self.allocated_bytes > 0 {
            Bytes::from_owner(AllocatedBytes { bytes, _allocation: self })
        } else {
            bytes
        }
    }
}

impl Drop for Allocation {
    fn drop(&mut self) {
        self.available_bytes.fetch_add(self.allocated_bytes, Ordering::Relaxed);
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
