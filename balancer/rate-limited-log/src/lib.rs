//! Log lines go to standard error through one macro, so many a second from each place in the code.

use std::fmt::Arguments;
use std::io::{self, Write};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

const LINES_PER_SECOND: u64 = 5;

static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);

/// What one place in the code has written in the present second, and what it has kept back since its last
/// line.
#[derive(Default)]
pub struct RateLimiter {
    second: AtomicU64,
    lines: AtomicU64,
    suppressed: AtomicU64,
}

impl RateLimiter {
    /// A limiter that has written nothing yet.
    pub const fn new() -> Self {
        RateLimiter { second: AtomicU64::new(0), lines: AtomicU64::new(0), suppressed: AtomicU64::new(0) }
    }

    /// How many lines were kept back before this one, if it may be written now.
    pub fn admit(&self) -> Option<u64> {
        self.admit_in(STARTED.elapsed().as_secs())
    }

    fn admit_in(&self, second: u64) -> Option<u64> {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        if self.lines.fetch_add(1, Ordering::Relaxed) >= LINES_PER_SECOND {
            self.suppressed.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(self.suppressed.swap(0, Ordering::Relaxed))
    }
}

/// Guards against a log that nobody reads any more: a line that can't be written is lost, and nothing else. The
/// printing macros panic there, which would end the task that was to say something.
pub fn write_line(line: Arguments) {
    let _ = writeln!(io::stderr(), "{line}");
}

/// `log_line!("list", "bad line: {fault}")` writes `whinspindle list: bad line: ...`.
#[macro_export]
macro_rules! log_line {
    ($what:literal, $($text:tt)+) => {{
        static LIMITER: $crate::RateLimiter = $crate::RateLimiter::new();
        match LIMITER.admit() {
            Some(0) => $crate::write_line(format_args!("whinspindle {}: {}", $what, format_args!($($text)+))),
            Some(suppressed) => $crate::write_line(format_args!(
                "whinspindle {}: {} ({suppressed} more)",
                $what,
                format_args!($($text)+)
            )),
            None => {}
        }
    }};
}

#[cfg(test)]
mod tests;
