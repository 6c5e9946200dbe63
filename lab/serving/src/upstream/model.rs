//! Generations: read from a request's headers, run by the engine, answered as a stream.

use std::rc::Rc;

use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::Either;

use super::answer::{Answer, EventBody, not_run, sign, whole};
use super::engine_host::{EngineHost, Update};
use super::instance::Upstream;
use crate::engine::{EngineSettings, PromptPart, Work};
use crate::headers::{DEADLINE, LAST_EVENT_ID, PREFIX_HASH, PRIORITY, TOKEN_COUNT, number, text};

const DEFAULT_URGENCY: u8 = 5;

/// Runs a generation and answers once its first event is there.
pub async fn answer(
    upstream: &Upstream,
    host: &Rc<EngineHost>,
    request: &str,
    headers: &HeaderMap,
) -> Answer {
    let work = work(headers, upstream.stage.now_us());
    let session = work.prompt.last().map_or(0, |part| part.id);
    let total = work.output_tokens.div_ceil(EngineSettings::default().tokens_per_event);
    let Ok(mut ticket) = host.submit(request, work) else {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, Some(request));
    };
    match ticket.next().await {
        Some(first @ Update::Event { .. }) => {
            let body = EventBody::new(ticket, session, total, first);
            let mut answer = Response::new(Either::Right(body));
            answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            sign(answer, request, &upstream.stamp(request))
        }
        Some(Update::Expired { started: true }) => {
            sign(whole(StatusCode::GATEWAY_TIMEOUT, ""), request, &upstream.stamp(request))
        }
        Some(Update::Expired { started: false }) | None => {
            not_run(StatusCode::SERVICE_UNAVAILABLE, Some(request))
        }
    }
}

fn work(headers: &HeaderMap, now_us: u64) -> Work {
    let (prompt_tokens, output_tokens) = token_counts(headers);
    let mut prompt = prompt_parts(text(headers, &PREFIX_HASH).unwrap_or_default());
    if prompt.is_empty() {
        prompt.push(PromptPart { id: now_us, tokens: prompt_tokens });
    }
    Work {
        id: 0,
        urgency: number(headers, &PRIORITY).unwrap_or(DEFAULT_URGENCY),
        prompt,
        output_tokens: output_tokens.max(1),
        skipped_events: number(headers, &LAST_EVENT_ID).unwrap_or(0),
        deadline_us: number::<u64>(headers, &DEADLINE).map_or(u64::MAX, |ms| now_us + ms * 1_000),
    }
}

fn token_counts(headers: &HeaderMap) -> (u64, u64) {
    let counts = text(headers, &TOKEN_COUNT).unwrap_or_default();
    let mut counts = counts.split(',').map(|count| count.trim().parse().unwrap_or(0));
    (counts.next().unwrap_or(0), counts.next().unwrap_or(0))
}

fn prompt_parts(text: &str) -> Vec<PromptPart> {
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    };
    text.split(',').filter_map(part).collect()
}
