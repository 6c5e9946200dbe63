//! Sends that are out, from the choice of an instance to their end.

use whinspindle_configuration::Mechanism;

use crate::catalogue::{RegionId, ServiceId};
use crate::service::{Place, Service};
use crate::{InstanceKey, RequestFacts};

/// One send that is out.
#[derive(Debug)]
pub(super) struct Send {
    pub(super) service: ServiceId,
    pub(super) instance: InstanceKey,
    pub(super) region: RegionId,
    pub(super) sent_at: u64,
    pub(super) load_per_ready: f64,
    pub(super) streaming: bool,
    /// Tokens of its prompt.
    pub(super) prompt_tokens: u32,
    /// It was paid for from the budget of repeats.
    pub(super) is_repeat: bool,
    pub(super) answered: bool,
    /// It was counted against its instance for its silence.
    pub(super) struck: bool,
}

/// Whether a send has been out for too long at an instance that has answered nobody since.
pub(super) fn is_silent(service: &Service, now: u64, send: &Send) -> bool {
    let instance = service.instances.get(&send.instance);
    if !service.mechanisms.has(Mechanism::Silence) {
        return false;
    }
    let since_answer = instance.is_some_and(|instance| instance.health.last_answer() < send.sent_at);
    !send.answered && !send.struck && since_answer && send.sent_at + service.patience_ms() <= now
}

pub(super) fn begin_send(
    service: &mut Service,
    place: &Place,
    id: ServiceId,
    key: InstanceKey,
    facts: &RequestFacts,
) -> Send {
    let pace = service.pace;
    let instance = &mut service.instances[&key];
    instance.in_flight += 1;
    instance.unanswered += 1;
    instance.unread_tokens += u64::from(facts.prompt_tokens);
    if let Some(pace) = pace.filter(|_| instance.is_cold(place.now)) {
        instance.cold_share.note_send(place.now, &pace);
    }
    let region = instance.region;
    service.regions[region].sends.note(place.now);
    Send {
        service: id,
        instance: key,
        region,
        sent_at: place.now,
        load_per_ready: service.load_per_ready(region, place.now, place.balancers),
        streaming: false,
        prompt_tokens: facts.prompt_tokens,
        is_repeat: false,
        answered: false,
        struck: false,
    }
}

pub(super) fn note_latency(service: &mut Service, now: u64, send: &Send) {
    let latency_ms = now.saturating_sub(send.sent_at) as f64;
    service.note_latency(now, send.region, send.load_per_ready, latency_ms);
}
