//! What this process observes of servers, and of itself, while a release is watched: counts that the fleet's
//! thread collects several times a second, so that they never grow with time.

use std::collections::BTreeMap;

use crate::{Count, Lines, SIGNS};
use whinspindle::host::Outcome;

/// Indices into `SIGNS`.
const FAILED: usize = 0;
const SLOW: usize = 1;
const REJECTED: usize = 2;

/// The observations since they were last collected.
#[derive(Default)]
pub struct ObservedOutcomes {
    thresholds: Lines,
    servers: BTreeMap<usize, Count>,
    own: Count,
}

fn count(bad: [bool; SIGNS.len()]) -> Count {
    Count { executions: 1, bad: bad.map(u32::from) }
}

impl ObservedOutcomes {
    /// Counts an execution that ended at a server after `spent` microseconds.
    pub fn execution(&mut self, server: usize, product: usize, outcome: Outcome, spent: u64) {
        let mut bad = [false; SIGNS.len()];
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
    pub fn query(&mut self, aborted: bool, tardy: bool, rejected: bool) {
        let mut bad = [false; SIGNS.len()];
        (bad[FAILED], bad[SLOW], bad[REJECTED]) = (aborted, tardy, rejected);
        self.own.add(count(bad));
    }

    /// The counts since the last call: by server, and of the process itself.
    pub fn take(&mut self) -> (BTreeMap<usize, Count>, Count) {
        (std::mem::take(&mut self.servers), std::mem::take(&mut self.own))
    }
}
