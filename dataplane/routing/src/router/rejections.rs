//! Rejections and their retry-after time.

use whinspindle::pcg::Pcg;
use whinspindle_configuration::Mechanism;

use super::RouterSettings;
use crate::catalogue::RoutePlan;
use crate::service::Service;
use crate::{Choice, Rejection, RejectionReason, RequestInfo};

/// Maximum retry-after time as a fraction of the remaining time; clients wait at most a third of that time.
const MAX_REMAINING_TIME_FRACTION: f64 = 0.3;
/// Minimum jitter factor of the retry-after time.
const JITTER_MIN_FACTOR: f64 = 0.75;
/// Range of the jitter factor above its minimum.
const JITTER_RANGE: f64 = 0.5;
/// Minimum retry-after time.
const MIN_RETRY_AFTER_MS: f64 = 20.0;
/// Default retry-after time as a fraction of the latency target.
const RETRY_AFTER_FRACTION: f64 = 0.25;
/// Retry-after time without an upstream, in heartbeat intervals. A recovered instance registers with its
/// heartbeat, and outages rarely end within a second.
const NO_UPSTREAM_HEARTBEATS: u64 = 4;

/// Retry-after time for a rejection reason, before it is limited by the remaining time of the client.
pub(super) fn retry_after_ms(
    reason: RejectionReason,
    now: u64,
    route: &RoutePlan,
    service: &Service,
    settings: &RouterSettings,
) -> f64 {
    let default_ms = RETRY_AFTER_FRACTION * route.target_ms as f64;
    if !settings.mechanisms.has(Mechanism::RefusalPauses) {
        return default_ms;
    }
    match reason {
        RejectionReason::Full | RejectionReason::RetryBudget => default_ms,
        RejectionReason::WarmingUp => service.warm_up_wait_ms(now).map_or(default_ms, |wait| wait as f64),
        RejectionReason::NoUpstream => no_upstream_wait_ms(settings),
    }
}

/// Retry-after time while no instance accepts requests.
pub(super) fn no_upstream_wait_ms(settings: &RouterSettings) -> f64 {
    (NO_UPSTREAM_HEARTBEATS * settings.heartbeat_ms) as f64
}

/// Creates a rejection. Jitter on the retry-after time keeps clients from retrying all at once.
pub(super) fn reject(
    reason: RejectionReason,
    wait_ms: f64,
    request: &RequestInfo,
    random: &mut Pcg,
) -> Choice {
    let max_wait_ms = (MAX_REMAINING_TIME_FRACTION * request.time_left_ms as f64).max(MIN_RETRY_AFTER_MS);
    let jittered_ms = wait_ms * (JITTER_MIN_FACTOR + JITTER_RANGE * random.next_f64());
    let retry_after_ms = jittered_ms.clamp(MIN_RETRY_AFTER_MS, max_wait_ms) as u64;
    Choice::Reject(Rejection { reason, retry_after_ms })
}
