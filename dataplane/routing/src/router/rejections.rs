//! Rejections, and the time after which a rejected client may retry.

use whinspindle::pcg::Pcg;
use whinspindle_configuration::Mechanism;

use super::RouterSettings;
use crate::catalogue::RoutePlan;
use crate::service::Service;
use crate::{Choice, Rejection, RejectionReason, RequestFacts};

/// Clients wait for at most a third of their remaining time; this stays below it.
const MOST_OF_REMAINING_TIME: f64 = 0.3;
/// The least factor by which jitter changes the time to retry, and the range above it.
const JITTER_LEAST: f64 = 0.75;
const JITTER_RANGE: f64 = 0.5;
/// The least time to retry.
const LEAST_RETRY_AFTER_MS: f64 = 20.0;
/// The time to retry as a fraction of the latency target, unless the reason gives a better estimate.
const RETRY_AFTER_FRACTION: f64 = 0.25;
/// Without any upstream the time to retry is this many heartbeat intervals: an instance that is back registers with its
/// heartbeat, and outages rarely end within a second.
const NO_UPSTREAM_HEARTBEATS: u64 = 4;

/// When a retry makes sense, not yet limited by the client's remaining time.
pub(super) fn retry_after_ms(
    reason: RejectionReason,
    now: u64,
    route: &RoutePlan,
    service: &Service,
    settings: &RouterSettings,
) -> f64 {
    let part_of_target = RETRY_AFTER_FRACTION * route.target_ms as f64;
    if !settings.mechanisms.has(Mechanism::RefusalPauses) {
        return part_of_target;
    }
    match reason {
        RejectionReason::Full | RejectionReason::RetryBudget => part_of_target,
        RejectionReason::WarmingUp => service.warm_up_wait_ms(now).map_or(part_of_target, |wait| wait as f64),
        RejectionReason::NoUpstream => no_upstream_wait_ms(settings),
    }
}

/// The time to retry where no instance takes requests.
pub(super) fn no_upstream_wait_ms(settings: &RouterSettings) -> f64 {
    (NO_UPSTREAM_HEARTBEATS * settings.heartbeat_ms) as f64
}

/// A rejection with jitter on the time to retry, so that clients don't come back all at once.
pub(super) fn reject(
    reason: RejectionReason,
    wait_ms: f64,
    facts: &RequestFacts,
    random: &mut Pcg,
) -> Choice {
    let most = (MOST_OF_REMAINING_TIME * facts.time_left_ms as f64).max(LEAST_RETRY_AFTER_MS);
    let spread = wait_ms * (JITTER_LEAST + JITTER_RANGE * random.next_f64());
    let retry_after_ms = spread.clamp(LEAST_RETRY_AFTER_MS, most) as u64;
    Choice::Reject(Rejection { reason, retry_after_ms })
}
