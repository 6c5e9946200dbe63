//! Open attempts: what begins with the choice of an instance and ends with an outcome.

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
    /// Time of its begin, in milliseconds.
    pub(super) sent_at: u64,
    /// Requests a second for each ready instance of the region when it began.
    pub(super) load_per_ready: f64,
    /// Its latency is the time to the first event of the stream.
    pub(super) streaming: bool,
    /// Tokens of its prompt.
    pub(super) prompt_tokens: u32,
    /// It was paid for from the retry budget.
    pub(super) is_retry: bool,
    /// The head of the answer, or the first event, has arrived.
    pub(super) answered: bool,
    /// It was already counted as a failure of its instance, for exceeding the silence limit.
    pub(super) counted_as_failed: bool,
}

impl Router {
    /// Records that the head of the answer, or the first event of a stream, has arrived.
    pub fn record_first_event(&mut self, now: u64, attempt: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&attempt).filter(|attempt| !attempt.answered) else {
            return;
        };
        attempt.answered = true;
        let service = &mut self.services[attempt.service];
        if let Some(instance) = service.instances.get_mut(&attempt.instance) {
            instance.unanswered = instance.unanswered.saturating_sub(1);
            instance.unread_tokens -= u64::from(attempt.prompt_tokens);
            instance.health.record_answer(now);
        }
        if attempt.streaming {
            record_latency(service, now, attempt);
        }
    }

    /// Records the end of an attempt. Each attempt is to be ended once; an unknown one is ignored.
    pub fn finish_attempt(&mut self, now: u64, attempt: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.attempts.remove(&attempt) else { return };
        let service = &mut self.services[attempt.service];
        if let Some(instance) = service.instances.get_mut(&attempt.instance) {
            instance.in_flight = instance.in_flight.saturating_sub(1);
            if !attempt.answered {
                instance.unanswered = instance.unanswered.saturating_sub(1);
                instance.unread_tokens -= u64::from(attempt.prompt_tokens);
            }
        }
        if outcome == Outcome::Failed
            && let Some(instance) = service.instances.get_mut(&attempt.instance)
        {
            instance.health.record_failed_answer(now);
        }
        self.apply_outcome(now, &attempt, outcome);
        self.apply_to_reachability(now, attempt.instance, outcome);
    }

    /// Latency, health and retry budget after the end of an attempt.
    fn apply_outcome(&mut self, now: u64, attempt: &Attempt, outcome: Outcome) {
        let service = &mut self.services[attempt.service];
        match outcome {
            Outcome::Served => {
                if !attempt.streaming {
                    record_latency(service, now, attempt);
                }
                self.record_answer(now, attempt);
            }
            Outcome::Rejected => self.record_answer(now, attempt),
            Outcome::Misdirected => self.retire(attempt.service, attempt.instance),
            Outcome::ConnectFailed | Outcome::ConnectTimedOut => {
                if attempt.is_retry {
                    service.budget.refund();
                }
                service.record_failure(now, attempt.instance, outcome == Outcome::ConnectTimedOut);
            }
            Outcome::Failed | Outcome::ConnectionBroken if !attempt.counted_as_failed => {
                service.record_failure(now, attempt.instance, false);
            }
            Outcome::Cancelled if is_silent(service, now, attempt) => {
                service.record_failure(now, attempt.instance, false);
            }
            Outcome::Failed | Outcome::ConnectionBroken | Outcome::Cancelled => {}
        }
    }

    /// Whether the zone and region of the instance are known to be reachable after the end of an attempt.
    fn apply_to_reachability(&mut self, now: u64, instance: InstanceKey, outcome: Outcome) {
        match outcome {
            Outcome::ConnectTimedOut => self.record_time_out(now, instance),
            Outcome::Served | Outcome::Rejected | Outcome::Misdirected | Outcome::Failed => {
                self.record_received(instance);
            }
            Outcome::ConnectFailed | Outcome::ConnectionBroken | Outcome::Cancelled => {}
        }
    }

    fn record_answer(&mut self, now: u64, attempt: &Attempt) {
        if let Some(instance) = self.services[attempt.service].instances.get_mut(&attempt.instance) {
            instance.health.record_answer(now);
        }
    }

    /// Counts open attempts as failures of their instances where these have answered nothing for too long.
    pub(super) fn count_silent_attempts(&mut self, now: u64) {
        for attempt in self.attempts.values_mut() {
            let service = &mut self.services[attempt.service];
            if is_silent(service, now, attempt) {
                attempt.counted_as_failed = true;
                service.record_failure(now, attempt.instance, false);
            }
        }
    }
}

/// Whether an attempt has been open beyond the silence limit at an instance that has answered nothing since it began.
fn is_silent(service: &Service, now: u64, attempt: &Attempt) -> bool {
    let instance = service.instances.get(&attempt.instance);
    if !service.mechanisms.has(Mechanism::Silence) {
        return false;
    }
    let since_answer = instance.is_some_and(|instance| instance.health.last_answer() < attempt.sent_at);
    !attempt.answered
        && !attempt.counted_as_failed
        && since_answer
        && attempt.sent_at + service.silence_limit_ms() <= now
}

/// Counts an attempt in at its instance and region.
pub(super) fn begin_attempt(
    service: &mut Service,
    context: &RoutingContext,
    id: ServiceId,
    key: InstanceKey,
    facts: &RequestInfo,
) -> Attempt {
    let pace = service.pace;
    let instance = &mut service.instances[&key];
    instance.in_flight += 1;
    instance.unanswered += 1;
    instance.unread_tokens += u64::from(facts.prompt_tokens);
    if let Some(pace) = pace.filter(|_| instance.is_warming_up(context.now)) {
        instance.slow_start.record_attempt(context.now, &pace);
    }
    let region = instance.region;
    service.regions[region].attempts.record(context.now);
    Attempt {
        service: id,
        instance: key,
        region,
        sent_at: context.now,
        load_per_ready: service.load_per_ready(region, context.now, context.balancers),
        streaming: false,
        prompt_tokens: facts.prompt_tokens,
        is_retry: false,
        answered: false,
        counted_as_failed: false,
    }
}

/// Takes the latency of an attempt into the models of its service and region.
fn record_latency(service: &mut Service, now: u64, attempt: &Attempt) {
    let latency_ms = now.saturating_sub(attempt.sent_at) as f64;
    service.record_latency(now, attempt.region, attempt.load_per_ready, latency_ms);
}
