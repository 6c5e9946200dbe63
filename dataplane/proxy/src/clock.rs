//! The steady clock of the process, in milliseconds since its start.

use tokio::time::Instant;

/// A monotonic clock that counts milliseconds since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts at 0 now.
    pub fn starting_now() -> Self {
        Clock { start: Instant::now() }
    }

    /// The instant of the start.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}
