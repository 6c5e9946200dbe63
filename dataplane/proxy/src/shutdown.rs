//! Graceful shutdown: the times until which clients are accepted and answers are written.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Time after the signal in which clients may send requests whose answers may be truncated at the end of the
/// grace period. Requests that are sent later must not be accepted.
const LAST_REQUEST_WINDOW: Duration = Duration::from_secs(3);
/// Assumed network transit time of a request, subtracted so that later requests are not accepted.
const REQUEST_TRANSIT: Duration = Duration::from_millis(200);
/// Time for which new clients are accepted. Within this time, look-ups inform all clients of the shutdown.
const ACCEPTING_TIME: Duration = LAST_REQUEST_WINDOW.saturating_sub(REQUEST_TRANSIT);
/// Time for the last answers to reach their clients.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(400);
/// Divisor of the grace period that bounds the time for the last answers, so that answers of upstreams before
/// the last sixth of the grace period are passed on completely.
const LAST_ANSWERS_DIVISOR: u32 = 12;

/// Durations of the phases of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// From the signal to the end of accepting.
    pub accepting: Duration,
    /// From the signal to the end of the process.
    pub answering: Duration,
}

impl ShutdownTimes {
    /// Returns the durations for a process that is killed `grace` after the signal.
    pub fn for_grace_period(grace: Duration) -> Self {
        ShutdownTimes {
            accepting: ACCEPTING_TIME.min(grace * 3 / 8),
            answering: grace.saturating_sub(LAST_ANSWER_TIME.min(grace / LAST_ANSWERS_DIVISOR)),
        }
    }
}

/// The state of the shutdown.
pub struct Shutdown {
    times: ShutdownTimes,
    requested_at: Cell<Option<Instant>>,
    request: Notify,
}

impl Shutdown {
    /// Creates the state without a requested shutdown.
    pub fn new(times: ShutdownTimes) -> Self {
        Shutdown { times, requested_at: Cell::new(None), request: Notify::new() }
    }

    /// Requests the shutdown. Repeated calls have no effect.
    pub fn request(&self) {
        if self.requested_at.get().is_none() {
            self.requested_at.set(Some(Instant::now()));
            self.request.notify_waiters();
        }
    }

    /// Whether the shutdown was requested.
    pub fn is_requested(&self) -> bool {
        self.requested_at.get().is_some()
    }

    /// Waits until a shutdown is requested and the time to accept clients is over.
    pub async fn wait_for_accepting_end(&self) {
        sleep_until(self.wait_until_requested().await + self.times.accepting).await;
    }

    /// Waits until a shutdown is requested and the time to answer is over.
    pub async fn wait_for_answering_end(&self) {
        sleep_until(self.wait_until_requested().await + self.times.answering).await;
    }

    async fn wait_until_requested(&self) -> Instant {
        loop {
            let request = self.request.notified();
            if let Some(at) = self.requested_at.get() {
                return at;
            }
            request.await;
        }
    }
}
