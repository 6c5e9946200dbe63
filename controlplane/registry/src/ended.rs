//! Instances that have ended a short while ago. Their ends are told to balancers: one that was out of contact may hold
//! them as ready, and what a list doesn't name says little to it.

use std::collections::VecDeque;

/// For how long an end is told.
const TOLD_MS: u64 = 30_000;
/// How many are told at most.
const CAPACITY: usize = 128;

#[derive(Debug)]
struct Ended {
    id: String,
    /// The first time at which it was looked at; the end itself comes without a time.
    seen_at: Option<u64>,
}

/// The newest ends, oldest first.
#[derive(Debug, Default)]
pub(crate) struct EndedInstances {
    ended: VecDeque<Ended>,
}

impl EndedInstances {
    pub fn add(&mut self, id: &str) {
        if self.ended.len() >= CAPACITY {
            self.ended.pop_front();
        }
        self.ended.push_back(Ended { id: id.to_owned(), seen_at: None });
    }

    /// Forgets what ended long ago.
    pub fn expire(&mut self, now: u64) {
        for ended in &mut self.ended {
            ended.seen_at.get_or_insert(now);
        }
        self.ended.retain(|ended| ended.seen_at.is_none_or(|at| now < at + TOLD_MS));
    }

    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.ended.iter().map(|ended| ended.id.as_str())
    }
}
