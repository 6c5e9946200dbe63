//! When the state of the registries is written to the disk. It is not replicated; a restarted process restores it, so that
//! it need not wait until every instance and balancer has reported again.

/// The least time between two writes, in milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// The versions of the registries at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegistryVersions {
    /// Of the registry of instances.
    pub instances: u64,
    /// Of the table of leases.
    pub leases: u64,
}

/// What was written last, and when the next write may begin.
#[derive(Debug, Default)]
pub struct SaveSchedule {
    written: Option<RegistryVersions>,
    /// When the last slow start in the written state has ended.
    outdated_at: Option<u64>,
    next_at: u64,
    is_writing: bool,
}

impl SaveSchedule {
    /// Whether the state is to be written now.
    pub fn is_due(&self, now: u64, versions: RegistryVersions) -> bool {
        let is_outdated = self.outdated_at.is_some_and(|at| now >= at);
        !self.is_writing && now >= self.next_at && (is_outdated || self.written != Some(versions))
    }

    /// A write has begun. `slow_start_ms` is the longest remaining slow start of its instances.
    pub fn write_started(&mut self, now: u64, versions: RegistryVersions, slow_start_ms: u64) {
        self.written = Some(versions);
        self.outdated_at = (slow_start_ms > 0).then(|| now.saturating_add(slow_start_ms));
        self.next_at = now + INTERVAL_MS;
        self.is_writing = true;
    }

    /// The write has ended. A failed one is not repeated: the next change leads to another write.
    pub fn write_ended(&mut self) {
        self.is_writing = false;
    }
}
