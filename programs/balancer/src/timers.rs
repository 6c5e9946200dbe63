//! Timers that the balancing decisions have requested.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Pending timers, the earliest first.
#[derive(Default)]
pub struct Timers {
    due: RefCell<BinaryHeap<Reverse<(Instant, u32)>>>,
    earlier: Notify,
}

impl Timers {
    /// Adds a timer that fires after `wait` microseconds and yields `label`.
    pub fn add(&self, wait: u64, label: u32) {
        let at = Instant::now() + Duration::from_micros(wait);
        let mut due = self.due.borrow_mut();
        let first = due.peek().is_none_or(|Reverse(next)| at < next.0);
        due.push(Reverse((at, label)));
        if first {
            self.earlier.notify_one();
        }
    }

    /// Waits until a timer fires and returns its label.
    pub async fn next(&self) -> u32 {
        loop {
            let next = self.due.borrow().peek().map(|Reverse((at, _))| *at);
            match next {
                Some(at) if at <= Instant::now() => {
                    if let Some(Reverse((_, label))) = self.due.borrow_mut().pop() {
                        return label;
                    }
                }
                Some(at) => tokio::select! {
                    () = sleep_until(at) => {}
                    () = self.earlier.notified() => {}
                },
                None => self.earlier.notified().await,
            }
        }
    }
}
