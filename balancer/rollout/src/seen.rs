//! What this process sees of servers, and of itself, while a release is watched: counts that the fleet's
//! thread takes away a few times a second, so that they never grow with time.

use std::collections::BTreeMap;

use crate::{Count, Lines, SIGNS};
use whinspindle::host::Outcome;

const FAILS: usize = 0;
const SLOW: usize = 1;
const TURNED_AWAY: usize = 2;

#[derive(Default)]
pub struct Seen {
    lines: Lines,
    servers: BTreeMap<usize, Count>,
    own: Count,
}

fn count(bad: [bool; SIGNS.len()]) -> Count {
    Count { executions: 1, bad: bad.map(u32::from) }
}

impl Seen {
    /// An execution has ended at a server after so many microseconds.
    pub fn execution(&mut self, server: usize, product: usize, outcome: Outcome, spent: u64) {
        let mut bad = [false; SIGNS.len()];
        match outcome {
            Outcome::Completed => bad[SLOW] = self.lines.is_slow(product, spent),
            Outcome::Rejected => bad[TURNED_AWAY] = true,
            // The fault is the query's or this process's own, or nobody's.
            Outcome::Unfit | Outcome::Stale | Outcome::Cancelled | Outcome::NeverSent => return,
            _ => bad[FAILS] = true,
        }
        self.servers.entry(server).or_default().add(count(bad));
    }

    /// A query of a client has its final answer here.
    pub fn query(&mut self, aborted: bool, tardy: bool, rejected: bool) {
        let mut bad = [false; SIGNS.len()];
        (bad[FAILS], bad[SLOW], bad[TURNED_AWAY]) = (aborted, tardy, rejected);
        self.own.add(count(bad));
    }

    /// What was counted since the last call: by server, and of the process itself.
    pub fn take(&mut self) -> (BTreeMap<usize, Count>, Count) {
        (std::mem::take(&mut self.servers), std::mem::take(&mut self.own))
    }
}
