//! The worst schedule that a route allows.

use crate::{Conditions, DeploymentLimits};

/// The worst schedule that a route allows. Times are microseconds from when the request was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// When each execution is sent at the latest, the first at 0.
    pub send_times_us: Vec<u64>,
    /// When the last of them reaches a server at the latest.
    pub last_arrival_us: u64,
    /// When the last of them has ended at the latest.
    pub last_end_us: u64,
    /// When the client has its final answer at the latest.
    pub answer_us: u64,
}

/// The worst schedule of these conditions. Every timer may fire a tick late, and an execution has ended a tick
/// after its time at the latest.
pub fn worst_schedule(conditions: &Conditions, bounds: &DeploymentLimits) -> Schedule {
    let wait = conditions.retry_delay_us
        + (conditions.retry_delay_us as f64 * conditions.retry_jitter.max(0.0)).ceil() as u64;
    let step = conditions.execution_timeout_us.saturating_add(wait).saturating_add(2 * bounds.tick_us);
    // Nothing is sent within the last two ticks of the request's time.
    let last = conditions.timeout_us.saturating_sub(2 * bounds.tick_us);
    let sends: Vec<u64> = (0..conditions.max_executions.max(1) as u64)
        .map(|n| step.saturating_mul(n))
        .filter(|&at| at <= last)
        .collect();
    let last_send = sends.last().copied().unwrap_or(0);
    Schedule {
        last_arrival_us: last_send
            + bounds.connect_timeout_us.min(conditions.execution_timeout_us)
            + bounds.network_delay_us,
        last_end_us: (last_send + conditions.execution_timeout_us).min(conditions.timeout_us)
            + bounds.tick_us,
        answer_us: conditions.timeout_us + bounds.tick_us,
        send_times_us: sends,
    }
}
