//! The order to stop: how long clients are still taken, and by when all answers must be out.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// A request that is sent up to so long after the order may find its answer cut at the end of the grace; one that is
/// sent later must not be taken.
const LAST_REQUESTS: Duration = Duration::from_secs(3);
/// What a request may need from its client to this process, so that none that was sent too late is taken.
const REQUEST_WAY: Duration = Duration::from_millis(200);
/// Clients learn from new answers to their look-ups that this machine leaves, and are served meanwhile.
const STILL_ACCEPTING: Duration = LAST_REQUESTS.saturating_sub(REQUEST_WAY);
/// What the last answers need to reach their clients.
const LAST_ANSWERS: Duration = Duration::from_millis(400);
/// They get no more than this part of the grace: what upstreams answer before its last sixth has to go out whole.
const LAST_ANSWERS_PART: u32 = 12;

/// When things end after the order to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// From the order to the end of the listener.
    pub accepting: Duration,
    /// From the order to the end of the process.
    pub answering: Duration,
}

impl ShutdownTimes {
    /// The process is killed `grace` after the order.
    pub fn of(grace: Duration) -> Self {
        ShutdownTimes {
            accepting: STILL_ACCEPTING.min(grace * 3 / 8),
            answering: grace.saturating_sub(LAST_ANSWERS.min(grace / LAST_ANSWERS_PART)),
        }
    }
}

/// Whether and when the process was told to stop.
pub struct Shutdown {
    times: ShutdownTimes,
    requested_at: Cell<Option<Instant>>,
    request: Notify,
}

impl Shutdown {
    pub fn new(times: ShutdownTimes) -> Self {
        Shutdown { times, requested_at: Cell::new(None), request: Notify::new() }
    }

    /// Gives the order. Further orders change nothing.
    pub fn request(&self) {
        if self.requested_at.get().is_none() {
            self.requested_at.set(Some(Instant::now()));
            self.request.notify_waiters();
        }
    }

    pub fn is_requested(&self) -> bool {
        self.requested_at.get().is_some()
    }

    /// Waits for the order, and then until no more clients are to be taken.
    pub async fn accepting_ends(&self) {
        sleep_until(self.requested().await + self.times.accepting).await;
    }

    /// Waits for the order, and then until the process has to end.
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
