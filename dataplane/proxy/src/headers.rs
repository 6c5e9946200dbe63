//! Names and values of the headers that the proxy reads, sets or drops.

use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderValue};
use whinspindle_routing::PromptPart;

/// Id of a request, which its answer repeats.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("whinspindle-request-id");
/// Stamp by which an answer proves that an upstream made it.
pub const SERVER_STAMP: HeaderName = HeaderName::from_static("whinspindle-server-stamp");
/// Says that the request did not and will not run.
pub const NOT_RUN: HeaderName = HeaderName::from_static("whinspindle-not-run");
/// Time that the client waits, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("whinspindle-deadline-ms");
/// Id of the instance that an attempt is meant for.
pub const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("whinspindle-expect-instance");
/// Id of the instance that answers.
pub const INSTANCE_ID: HeaderName = HeaderName::from_static("whinspindle-instance-id");
/// Tokens of the prompt and the most tokens of the answer.
pub const TOKEN_COUNT: HeaderName = HeaderName::from_static("whinspindle-token-count");
/// Hashes and lengths of the parts of the prompt.
pub const PREFIX_HASH: HeaderName = HeaderName::from_static("whinspindle-prefix-hash");
/// Id of the event after which a stream is to go on.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Urgency of a request for engines; 0 is the most urgent.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Version of the model's weights that answers.
pub const VERSIONS: HeaderName = HeaderName::from_static("versions");
/// Version of the model's weights that is asked for.
pub const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
/// Headers of this project's protocol concern the request, whatever `Connection` names.
const OWN_PREFIX: &str = "whinspindle-";

/// Drops the headers that concern one connection only.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    let fixed = [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT];
    for name in fixed {
        headers.remove(name);
    }
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse::<HeaderName>().ok())
        .filter(|name| !name.as_str().starts_with(OWN_PREFIX) && name != http::header::HOST)
        .filter(|name| *name != CONTENT_LENGTH)
        .collect()
}

/// A header that holds one whole number.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// A whole number as a header's value.
pub fn number_value(number: u64) -> HeaderValue {
    HeaderValue::from(number)
}

/// Tokens of the prompt, and the most tokens of the answer.
pub fn token_counts(headers: &HeaderMap) -> (u32, u32) {
    let text = headers.get(TOKEN_COUNT).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let mut counts = text.split(',').map(|count| count.trim().parse().unwrap_or(0));
    (counts.next().unwrap_or(0), counts.next().unwrap_or(0))
}

/// The parts of the prompt, in order. Parts that can't be read end the list, since what follows can't be shared.
pub fn prompt_parts(headers: &HeaderMap) -> Vec<PromptPart> {
    let text = headers.get(PREFIX_HASH).and_then(|value| value.to_str().ok()).unwrap_or_default();
    text.split(',').map_while(prompt_part).collect()
}

fn prompt_part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
}

/// For how long an upstream keeps an idle connection, in milliseconds, where its answer tells.
pub fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then(|| value.trim().parse::<u64>().ok())?
    })?;
    Some(seconds.saturating_mul(1000))
}

/// Seconds with a fraction, as `Retry-After` gives them, in milliseconds.
pub fn retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let seconds: f64 = headers.get(http::header::RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some((seconds * 1000.0) as u64)
}
