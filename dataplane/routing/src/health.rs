//! Outlier ejection by the results of this balancer's own attempts.

/// Consecutive failures after which an instance is ejected.
const CONSECUTIVE_FAILURES: u32 = 2;
/// Length of the first ejection, in milliseconds.
const FIRST_EJECTION_MS: u64 = 300;
/// The length doubles with each further ejection, at most this many times.
const DOUBLINGS: u32 = 4;

/// Consecutive ejections after which an instance counts as down: the probe after each ejection has failed too.
const EJECTIONS_UNTIL_DOWN: u32 = 2;

/// Failures are reported to the other balancers for this time after the last one.
const FAILURE_REPORT_MS: u64 = 4_000;

/// Counts consecutive failures of an instance and ejects it for a time that grows with each failed probe.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Failures since the last answer.
    consecutive_failures: u32,
    /// Ejections since the last answer.
    ejections: u32,
    /// End of the present or last ejection.
    ejected_until: u64,
    /// Time of the last answer.
    last_answer: u64,
    /// Answers that were failures of the instance itself (5xx).
    failed_answers: u32,
    /// Time of the last of these.
    failed_at: u64,
}

impl Health {
    /// Records an answer of any kind: the instance is healthy again.
    pub(crate) fn record_answer(&mut self, now: u64) {
        let (failed_answers, failed_at) = (self.failed_answers, self.failed_at);
        *self = Health { last_answer: now, failed_answers, failed_at, ..Health::default() };
    }

    /// Records an answer that is a failure of the instance itself.
    pub(crate) fn record_failed_answer(&mut self, now: u64) {
        self.failed_answers = self.recent_failures(now) + 1;
        self.failed_at = now;
    }

    /// Number of failed answers, as long as they are to be reported to other balancers.
    pub(crate) fn recent_failures(&self, now: u64) -> u32 {
        if self.failed_answers > 0 && now < self.failed_at + FAILURE_REPORT_MS {
            self.failed_answers
        } else {
            0
        }
    }

    /// Time of the last answer; 0 if there was none.
    pub(crate) fn last_answer(&self) -> u64 {
        self.last_answer
    }

    /// Records an attempt without an answer. Returns whether the instance is to be ejected.
    pub(crate) fn record_failure(&mut self) -> bool {
        self.consecutive_failures += 1;
        self.consecutive_failures >= CONSECUTIVE_FAILURES
    }

    /// Records that connecting timed out, for which the instance is to be ejected at once.
    pub(crate) fn record_time_out(&mut self) -> bool {
        self.consecutive_failures = self.consecutive_failures.max(CONSECUTIVE_FAILURES);
        true
    }

    /// Ejects the instance, unless it is ejected already.
    pub(crate) fn eject(&mut self, now: u64) {
        if now < self.ejected_until {
            return;
        }
        self.ejected_until = now + (FIRST_EJECTION_MS << self.ejections.min(DOUBLINGS));
        self.ejections += 1;
    }

    /// Whether it is ejected, or is probed after an ejection by one attempt that has no answer yet.
    pub(crate) fn is_ejected(&self, now: u64, unanswered: u32) -> bool {
        now < self.ejected_until || (self.ejections > 0 && unanswered > 0)
    }

    /// Whether it is ejected and the probe after an earlier ejection has failed too.
    pub(crate) fn is_down(&self, now: u64, unanswered: u32) -> bool {
        self.ejections >= EJECTIONS_UNTIL_DOWN && self.is_ejected(now, unanswered)
    }
}
