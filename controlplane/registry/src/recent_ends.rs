//! Instances that were deregistered a short while ago. Balancers are sent their ids: one that was partitioned may still
//! have them as ready, and the absence of an instance from a list does not tell it that the instance has ended.

use std::collections::VecDeque;

/// How long an end is kept, in milliseconds.
const RETENTION_MS: u64 = 30_000;
/// The number of ends that are kept.
const CAPACITY: usize = 128;

#[derive(Debug)]
struct Ended {
    id: String,
    /// The time of the first `expire` after it; the end itself comes without a time.
    seen_at: Option<u64>,
}

/// The newest ends, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RecentEnds {
    ended: VecDeque<Ended>,
}

impl RecentEnds {
    /// Adds the newest end.
    pub fn add(&mut self, id: &str) {
        if self.ended.len() >= CAPACITY {
            self.ended.pop_front();
        }
        self.ended.push_back(Ended { id: id.to_owned(), seen_at: None });
    }

    /// Removes ends that are older than the retention time.
    pub fn expire(&mut self, now: u64) {
        for ended in &mut self.ended {
            ended.seen_at.get_or_insert(now);
        }
        self.ended.retain(|ended| ended.seen_at.is_none_or(|at| now < at + RETENTION_MS));
    }

    /// The ids, oldest end first.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.ended.iter().map(|ended| ended.id.as_str())
    }
}
