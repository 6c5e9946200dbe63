//! When a process that has started counts itself whole again, so that its log tells how long its return took
//! and what it went by meanwhile. No I/O and no clock.

/// Of the queries answered within a second so many are completed in full service.
const FULL: f64 = 0.98;
/// For so many seconds on end.
const SECONDS: u32 = 3;

/// What holds at the end of a second.
#[derive(Clone, Copy, Debug)]
pub struct SecondSummary {
    /// The list is discovery's word, or the platform's.
    pub is_list_authoritative: bool,
    /// It decides by a policy of its fleet, or is in none.
    pub has_policy: bool,
    /// It takes all queries.
    pub admits_all: bool,
    /// Since the start.
    pub completed: u64,
    /// Queries answered in any way since the start.
    pub answered: u64,
}

/// Tells once when the process serves fully again.
#[derive(Debug)]
pub struct RecoveryTracker {
    began: u64,
    before: (u64, u64),
    full: u32,
    waits: [u32; 4],
    is_recovered: bool,
}

impl RecoveryTracker {
    /// A process that began at this time, in microseconds.
    pub fn new(began: u64) -> RecoveryTracker {
        RecoveryTracker { began, before: (0, 0), full: 0, waits: [0; 4], is_recovered: false }
    }

    /// Called at the end of each second; tells once that the process is whole, and what it waited for until
    /// then.
    pub fn record_second(&mut self, now: u64, of: SecondSummary) -> Option<String> {
        if self.is_recovered {
            return None;
        }
        let completed = of.completed.saturating_sub(self.before.0);
        let answered = of.answered.saturating_sub(self.before.1);
        self.before = (of.completed, of.answered);
        let serves = completed as f64 >= FULL * answered as f64;
        for (waits, holds) in
            self.waits.iter_mut().zip([of.is_list_authoritative, of.has_policy, of.admits_all, serves])
        {
            *waits += u32::from(!holds);
        }
        self.full = if of.is_list_authoritative && of.has_policy && of.admits_all && serves {
            self.full + 1
        } else {
            0
        };
        if self.full < SECONDS {
            return None;
        }
        self.is_recovered = true;
        let [told, settled, takes_all, serves] = self.waits;
        // Recovered since the first of the full seconds.
        let after = (now.saturating_sub(self.began) / 1_000_000).saturating_sub(u64::from(SECONDS));
        Some(format!(
            "whole after {after} s: {told} s without discovery's list, {settled} s without a policy, {takes_all} s \
             of taking few, {serves} s under {}% completed",
            FULL * 100.0
        ))
    }
}
