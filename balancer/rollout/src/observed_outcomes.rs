//! What this process observes of servers, and of itself, while a release is watched: counts that the fleet's
//! thread collects several times a second, so that they never grow with time.

use std::collections::BTreeMap;

use crate::{OutcomeCounts, SYMPTOMS, SlowThresholds};
use whinspindle::host::Outcome;

/// Indices into `SYMPTOMS`.
const FAILED: usize = 0;
const SLOW: usize = 1;
const REJECTED: usize = 2;

/// The observations since they were last collected.
#[derive(Default)]
pub struct ObservedOutcomes {
    thresholds: SlowThresholds,
    servers: BTreeMap<usize, OutcomeCounts>,
    own: OutcomeCounts,
}

fn count(bad: [bool; SYMPTOMS.len()]) -> OutcomeCounts {
    OutcomeCounts { executions: 1, bad: bad.map(u32::from) }
}

impl ObservedOutcomes {
    /// Counts an execution that ended at a server after `spent` microseconds.
    pub fn record_execution(&mut self, server: usize, product: usize, outcome: Outcome, spent: u64) {
        let mut bad = [false; SYMPTOMS.len()];
        match outcome {
            Outcome::Completed => bad[SLOW] = self.thresholds.is_slow(product, spent),
            Outcome::Rejected => bad[REJECTED] = true,
            // The server is not at fault.
            Outcome::ClientError | Outcome::StaleConnection | Outcome::Cancelled | Outcome::NeverSent => {
                return;
            }
            _ => bad[FAILED] = true,
        }
        self.servers.entry(server).or_default().add(count(bad));
    }

    /// Counts a client's request that has its final answer, for this process itself.
    pub fn record_request(&mut self, aborted: bool, tardy: bool, rejected: bool) {
        let mut bad = [false; SYMPTOMS.len()];
        (bad[FAILED], bad[SLOW], bad[REJECTED]) = (aborted, tardy, rejected);
        self.own.add(count(bad));
    }

    /// The counts since the last call: by server, and of the process itself.
    pub fn take(&mut self) -> (BTreeMap<usize, OutcomeCounts>, OutcomeCounts) {
        (std::mem::take(&mut self.servers), std::mem::take(&mut self.own))
    }
}
