//! Debouncing of a logged value. A change is reported only after the value has been stable for some time.

/// The time for which a value must be unchanged, in milliseconds. The set of voters changes shortly after a
/// start and after a loss.
const MIN_STABLE_MS: u64 = 6_000;

/// The last reported value, and the candidate for the next report.
#[derive(Debug, Default)]
pub struct StableValue<T> {
    reported: T,
    candidate: T,
    candidate_since: u64,
}

impl<T: Clone + PartialEq> StableValue<T> {
    /// Updates the current value. Returns it if it has been stable for long enough and differs from the last
    /// reported value.
    pub fn update(&mut self, now: u64, current: T) -> Option<T> {
        if current != self.candidate {
            self.candidate = current;
            self.candidate_since = now;
        }
        if self.candidate == self.reported || now < self.candidate_since + MIN_STABLE_MS {
            return None;
        }
        self.reported = self.candidate.clone();
        Some(self.reported.clone())
    }
}
