//! The order to stop: how long clients are still served, and by when all of them must have their answer.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// The program is killed no sooner than the longest statement timeout, of which so much counts, and the time
/// beyond it after the order.
const MOST_OF_LONGEST: Duration = Duration::from_secs(3);
const BEYOND_LONGEST: Duration = Duration::from_millis(700);
pub const LONGEST: Duration = MOST_OF_LONGEST.saturating_add(BEYOND_LONGEST);
/// What the last answers need to reach their clients.
const LAST_ANSWERS: Duration = Duration::from_millis(200);

pub struct Stop {
    allowed: Duration,
    ordered: Cell<Option<Instant>>,
    order: Notify,
}

impl Stop {
    /// `longest` is the longest statement timeout in microseconds.
    pub fn new(longest: u64) -> Self {
        let allowed = Duration::from_micros(longest).min(MOST_OF_LONGEST) + BEYOND_LONGEST;
        Stop { allowed, ordered: Cell::new(None), order: Notify::new() }
    }

    pub fn order(&self) {
        self.ordered.set(Some(Instant::now()));
        self.order.notify_one();
    }

    pub fn is_ordered(&self) -> bool {
        self.ordered.get().is_some()
    }

    /// Waits for the order; returns when to part with the clients. Half of the time is for serving them,
    /// since another balancer may not be back yet from a stop of its own, and half for the answers that are
    /// owed then.
    pub async fn ordered(&self) -> Instant {
        self.order.notified().await;
        self.ordered.get().unwrap_or_else(Instant::now) + self.allowed / 2
    }

    /// How much of a client's patience, in microseconds, is left before the program may be killed.
    pub fn within(&self, patience: u64) -> u64 {
        patience.min(self.client_gone().as_micros() as u64)
    }

    /// How much time is left for answers; without an end before the order.
    pub fn client_gone(&self) -> Duration {
        let end = self.ordered.get().map(|ordered| ordered + self.allowed - LAST_ANSWERS);
        end.map_or(Duration::MAX, |end| end.saturating_duration_since(Instant::now()))
    }
}

#[cfg(test)]
mod tests;
