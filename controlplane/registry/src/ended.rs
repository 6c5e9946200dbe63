//! Instances that have ended a short while ago. They are still listed, as draining: a balancer that was out of contact
//! may hold them as ready, and what a list doesn't name says little to it.

use std::collections::VecDeque;

use crate::instances::InstanceRecord;

/// How long an instance that has ended is listed.
const LISTED_MS: u64 = 30_000;
/// How many are listed at most.
const CAPACITY: usize = 256;

#[derive(Debug)]
struct Ended {
    record: InstanceRecord,
    /// The first time at which it was looked at; the end itself comes without a time.
    seen_at: Option<u64>,
}

/// The newest ends, oldest first.
#[derive(Debug, Default)]
pub(crate) struct EndedInstances {
    ended: VecDeque<Ended>,
}

impl EndedInstances {
    pub fn add(&mut self, record: InstanceRecord) {
        if self.ended.len() >= CAPACITY {
            self.ended.pop_front();
        }
        self.ended.push_back(Ended { record, seen_at: None });
    }

    /// Forgets what ended long ago.
    pub fn expire(&mut self, now: u64) {
        for ended in &mut self.ended {
            ended.seen_at.get_or_insert(now);
        }
        self.ended.retain(|ended| ended.seen_at.is_none_or(|at| now < at + LISTED_MS));
    }

    pub fn records(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.ended.iter().map(|ended| &ended.record)
    }
}
