//! The schedule of writing the state of the registries to the disk. This state is not replicated. A restarted
//! process restores it, so that it need not wait until every instance and balancer has reported again.

/// The minimum time between two writes, in milliseconds.
const MIN_INTERVAL_MS: u64 = 1_000;

/// The versions of both registries at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegistryVersions {
    /// The version of the instance registry.
    pub instances: u64,
    /// The version of the lease table.
    pub leases: u64,
}

/// The versions that were last written, and the earliest time of the next write.
#[derive(Debug, Default)]
pub struct SaveSchedule {
    written_versions: Option<RegistryVersions>,
    /// The time at which the last slow start in the written state ends.
    outdated_at: Option<u64>,
    next_write_at: u64,
    is_writing: bool,
}

impl SaveSchedule {
    /// Whether a write of the state is due.
    pub fn is_due(&self, now: u64, versions: RegistryVersions) -> bool {
        let is_outdated = self.outdated_at.is_some_and(|at| now >= at);
        !self.is_writing
            && now >= self.next_write_at
            && (is_outdated || self.written_versions != Some(versions))
    }

    /// Records the start of a write. `slow_start_ms` is the longest remaining slow start of its instances, in
    /// milliseconds.
    pub fn record_write_start(&mut self, now: u64, versions: RegistryVersions, slow_start_ms: u64) {
        self.written_versions = Some(versions);
        self.outdated_at = (slow_start_ms > 0).then(|| now.saturating_add(slow_start_ms));
        self.next_write_at = now + MIN_INTERVAL_MS;
        self.is_writing = true;
    }

    /// Records that the write has succeeded or failed. A failed write is not repeated, because the next
    /// change leads to another write.
    pub fn record_write_end(&mut self) {
        self.is_writing = false;
    }
}
