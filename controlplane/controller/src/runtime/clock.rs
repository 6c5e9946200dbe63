//! The monotonic clock of the state machines.

use std::time::Instant;

/// The time at the start of the process. It is above zero, so that earlier times can be represented.
const ORIGIN_MS: u64 = 3_600_000;

/// A monotonic clock with millisecond resolution.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    pub fn now(&self) -> u64 {
        ORIGIN_MS + self.start.elapsed().as_millis() as u64
    }
}
