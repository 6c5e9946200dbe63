//! Outlier ejection based on the results of this balancer's own attempts.

/// Number of consecutive failures that ejects an instance.
const CONSECUTIVE_FAILURES: u32 = 2;
/// Duration of the first ejection, in milliseconds.
const FIRST_EJECTION_MS: u64 = 300;
/// Maximum number of times that the duration doubles with further ejections.
const DOUBLINGS: u32 = 4;

/// Number of consecutive ejections, each followed by a failed probe, after which an instance counts as down.
const EJECTIONS_UNTIL_DOWN: u32 = 2;

/// Failures are reported to other balancers for this time after the last failure, in milliseconds.
const FAILURE_REPORT_TTL_MS: u64 = 4_000;

/// Counts consecutive failures of an instance and ejects the instance for a time that grows with each failed
/// probe.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Number of failures since the last response.
    consecutive_failures: u32,
    /// Number of ejections since the last response.
    ejections: u32,
    /// End of the current or last ejection.
    ejected_until: u64,
    /// Time of the last response; 0 without one.
    last_response_at: u64,
    /// Number of recent responses that were failures of the instance itself (5xx).
    failed_responses: u32,
    /// Time of the last response that was such a failure.
    last_failed_response_at: u64,
}

impl Health {
    /// Records a response of any kind, which makes the instance healthy again.
    pub(crate) fn record_response(&mut self, now: u64) {
        let (failed_responses, last_failed_response_at) =
            (self.failed_responses, self.last_failed_response_at);
        *self =
            Health { last_response_at: now, failed_responses, last_failed_response_at, ..Health::default() };
    }

    /// Records a response that is a failure of the instance itself.
    pub(crate) fn record_failed_response(&mut self, now: u64) {
        self.failed_responses = self.recent_failures(now) + 1;
        self.last_failed_response_at = now;
    }

    /// Number of failed responses to report to other balancers.
    pub(crate) fn recent_failures(&self, now: u64) -> u32 {
        if self.failed_responses > 0 && now < self.last_failed_response_at + FAILURE_REPORT_TTL_MS {
            self.failed_responses
        } else {
            0
        }
    }

    /// Time of the last response; 0 without one.
    pub(crate) fn last_response_at(&self) -> u64 {
        self.last_response_at
    }

    /// Records an attempt without a response. Returns whether to eject the instance.
    pub(crate) fn record_failure(&mut self) -> bool {
        self.consecutive_failures += 1;
        self.consecutive_failures >= CONSECUTIVE_FAILURES
    }

    /// Records a connect timeout. Returns `true`, since a connect timeout ejects the instance at once.
    pub(crate) fn record_connect_timeout(&mut self) -> bool {
        self.consecutive_failures = self.consecutive_failures.max(CONSECUTIVE_FAILURES);
        true
    }

    /// Ejects the instance unless an ejection is in progress.
    pub(crate) fn eject(&mut self, now: u64) {
        if now < self.ejected_until {
            return;
        }
        self.ejected_until = now + (FIRST_EJECTION_MS << self.ejections.min(DOUBLINGS));
        self.ejections += 1;
    }

    /// Whether the instance is ejected, or waits for the response to the probe after an ejection.
    pub(crate) fn is_ejected(&self, now: u64, unanswered: u32) -> bool {
        now < self.ejected_until || (self.ejections > 0 && unanswered > 0)
    }

    /// Whether the instance is ejected and the probe after an earlier ejection has failed too.
    pub(crate) fn is_down(&self, now: u64, unanswered: u32) -> bool {
        self.ejections >= EJECTIONS_UNTIL_DOWN && self.is_ejected(now, unanswered)
    }
}
