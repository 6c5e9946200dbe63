//! A clock in Unix microseconds that never goes backwards: the system time is read once, and the monotonic clock
//! counts from there.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// System time at the start, with the monotonic time since.
#[derive(Clone, Copy)]
pub struct Clock {
    begun: Instant,
    unix: u64,
}

impl Clock {
    /// Reads the system time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64);
        Clock { begun: Instant::now(), unix }
    }

    /// The present time in Unix microseconds.
    pub fn now(&self) -> u64 {
        self.unix + self.begun.elapsed().as_micros() as u64
    }
}
