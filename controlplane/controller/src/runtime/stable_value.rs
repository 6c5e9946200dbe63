//! Debouncing of a value that is logged: a change is reported only once it has been stable for a while.

/// How long a value must be unchanged, in milliseconds: voters move right after a start and after a loss.
const MIN_STABLE_MS: u64 = 6_000;

/// The value that was reported last, and the one that may be reported next.
#[derive(Debug, Default)]
pub struct StableValue<T> {
    reported: T,
    candidate: T,
    since: u64,
}

impl<T: Clone + PartialEq> StableValue<T> {
    /// Takes the present value; returns it if it has been stable for long enough and differs from the last one reported.
    pub fn changed(&mut self, now: u64, present: T) -> Option<T> {
        if present != self.candidate {
            self.candidate = present;
            self.since = now;
        }
        if self.candidate == self.reported || now < self.since + MIN_STABLE_MS {
            return None;
        }
        self.reported = self.candidate.clone();
        Some(self.reported.clone())
    }
}
