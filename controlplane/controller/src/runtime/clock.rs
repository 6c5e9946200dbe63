//! The steady clock that the state machines count on.

use std::time::Instant;

/// The clock starts above zero, so that times before the start of the process can be expressed.
const ORIGIN_MS: u64 = 3_600_000;

/// Milliseconds of a steady clock.
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
