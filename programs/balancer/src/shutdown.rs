//! Graceful shutdown: how long clients are still served, and by when every client must have its answer.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// The process is killed no sooner than the longest statement timeout, counted up to this, plus
/// [`TIME_BEYOND_STATEMENT`] after the request.
const MAX_STATEMENT_TIME: Duration = Duration::from_secs(3);
/// Time that is granted beyond the statement timeout.
const TIME_BEYOND_STATEMENT: Duration = Duration::from_millis(700);
/// Longest time from the request to the end of the process.
pub const MAX_SHUTDOWN_TIME: Duration = MAX_STATEMENT_TIME.saturating_add(TIME_BEYOND_STATEMENT);
/// Time reserved for the last answers to reach their clients.
const ANSWER_DELIVERY_TIME: Duration = Duration::from_millis(200);

/// State of the graceful shutdown.
pub struct Shutdown {
    /// Time from the request until the process may be killed.
    allowed: Duration,
    /// When the shutdown was requested.
    requested: Cell<Option<Instant>>,
    /// Notified at the request.
    request: Notify,
}

impl Shutdown {
    /// `longest` is the longest statement timeout in microseconds.
    pub fn new(longest: u64) -> Self {
        let allowed = Duration::from_micros(longest).min(MAX_STATEMENT_TIME) + TIME_BEYOND_STATEMENT;
        Shutdown { allowed, requested: Cell::new(None), request: Notify::new() }
    }

    /// Requests the shutdown.
    pub fn request(&self) {
        self.requested.set(Some(Instant::now()));
        self.request.notify_one();
    }

    /// Whether the shutdown has been requested.
    pub fn is_requested(&self) -> bool {
        self.requested.get().is_some()
    }

    /// Waits for the request; returns when to close the client connections. The first half of the time is for
    /// serving clients, since another balancer may not be back yet from its own restart, and the second half for
    /// pending answers.
    pub async fn requested(&self) -> Instant {
        self.request.notified().await;
        self.requested.get().unwrap_or_else(Instant::now) + self.allowed / 2
    }

    /// Limits a client's patience, in microseconds, to the time left before the process may be killed.
    pub fn limit_patience(&self, patience: u64) -> u64 {
        patience.min(self.time_left().as_micros() as u64)
    }

    /// Time left for answers; unlimited before the request.
    pub fn time_left(&self) -> Duration {
        let end = self.requested.get().map(|requested| requested + self.allowed - ANSWER_DELIVERY_TIME);
        end.map_or(Duration::MAX, |end| end.saturating_duration_since(Instant::now()))
    }
}

#[cfg(test)]
mod tests;
