//! Memory for answers that are longer than usual, shared out among all that are in hand.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

pub struct Room {
    /// An answer of so many bytes needs none of it.
    usual: usize,
    /// So many bytes one answer may have at most.
    most: usize,
    left: Arc<AtomicUsize>,
}

impl Room {
    /// `all` is for longer answers together; one may take a quarter of it.
    pub fn new(usual: usize, all: usize) -> Self {
        Room { usual, most: usual.max(all / 4), left: Arc::new(AtomicUsize::new(all)) }
    }

    pub(crate) fn share(&self) -> Share {
        Share { usual: self.usual, most: self.most, taken: 0, left: Arc::clone(&self.left) }
    }
}

/// What one answer takes; given back when it is dropped.
pub(crate) struct Share {
    usual: usize,
    most: usize,
    taken: usize,
    left: Arc<AtomicUsize>,
}

impl Share {
    /// Whether the answer may have so many bytes.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = if bytes > self.usual { bytes.saturating_sub(self.taken) } else { 0 };
        let taken = |left: usize| left.checked_sub(more);
        if bytes > self.most || self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, taken).is_err() {
            return false;
        }
        self.taken += more;
        true
    }

    /// The answer's bytes, which keep their share for as long as they are there.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if self.taken > 0 { Bytes::from_owner(Held { bytes, _share: self }) } else { bytes }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.left.fetch_add(self.taken, Ordering::Relaxed);
    }
}

struct Held {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
