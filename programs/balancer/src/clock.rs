//! Unix microseconds, read once at the start and carried on by the monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy)]
pub struct Clock {
    begun: Instant,
    unix: u64,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64);
        Clock { begun: Instant::now(), unix }
    }

    pub fn now(&self) -> u64 {
        self.unix + self.begun.elapsed().as_micros() as u64
    }
}
