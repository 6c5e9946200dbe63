//! The worst schedule that a route allows.

use crate::{Bounds, Conditions};

/// The worst schedule that a route allows. Times are microseconds from when the request was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// When each execution is sent at the latest, the first at 0.
    pub sends: Vec<u64>,
    /// When the last of them reaches a server at the latest.
    pub last_arrival: u64,
    /// When the last of them has ended at the latest.
    pub last_end: u64,
    /// When the client has its final answer at the latest.
    pub answer: u64,
}

/// The worst schedule of these conditions. Every timer may fire a tick late, and an execution has ended a tick
/// after its time at the latest.
pub fn worst(conditions: &Conditions, bounds: &Bounds) -> Schedule {
    let wait = conditions.wait + (conditions.wait as f64 * conditions.spread.max(0.0)).ceil() as u64;
    let step = conditions.execution_time.saturating_add(wait).saturating_add(2 * bounds.tick);
    // Nothing is sent within the last two ticks of the request's time.
    let last = conditions.time.saturating_sub(2 * bounds.tick);
    let sends: Vec<u64> = (0..conditions.executions.max(1) as u64)
        .map(|n| step.saturating_mul(n))
        .filter(|&at| at <= last)
        .collect();
    let last_send = sends.last().copied().unwrap_or(0);
    Schedule {
        last_arrival: last_send + bounds.connect_time_out.min(conditions.execution_time) + bounds.network,
        last_end: (last_send + conditions.execution_time).min(conditions.time) + bounds.tick,
        answer: conditions.time + bounds.tick,
        sends,
    }
}
