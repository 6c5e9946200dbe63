//! The steady clock of the process, in milliseconds since its start.

use tokio::time::Instant;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    pub fn starting_now() -> Self {
        Clock { start: Instant::now() }
    }

    pub fn start(&self) -> Instant {
        self.start
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}
