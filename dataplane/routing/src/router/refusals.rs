//! When a client that is refused is to come back.

use whinspindle::pcg::Pcg;
use whinspindle_configuration::Mechanism;

use super::RouterSettings;
use crate::catalogue::RoutePlan;
use crate::service::Service;
use crate::{Choice, Refusal, RefusalReason, RequestFacts};

/// A client heeds a pause of a third of its time; this leaves it some.
const MOST_OF_TIME_LEFT: f64 = 0.3;
const LEAST_RETRY_AFTER_MS: f64 = 20.0;
/// A pause is this part of the route's objective where nothing tells more.
const RETRY_AFTER_PART: f64 = 0.25;
/// Without any upstream it is this many heartbeat intervals: one that is back makes itself known with its heartbeat,
/// and outages rarely end within a second.
const NO_UPSTREAM_HEARTBEATS: u64 = 4;

/// When another try makes sense, before what the client's time allows.
pub(super) fn retry_after_ms(
    reason: RefusalReason,
    now: u64,
    route: &RoutePlan,
    service: &Service,
    settings: &RouterSettings,
) -> f64 {
    let part_of_target = RETRY_AFTER_PART * route.target_ms as f64;
    if !settings.mechanisms.has(Mechanism::RefusalPauses) {
        return part_of_target;
    }
    match reason {
        RefusalReason::Full | RefusalReason::RetryBudget => part_of_target,
        RefusalReason::Cold => service.cold_wait_ms(now).map_or(part_of_target, |wait| wait as f64),
        RefusalReason::NoUpstream => no_upstream_wait_ms(settings),
    }
}

pub(super) fn no_upstream_wait_ms(settings: &RouterSettings) -> f64 {
    (NO_UPSTREAM_HEARTBEATS * settings.heartbeat_ms) as f64
}

/// A refusal with the pause spread by chance, so that clients don't come back all at once.
pub(super) fn refuse(reason: RefusalReason, wait_ms: f64, facts: &RequestFacts, chance: &mut Pcg) -> Choice {
    let most = (MOST_OF_TIME_LEFT * facts.time_left_ms as f64).max(LEAST_RETRY_AFTER_MS);
    let spread = wait_ms * (0.75 + 0.5 * chance.unit());
    let retry_after_ms = spread.clamp(LEAST_RETRY_AFTER_MS, most) as u64;
    Choice::Refuse(Refusal { reason, retry_after_ms })
}
