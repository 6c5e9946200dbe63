//! The load that a server reports with its answers and to probes.

use super::Machine;
use crate::MICROSECONDS_PER_SECOND;
use crate::random::RandomGenerator;

/// The load that a server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// The share of the core time used, if it reports it.
    pub utilization: Option<f64>,
    /// Queries answered a second, if it reports it.
    pub throughput: Option<f64>,
    /// Queries in the slots.
    pub inflight: usize,
    /// Queries that wait.
    pub queue: usize,
}

impl Machine {
    /// The load that an answer or a probe reports: renewed at intervals, and with noise.
    pub fn report(&mut self, now: u64) -> Option<Report> {
        self.advance(now);
        let passed = now.saturating_sub(self.reported);
        if passed >= self.reports.every {
            let amplitude = self.reports.noise;
            let noise = |random: &mut RandomGenerator| 1.0 + amplitude * (2.0 * random.unit() - 1.0);
            let busy = (self.used / (passed as f64 * self.cores)).min(1.0);
            let rate = self.answered as f64 * MICROSECONDS_PER_SECOND / passed as f64;
            let busy = (busy * noise(&mut self.random)).min(1.0);
            let rate = rate * noise(&mut self.random);
            self.report = Report {
                utilization: self.reports.utilization.then_some(busy),
                throughput: self.reports.throughput.then_some(rate),
                inflight: self.jobs.len() - self.waiting.len(),
                queue: self.waiting.len(),
            };
            (self.reported, self.used, self.answered) = (now, 0.0, 0);
        }
        let reports_load = self.reports.utilization || self.reports.throughput;
        (reports_load && !self.random.chance(self.reports.absent)).then_some(self.report)
    }
}
