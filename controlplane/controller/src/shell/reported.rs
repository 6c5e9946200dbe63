//! A value that is written to the log once it has stood for a while.

/// How long a value must stand, in milliseconds: voters move right after a start and after a loss.
const SETTLED_MS: u64 = 6_000;

/// What was logged, and what may have to be logged next.
#[derive(Debug, Default)]
pub struct Reported<T> {
    logged: T,
    candidate: T,
    since: u64,
}

impl<T: Clone + PartialEq> Reported<T> {
    /// Takes the present value; returns it if it has stood for long enough and was not logged last.
    pub fn changed(&mut self, now: u64, present: T) -> Option<T> {
        if present != self.candidate {
            self.candidate = present;
            self.since = now;
        }
        if self.candidate == self.logged || now < self.since + SETTLED_MS {
            return None;
        }
        self.logged = self.candidate.clone();
        Some(self.logged.clone())
    }
}
