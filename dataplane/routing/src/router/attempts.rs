//! Open attempts. An attempt starts with the choice of an instance and ends with an [`Outcome`].

use whinspindle_configuration::Mechanism;

use super::Router;
use crate::catalogue::{RegionId, ServiceId};
use crate::service::{RoutingContext, Service};
use crate::{AttemptId, InstanceKey, Outcome, RequestInfo};

/// One open attempt.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) service: ServiceId,
    pub(super) instance: InstanceKey,
    pub(super) region: RegionId,
    /// Start time, in milliseconds.
    pub(super) started_at: u64,
    /// Requests per second for each ready instance of the region at the start of the attempt.
    pub(super) load_per_instance: f64,
    /// Whether latency is the time to the first event of a stream.
    pub(super) is_streaming: bool,
    /// Length of the prompt, in tokens.
    pub(super) prompt_tokens: u32,
    /// Whether a token of the retry budget was spent on the attempt.
    pub(super) is_retry: bool,
    /// Whether the response head, or the first event, has arrived.
    pub(super) has_response: bool,
    /// Whether exceeding the silence limit was already counted as a failure of the instance.
    pub(super) is_counted_as_failure: bool,
}

impl Router {
    /// Records that the response head, or the first event of a stream, has arrived.
    pub fn record_first_event(&mut self, now: u64, attempt: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&attempt).filter(|attempt| !attempt.has_response) else {
            return;
        };
        attempt.has_response = true;
        let service = &mut self.services[attempt.service];
        if let Some(instance) = service.instances.get_mut(&attempt.instance) {
            instance.unanswered = instance.unanswered.saturating_sub(1);
            instance.pending_prompt_tokens -= u64::from(attempt.prompt_tokens);
            instance.health.record_response(now);
        }
        if attempt.is_streaming {
            record_latency(service, now, attempt);
        }
    }

    /// Records the end of an attempt. The caller ends each attempt once; an unknown attempt is ignored.
    pub fn finish_attempt(&mut self, now: u64, attempt: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.attempts.remove(&attempt) else { return };
        let service = &mut self.services[attempt.service];
        if let Some(instance) = service.instances.get_mut(&attempt.instance) {
            instance.in_flight = instance.in_flight.saturating_sub(1);
            if !attempt.has_response {
                instance.unanswered = instance.unanswered.saturating_sub(1);
                instance.pending_prompt_tokens -= u64::from(attempt.prompt_tokens);
            }
        }
        if outcome == Outcome::Failed
            && let Some(instance) = service.instances.get_mut(&attempt.instance)
        {
            instance.health.record_failed_response(now);
        }
        self.apply_outcome(now, &attempt, outcome);
        self.apply_to_reachability(now, attempt.instance, outcome);
    }

    /// Updates latency, health and the retry budget at the end of an attempt.
    fn apply_outcome(&mut self, now: u64, attempt: &Attempt, outcome: Outcome) {
        let service = &mut self.services[attempt.service];
        match outcome {
            Outcome::Served => {
                if !attempt.is_streaming {
                    record_latency(service, now, attempt);
                }
                self.record_response(now, attempt);
            }
            Outcome::Rejected => self.record_response(now, attempt),
            Outcome::Misdirected => self.retire(attempt.service, attempt.instance),
            Outcome::ConnectFailed | Outcome::ConnectTimedOut => {
                if attempt.is_retry {
                    service.budget.refund();
                }
                service.record_failure(now, attempt.instance, outcome == Outcome::ConnectTimedOut);
            }
            Outcome::Failed | Outcome::ConnectionBroken if !attempt.is_counted_as_failure => {
                service.record_failure(now, attempt.instance, false);
            }
            Outcome::Cancelled if is_silent(service, now, attempt) => {
                service.record_failure(now, attempt.instance, false);
            }
            Outcome::Failed | Outcome::ConnectionBroken | Outcome::Cancelled => {}
        }
    }

    /// Updates the reachability of the zone and region of the instance at the end of an attempt.
    fn apply_to_reachability(&mut self, now: u64, instance: InstanceKey, outcome: Outcome) {
        match outcome {
            Outcome::ConnectTimedOut => self.record_connect_timeout(now, instance),
            Outcome::Served | Outcome::Rejected | Outcome::Misdirected | Outcome::Failed => {
                self.record_received(instance);
            }
            Outcome::ConnectFailed | Outcome::ConnectionBroken | Outcome::Cancelled => {}
        }
    }

    fn record_response(&mut self, now: u64, attempt: &Attempt) {
        if let Some(instance) = self.services[attempt.service].instances.get_mut(&attempt.instance) {
            instance.health.record_response(now);
        }
    }

    /// Counts an open attempt as a failure if the instance exceeds the silence limit.
    pub(super) fn count_silent_attempts(&mut self, now: u64) {
        for attempt in self.attempts.values_mut() {
            let service = &mut self.services[attempt.service];
            if is_silent(service, now, attempt) {
                attempt.is_counted_as_failure = true;
                service.record_failure(now, attempt.instance, false);
            }
        }
    }
}

/// Whether an attempt exceeds the silence limit and the instance has answered no request since its start.
fn is_silent(service: &Service, now: u64, attempt: &Attempt) -> bool {
    let instance = service.instances.get(&attempt.instance);
    if !service.mechanisms.has(Mechanism::Silence) {
        return false;
    }
    let is_quiet_since_start =
        instance.is_some_and(|instance| instance.health.last_response_at() < attempt.started_at);
    !attempt.has_response
        && !attempt.is_counted_as_failure
        && is_quiet_since_start
        && attempt.started_at + service.silence_limit_ms() <= now
}

/// Starts an attempt and adds it to the counters of its instance and region.
pub(super) fn begin_attempt(
    service: &mut Service,
    context: &RoutingContext,
    id: ServiceId,
    key: InstanceKey,
    request: &RequestInfo,
) -> Attempt {
    let pace = service.pace;
    let instance = &mut service.instances[&key];
    instance.in_flight += 1;
    instance.unanswered += 1;
    instance.pending_prompt_tokens += u64::from(request.prompt_tokens);
    if let Some(pace) = pace.filter(|_| instance.is_warming_up(context.now)) {
        instance.slow_start.record_attempt(context.now, &pace);
    }
    let region = instance.region;
    service.regions[region].attempts.record(context.now);
    Attempt {
        service: id,
        instance: key,
        region,
        started_at: context.now,
        load_per_instance: service.load_per_instance(region, context.now, context.balancers),
        is_streaming: false,
        prompt_tokens: request.prompt_tokens,
        is_retry: false,
        has_response: false,
        is_counted_as_failure: false,
    }
}

/// Records the latency of an attempt in the models of its service and region.
fn record_latency(service: &mut Service, now: u64, attempt: &Attempt) {
    let latency_ms = now.saturating_sub(attempt.started_at) as f64;
    service.record_latency(now, attempt.region, attempt.load_per_instance, latency_ms);
}
