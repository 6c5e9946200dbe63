//! The worst schedule that a route allows.

use crate::{Conditions, DeploymentLimits};

/// The worst schedule that a route allows. Times are microseconds from the request's arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// The latest send of each execution, the first at 0.
    pub send_times_us: Vec<u64>,
    /// The latest arrival of the last execution at a server.
    pub last_arrival_us: u64,
    /// The latest end of the last execution.
    pub last_end_us: u64,
    /// The latest final answer to the client.
    pub answer_us: u64,
}

/// Computes the worst schedule of these conditions. Every timer may fire a tick late, and an execution has
/// ended a tick after its time-out at the latest.
pub fn worst_schedule(conditions: &Conditions, limits: &DeploymentLimits) -> Schedule {
    let max_delay = conditions.retry_delay_us
        + (conditions.retry_delay_us as f64 * conditions.retry_jitter.max(0.0)).ceil() as u64;
    let interval =
        conditions.execution_timeout_us.saturating_add(max_delay).saturating_add(2 * limits.tick_us);
    // No execution is sent within the last two ticks before the request's time-out.
    let latest_send = conditions.timeout_us.saturating_sub(2 * limits.tick_us);
    let send_times_us: Vec<u64> = (0..conditions.max_executions.max(1) as u64)
        .map(|index| interval.saturating_mul(index))
        .filter(|&send_time| send_time <= latest_send)
        .collect();
    let last_send = send_times_us.last().copied().unwrap_or(0);
    Schedule {
        last_arrival_us: last_send
            + limits.connect_timeout_us.min(conditions.execution_timeout_us)
            + limits.network_delay_us,
        last_end_us: (last_send + conditions.execution_timeout_us).min(conditions.timeout_us)
            + limits.tick_us,
        answer_us: conditions.timeout_us + limits.tick_us,
        send_times_us,
    }
}
