//! The places of a lookup upstream: a few requests at once, a few more wait.

use std::cell::Cell;

use tokio::sync::{Semaphore, SemaphorePermit};

use crate::engine::EngineLoad;

const SLOTS: usize = 6;
const QUEUE: usize = 24;

/// The places of one upstream.
pub struct LookupPool {
    slots: Semaphore,
    queued: Cell<usize>,
}

/// Counts a request that waits.
struct QueuePlace<'a>(&'a Cell<usize>);

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl LookupPool {
    pub fn new() -> Self {
        LookupPool { slots: Semaphore::new(SLOTS), queued: Cell::new(0) }
    }

    /// How many requests are worked on at once.
    pub fn slots() -> usize {
        SLOTS
    }

    /// Waits for a place; none if too many wait already.
    pub async fn enter(&self) -> Option<SemaphorePermit<'_>> {
        if self.queued.get() >= QUEUE {
            return None;
        }
        self.queued.set(self.queued.get() + 1);
        let _place = QueuePlace(&self.queued);
        self.slots.acquire().await.ok()
    }

    /// The load at this moment.
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            queued: self.queued.get(),
            running: SLOTS - self.slots.available_permits(),
            ..EngineLoad::default()
        }
    }
}
