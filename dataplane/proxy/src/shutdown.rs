//! Graceful shutdown: how long clients are still accepted, and by when all answers must be written.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// The answer to a request that is sent up to this long after the signal may be truncated at the end of the grace period;
/// a request that is sent later must not be accepted.
const LAST_REQUESTS: Duration = Duration::from_secs(3);
/// Assumed time from the client to this process, so that no request is accepted that was sent too late.
const REQUEST_TRANSIT: Duration = Duration::from_millis(200);
/// New clients are accepted for this time, in which all learn from their look-ups that this machine shuts down.
const ACCEPTING: Duration = LAST_REQUESTS.saturating_sub(REQUEST_TRANSIT);
/// Time for the last answers to reach their clients.
const LAST_ANSWERS: Duration = Duration::from_millis(400);
/// At most one part in so many of the grace period: what upstreams answer before its last sixth is passed on completely.
const LAST_ANSWERS_DIVISOR: u32 = 12;

/// The times of the phases of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// From the signal to the end of accepting.
    pub accepting: Duration,
    /// From the signal to the end of the process.
    pub answering: Duration,
}

impl ShutdownTimes {
    /// The phases for a process that is killed `grace` after the signal.
    pub fn of(grace: Duration) -> Self {
        ShutdownTimes {
            accepting: ACCEPTING.min(grace * 3 / 8),
            answering: grace.saturating_sub(LAST_ANSWERS.min(grace / LAST_ANSWERS_DIVISOR)),
        }
    }
}

/// Whether and when a shutdown was requested.
pub struct Shutdown {
    times: ShutdownTimes,
    requested_at: Cell<Option<Instant>>,
    request: Notify,
}

impl Shutdown {
    /// A process that has not been told to shut down.
    pub fn new(times: ShutdownTimes) -> Self {
        Shutdown { times, requested_at: Cell::new(None), request: Notify::new() }
    }

    /// Requests the shutdown. Further requests have no effect.
    pub fn request(&self) {
        if self.requested_at.get().is_none() {
            self.requested_at.set(Some(Instant::now()));
            self.request.notify_waiters();
        }
    }

    /// Whether the process was told to shut down.
    pub fn is_requested(&self) -> bool {
        self.requested_at.get().is_some()
    }

    /// Waits for the request, and then until no more clients are to be accepted.
    pub async fn accepting_ends(&self) {
        sleep_until(self.requested().await + self.times.accepting).await;
    }

    /// Waits for the request, and then until the process has to end.
    pub async fn answering_ends(&self) {
        sleep_until(self.requested().await + self.times.answering).await;
    }

    async fn requested(&self) -> Instant {
        loop {
            let request = self.request.notified();
            if let Some(at) = self.requested_at.get() {
                return at;
            }
            request.await;
        }
    }
}
