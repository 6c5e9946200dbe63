//! Whether an instance answers, as seen by this balancer's own sends alone.

/// An instance rests after so many sends in a row that came to nothing.
const STRIKES: u32 = 2;
const FIRST_REST_MS: u64 = 300;
/// A rest doubles so many times at most.
const DOUBLINGS: u32 = 4;

/// After so many rests in a row, each with a trial that failed, an instance counts as down.
const RESTS_UNTIL_DOWN: u32 = 2;

/// Failures are told to the other balancers for so long after the last one.
const EVIDENCE_MS: u64 = 4_000;

/// Counts sends that came to nothing, and rests the instance for a while: first shortly, then longer each time that
/// the trial after a rest fails too.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    strikes: u32,
    rests: u32,
    resting_until: u64,
    last_answer: u64,
    /// Answers that were failures of the instance, and when the last one came.
    failures: u32,
    failed_at: u64,
}

impl Health {
    /// Any answer ends the doubt.
    pub(crate) fn answered(&mut self, now: u64) {
        let (failures, failed_at) = (self.failures, self.failed_at);
        *self = Health { last_answer: now, failures, failed_at, ..Health::default() };
    }

    /// The instance has answered with a failure of its own.
    pub(crate) fn note_failed_answer(&mut self, now: u64) {
        self.failures = self.recent_failures(now) + 1;
        self.failed_at = now;
    }

    /// Failures for as long as they are evidence.
    pub(crate) fn recent_failures(&self, now: u64) -> u32 {
        if self.failures > 0 && now < self.failed_at + EVIDENCE_MS { self.failures } else { 0 }
    }

    pub(crate) fn last_answer(&self) -> u64 {
        self.last_answer
    }

    /// A send came to nothing; answers whether a rest is due.
    pub(crate) fn failed(&mut self) -> bool {
        self.strikes += 1;
        self.strikes >= STRIKES
    }

    /// A connection fell silent: that alone says enough.
    pub(crate) fn fell_silent(&mut self) -> bool {
        self.strikes = self.strikes.max(STRIKES);
        true
    }

    pub(crate) fn rest(&mut self, now: u64) {
        if now < self.resting_until {
            return;
        }
        self.resting_until = now + (FIRST_REST_MS << self.rests.min(DOUBLINGS));
        self.rests += 1;
    }

    /// Whether it rests, or is on trial and its one send is not answered yet.
    pub(crate) fn is_resting(&self, now: u64, unanswered: u32) -> bool {
        now < self.resting_until || (self.rests > 0 && unanswered > 0)
    }

    /// Whether it rests and the trial after an earlier rest failed too.
    pub(crate) fn is_down(&self, now: u64, unanswered: u32) -> bool {
        self.rests >= RESTS_UNTIL_DOWN && self.is_resting(now, unanswered)
    }
}
