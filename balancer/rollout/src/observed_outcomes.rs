//! The outcomes that this process observes of servers and of itself while a release is watched. The fleet's
//! thread collects the counts several times a second, so their size is bounded.

use std::collections::BTreeMap;

use crate::{OutcomeCounts, SYMPTOMS, SlowThresholds};
use whinspindle::host::Outcome;

/// The index of failures in `SYMPTOMS`.
const FAILED: usize = 0;
/// The index of slow answers in `SYMPTOMS`.
const SLOW: usize = 1;
/// The index of rejections in `SYMPTOMS`.
const REJECTED: usize = 2;

/// The outcomes since they were last collected.
#[derive(Default)]
pub struct ObservedOutcomes {
    thresholds: SlowThresholds,
    server_counts: BTreeMap<usize, OutcomeCounts>,
    own_counts: OutcomeCounts,
}

fn single_outcome(bad: [bool; SYMPTOMS.len()]) -> OutcomeCounts {
    OutcomeCounts { executions: 1, bad: bad.map(u32::from) }
}

impl ObservedOutcomes {
    /// Counts an execution that ended at a server after `elapsed_us` microseconds.
    pub fn record_execution(&mut self, server: usize, product: usize, outcome: Outcome, elapsed_us: u64) {
        let mut bad = [false; SYMPTOMS.len()];
        match outcome {
            Outcome::Completed => bad[SLOW] = self.thresholds.is_slow(product, elapsed_us),
            Outcome::Rejected => bad[REJECTED] = true,
            // These outcomes are not the server's fault.
            Outcome::ClientError | Outcome::StaleConnection | Outcome::Cancelled | Outcome::NeverSent => {
                return;
            }
            _ => bad[FAILED] = true,
        }
        self.server_counts.entry(server).or_default().add(single_outcome(bad));
    }

    /// Counts a client's request after its final answer, as an outcome of this process itself.
    pub fn record_request(&mut self, aborted: bool, late: bool, rejected: bool) {
        let mut bad = [false; SYMPTOMS.len()];
        (bad[FAILED], bad[SLOW], bad[REJECTED]) = (aborted, late, rejected);
        self.own_counts.add(single_outcome(bad));
    }

    /// Returns the counts since the last call: those by server, and those of the process itself.
    pub fn take(&mut self) -> (BTreeMap<usize, OutcomeCounts>, OutcomeCounts) {
        (std::mem::take(&mut self.server_counts), std::mem::take(&mut self.own_counts))
    }
}
