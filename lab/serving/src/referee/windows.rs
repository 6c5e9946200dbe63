//! Counts over sliding windows.

use std::collections::VecDeque;

/// The events of the last so many milliseconds.
#[derive(Debug)]
pub struct SlidingCount {
    window_ms: u64,
    times: VecDeque<u64>,
}

impl SlidingCount {
    pub fn new(window_ms: u64) -> Self {
        SlidingCount { window_ms, times: VecDeque::new() }
    }

    /// Adds an event and returns how many the window that ends with it holds.
    pub fn add(&mut self, now: u64) -> usize {
        self.times.push_back(now);
        while self.times.front().is_some_and(|&first| first + self.window_ms <= now) {
            self.times.pop_front();
        }
        self.times.len()
    }
}

/// How many of these rising times lie after `from` and not after `to`.
pub fn count_between(times: &[u64], from: Option<u64>, to: u64) -> usize {
    let before = from.map_or(0, |from| times.partition_point(|&time| time <= from));
    times.partition_point(|&time| time <= to).saturating_sub(before)
}
