//! When the state that controllers only tell each other is written to the disk, so that a restarted process need not
//! wait until it has heard of everything again.

/// The least time between two writes.
const INTERVAL_MS: u64 = 1_000;

/// Versions of the instances and of the balancers.
pub type Versions = (u64, u64);

/// What the disk holds.
#[derive(Debug, Default)]
pub struct Memory {
    written: Option<Versions>,
    /// When the last cold time in it has passed.
    outdated_at: Option<u64>,
    next_at: u64,
    is_writing: bool,
}

impl Memory {
    /// Whether the state is to be written now.
    pub fn is_due(&self, now: u64, versions: Versions) -> bool {
        let is_outdated = self.outdated_at.is_some_and(|at| now >= at);
        !self.is_writing && now >= self.next_at && (is_outdated || self.written != Some(versions))
    }

    /// The state is being written; its instances are cold for so long at most.
    pub fn writing(&mut self, now: u64, versions: Versions, slow_start_ms: u64) {
        self.written = Some(versions);
        self.outdated_at = (slow_start_ms > 0).then(|| now.saturating_add(slow_start_ms));
        self.next_at = now + INTERVAL_MS;
        self.is_writing = true;
    }

    /// The write has ended. One that failed is made up for by the next change.
    pub fn written(&mut self) {
        self.is_writing = false;
    }
}
