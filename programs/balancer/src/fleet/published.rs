//! What the fleet's thread and the queries tell one another, behind one lock that is never held for long.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use whinspindle_endpoint_cache::Trust;
use whinspindle_fleet_policy::Right;
use whinspindle_operator_file::Operator;
use whinspindle_protocol::endpoints::{EndpointUpdate, ListedServer};
use whinspindle_rollout::{Count, Place};

/// What the thread has published.
pub(super) struct Published {
    pub(super) right: Right,
    pub(super) until: u64,
    pub(super) policy: Option<(u64, Arc<Operator>)>,
    pub(super) cut_off: Arc<Operator>,
    /// The servers that are let out, and a number that grows when they change; whether this balancer is.
    pub(super) let_out: (u64, BTreeSet<u64>),
    pub(super) is_taken_out: bool,
    /// The list as discovery has told it, to be given to neighbours, and for how many microseconds that has been
    /// silent; what neighbours have given.
    pub(super) told_list: Option<(Vec<ListedServer>, u64)>,
    pub(super) given_list: Option<(EndpointUpdate, Trust)>,
    /// The servers as this balancer has them listed, for the thread.
    pub(super) places: Vec<Place>,
    /// What was counted since the thread looked last: of servers, by key and stratum, and of the process
    /// itself; nothing while no release is watched, so that it does not grow with the servers that come and go.
    pub(super) counts: BTreeMap<(u64, u16), Count>,
    pub(super) own: Count,
}

/// A panic in one holder of the lock must not end the other: what is published is replaced as a whole.
pub(super) fn held(published: &Mutex<Published>) -> MutexGuard<'_, Published> {
    published.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Microseconds since the start, by the monotonic clock; the first moment is 1, so that 0 is before all.
#[derive(Clone, Copy)]
pub(super) struct FleetClock(pub(super) Instant);

impl FleetClock {
    pub(super) fn now(self) -> u64 {
        1 + self.0.elapsed().as_micros() as u64
    }
}
