//! State shared between the fleet's thread and the requests, behind one lock that is only held briefly.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use whinspindle_endpoint_cache::Trust;
use whinspindle_fleet_policy::LeaseState;
use whinspindle_operator_file::OperatorConfig;
use whinspindle_protocol::endpoints::{EndpointUpdate, ListedServer};
use whinspindle_rollout::{OutcomeCounts, ServerStatus};

/// The shared state.
pub(super) struct Published {
    /// The right of this process to decide by a policy.
    pub(super) right: LeaseState,
    /// When the right expires, by the [`FleetClock`].
    pub(super) until: u64,
    /// The policy last in force, with its number.
    pub(super) policy: Option<(u64, Arc<OperatorConfig>)>,
    /// The file whose rules apply while the process is isolated.
    pub(super) cut_off: Arc<OperatorConfig>,
    /// Version and keys of the servers taken out.
    pub(super) taken_out_servers: (u64, BTreeSet<u64>),
    /// Whether this balancer is taken out.
    pub(super) is_taken_out: bool,
    /// The list from discovery, for other balancers, and for how many microseconds discovery has been silent.
    pub(super) discovered_list: Option<(Vec<ListedServer>, u64)>,
    /// A list received from other balancers, and how far it is trusted.
    pub(super) neighbour_list: Option<(EndpointUpdate, Trust)>,
    /// The servers listed by this balancer.
    pub(super) listed_servers: Vec<ServerStatus>,
    /// Counts since the thread last took them, by server key and stratum.
    pub(super) counts: BTreeMap<(u64, u16), OutcomeCounts>,
    /// Counts of this process since the thread last took them.
    pub(super) own: OutcomeCounts,
}

/// Locks the shared state. A poisoned lock is used all the same, since every field is replaced as a whole.
pub(super) fn lock(published: &Mutex<Published>) -> MutexGuard<'_, Published> {
    published.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Microseconds since the start by the monotonic clock, counted from 1 so that 0 precedes every time.
#[derive(Clone, Copy)]
pub(super) struct FleetClock(pub(super) Instant);

impl FleetClock {
    pub(super) fn now(self) -> u64 {
        1 + self.0.elapsed().as_micros() as u64
    }
}
