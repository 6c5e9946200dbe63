//! The monotonic clock of the process.

use tokio::time::Instant;

/// A monotonic clock that counts milliseconds since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that reads 0 now.
    pub fn starting_now() -> Self {
        Clock { start: Instant::now() }
    }

    /// Returns the instant at which the clock reads 0.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}
