//! Logging to standard error, rate-limited per call site.

use std::fmt::Arguments;
use std::io::{self, Write};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

const MAX_LINES_PER_SECOND: u64 = 5;

static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Rate limiter of one call site: lines in the current second, and lines suppressed since the last written
/// one.
#[derive(Default)]
pub struct RateLimiter {
    second: AtomicU64,
    lines: AtomicU64,
    suppressed: AtomicU64,
}

impl RateLimiter {
    /// Creates a limiter.
    pub const fn new() -> Self {
        RateLimiter { second: AtomicU64::new(0), lines: AtomicU64::new(0), suppressed: AtomicU64::new(0) }
    }

    /// Returns the number of lines suppressed since the last written one, or `None` if this line must be
    /// suppressed too.
    pub fn admit(&self) -> Option<u64> {
        self.admit_in(STARTED.elapsed().as_secs())
    }

    fn admit_in(&self, second: u64) -> Option<u64> {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        if self.lines.fetch_add(1, Ordering::Relaxed) >= MAX_LINES_PER_SECOND {
            self.suppressed.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(self.suppressed.swap(0, Ordering::Relaxed))
    }
}

/// Writes a line and ignores errors. The standard printing macros panic if standard error is closed, which
/// would end the calling task.
pub fn write_line(line: Arguments) {
    let _ = writeln!(io::stderr(), "{line}");
}

/// `log_line!("list", "bad line: {fault}")` writes `whinspindle list: bad line: ...`.
#[macro_export]
macro_rules! log_line {
    ($target:literal, $($text:tt)+) => {{
        static LIMITER: $crate::RateLimiter = $crate::RateLimiter::new();
        match LIMITER.admit() {
            Some(0) => $crate::write_line(format_args!(
                "whinspindle {}: {}",
                $target,
                format_args!($($text)+)
            )),
            Some(suppressed) => $crate::write_line(format_args!(
                "whinspindle {}: {} ({suppressed} more)",
                $target,
                format_args!($($text)+)
            )),
            None => {}
        }
    }};
}

#[cfg(test)]
mod tests;
