//! Instances that were deregistered recently. Their ids are sent to balancers, because a balancer that was
//! partitioned may still list such an instance as ready, and does not treat an instance that is missing from
//! an update as deregistered.

use std::collections::VecDeque;

/// How long a deregistration is kept, in milliseconds.
const RETENTION_MS: u64 = 30_000;
/// The maximum number of deregistrations that are kept.
const CAPACITY: usize = 128;

#[derive(Debug)]
struct DeregisteredInstance {
    id: String,
    /// The time of the first `expire` call after the deregistration, which itself carries no time.
    first_expiry_at: Option<u64>,
}

/// The most recent deregistrations, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RecentDeregistrations {
    instances: VecDeque<DeregisteredInstance>,
}

impl RecentDeregistrations {
    /// Adds a deregistration as the newest one.
    pub fn add(&mut self, id: &str) {
        if self.instances.len() >= CAPACITY {
            self.instances.pop_front();
        }
        self.instances.push_back(DeregisteredInstance { id: id.to_owned(), first_expiry_at: None });
    }

    /// Removes deregistrations that are older than the retention time.
    pub fn expire(&mut self, now: u64) {
        for instance in &mut self.instances {
            instance.first_expiry_at.get_or_insert(now);
        }
        self.instances.retain(|instance| instance.first_expiry_at.is_none_or(|at| now < at + RETENTION_MS));
    }

    /// The ids of the deregistered instances, oldest deregistration first.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.instances.iter().map(|instance| instance.id.as_str())
    }
}
