//! Pauses of this process. After a pause, calls are read that may have been sent long before.

/// The longest time between two events of a process that is not paused, in milliseconds.
const MAX_EVENT_GAP_MS: u64 = 500;
/// The minimum time after a pause in which delayed calls are read, in milliseconds.
const MIN_BACKLOG_MS: u64 = 1_000;
/// The maximum time after a pause in which delayed calls are read, in milliseconds.
const MAX_BACKLOG_MS: u64 = 4_000;

/// Detects pauses by the time between events. Times are in milliseconds of the process's monotonic clock.
#[derive(Debug)]
pub struct ProcessPauses {
    last_event_at: u64,
    /// The time until which calls that are read may have been sent before the end of the last pause.
    backlog_until: u64,
}

impl ProcessPauses {
    /// Creates the state of a process that starts now.
    pub fn new(now: u64) -> ProcessPauses {
        ProcessPauses { last_event_at: now, backlog_until: 0 }
    }

    /// Detects a pause. Must be called before each event is handled.
    ///
    /// A sender whose packets were not acknowledged during the pause sends them again after at most the time
    /// that has passed, so the calls of a long pause are read later than those of a short one.
    pub fn observe_time(&mut self, now: u64) {
        let gap_ms = now.saturating_sub(self.last_event_at);
        if gap_ms > MAX_EVENT_GAP_MS {
            let backlog_ms = gap_ms.clamp(MIN_BACKLOG_MS, MAX_BACKLOG_MS);
            self.backlog_until = self.backlog_until.max(now + backlog_ms);
        }
        self.last_event_at = now;
    }

    /// Whether a call that is read now may have been sent before the end of a pause.
    pub fn may_have_waited(&self, now: u64) -> bool {
        now < self.backlog_until
    }
}
