//! Names and values of the headers that the proxy reads, sets or drops.

use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderValue};
use whinspindle_routing::PromptPart;

/// Id of a request, repeated in its answer.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("whinspindle-request-id");
/// Stamp of the upstream that generated an answer.
pub const SERVER_STAMP: HeaderName = HeaderName::from_static("whinspindle-server-stamp");
/// Marks an answer to a request that has not run and will not run.
pub const NOT_RUN: HeaderName = HeaderName::from_static("whinspindle-not-run");
/// Time-out of the client, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("whinspindle-deadline-ms");
/// Id of the instance that an attempt is intended for.
pub const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("whinspindle-expect-instance");
/// Id of the instance that answers.
pub const INSTANCE_ID: HeaderName = HeaderName::from_static("whinspindle-instance-id");
/// Number of tokens of the prompt, and maximum number of tokens of the answer.
pub const TOKEN_COUNT: HeaderName = HeaderName::from_static("whinspindle-token-count");
/// Hashes and lengths of the parts of the prompt.
pub const PREFIX_HASH: HeaderName = HeaderName::from_static("whinspindle-prefix-hash");
/// Id of the event after which a stream is to be resumed.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Priority of a request at the engine; 0 is the highest.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Version of the model's weights that generated an answer.
pub const VERSIONS: HeaderName = HeaderName::from_static("versions");
/// Requested version of the model's weights.
pub const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
/// Prefix of end-to-end headers of the Whinspindle protocol, which are kept even if `Connection` lists them.
const PROTOCOL_PREFIX: &str = "whinspindle-";

/// Removes hop-by-hop headers.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    let hop_by_hop =
        [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT];
    for name in hop_by_hop {
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
        .filter(|name| !name.as_str().starts_with(PROTOCOL_PREFIX) && name != http::header::HOST)
        .filter(|name| *name != CONTENT_LENGTH)
        .collect()
}

/// Parses a header whose value is an integer.
pub fn number_header(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Formats an integer as a header value.
pub fn number_value(number: u64) -> HeaderValue {
    HeaderValue::from(number)
}

/// Parses the number of tokens of the prompt and the maximum number of tokens of the answer.
pub fn token_counts(headers: &HeaderMap) -> (u32, u32) {
    let text = headers.get(TOKEN_COUNT).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let mut counts = text.split(',').map(|count| count.trim().parse().unwrap_or(0));
    (counts.next().unwrap_or(0), counts.next().unwrap_or(0))
}

/// Parses the parts of the prompt, in order. An invalid part ends the list, since later parts cannot be
/// shared.
pub fn prompt_parts(headers: &HeaderMap) -> Vec<PromptPart> {
    let text = headers.get(PREFIX_HASH).and_then(|value| value.to_str().ok()).unwrap_or_default();
    text.split(',').map_while(prompt_part).collect()
}

fn prompt_part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
}

/// Parses the time for which an upstream keeps an idle connection open, in milliseconds, if the answer gives
/// it.
pub fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then(|| value.trim().parse::<u64>().ok())?
    })?;
    Some(seconds.saturating_mul(1000))
}

/// Parses `Retry-After`, given in fractional seconds, to milliseconds.
pub fn retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let seconds: f64 = headers.get(http::header::RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some((seconds * 1000.0) as u64)
}
