//! Detects when a started process serves fully again, so that its log reports how long the recovery took and
//! what delayed it. The module does no I/O and reads no clock.

/// The fraction of the answered requests that are completed in full service.
const MIN_COMPLETED_FRACTION: f64 = 0.98;
/// Seconds in a row that full service must last.
const SECONDS_IN_FULL_SERVICE: u32 = 3;

/// The state of the process at the end of a second.
#[derive(Clone, Copy, Debug)]
pub struct SecondSummary {
    /// Whether the endpoint list comes from discovery or the platform, not from the cache or a neighbour.
    pub is_list_authoritative: bool,
    /// Whether the process holds a lease for a policy, or belongs to no fleet.
    pub has_policy: bool,
    /// Whether the process admits all requests.
    pub admits_all: bool,
    /// Requests completed since the start.
    pub completed: u64,
    /// Requests answered in any way since the start.
    pub answered: u64,
}

/// Reports once when the process serves fully again.
#[derive(Debug)]
pub struct RecoveryTracker {
    started_at_us: u64,
    /// The counts of completed and answered requests at the last call.
    previous_counts: (u64, u64),
    full_seconds: u32,
    /// Seconds spent without each condition of full service, in the order of `record_second`.
    delays: [u32; 4],
    is_recovered: bool,
}

impl RecoveryTracker {
    /// Creates a tracker for a process that started at this time, in microseconds.
    pub fn new(started_at_us: u64) -> RecoveryTracker {
        RecoveryTracker {
            started_at_us,
            previous_counts: (0, 0),
            full_seconds: 0,
            delays: [0; 4],
            is_recovered: false,
        }
    }

    /// Records a second that has ended. Returns the log line about the recovery once the process serves
    /// fully.
    pub fn record_second(&mut self, now: u64, summary: SecondSummary) -> Option<String> {
        if self.is_recovered {
            return None;
        }
        let completed = summary.completed.saturating_sub(self.previous_counts.0);
        let answered = summary.answered.saturating_sub(self.previous_counts.1);
        self.previous_counts = (summary.completed, summary.answered);
        let completes = completed as f64 >= MIN_COMPLETED_FRACTION * answered as f64;
        for (delay, is_met) in self.delays.iter_mut().zip([
            summary.is_list_authoritative,
            summary.has_policy,
            summary.admits_all,
            completes,
        ]) {
            *delay += u32::from(!is_met);
        }
        self.full_seconds =
            if summary.is_list_authoritative && summary.has_policy && summary.admits_all && completes {
                self.full_seconds + 1
            } else {
                0
            };
        if self.full_seconds < SECONDS_IN_FULL_SERVICE {
            return None;
        }
        self.is_recovered = true;
        let [list, policy, admission, completion] = self.delays;
        // The process has been recovered since the first of the seconds in full service.
        let recovery_s = (now.saturating_sub(self.started_at_us) / 1_000_000)
            .saturating_sub(u64::from(SECONDS_IN_FULL_SERVICE));
        Some(format!(
            "whole after {recovery_s} s: {list} s without discovery's list, {policy} s without a policy, \
             {admission} s with limited admission, {completion} s under {}% completed",
            MIN_COMPLETED_FRACTION * 100.0
        ))
    }
}
