//! Names of the protocol's headers.

use http::HeaderMap;
use http::header::HeaderName;

pub const REQUEST_ID: HeaderName = HeaderName::from_static("whinspindle-request-id");
pub const SERVER_STAMP: HeaderName = HeaderName::from_static("whinspindle-server-stamp");
pub const NOT_RUN: HeaderName = HeaderName::from_static("whinspindle-not-run");
pub const DEADLINE: HeaderName = HeaderName::from_static("whinspindle-deadline-ms");
pub const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("whinspindle-expect-instance");
pub const INSTANCE_ID: HeaderName = HeaderName::from_static("whinspindle-instance-id");
pub const COLD_MS: HeaderName = HeaderName::from_static("whinspindle-cold-ms");
pub const MODEL: HeaderName = HeaderName::from_static("whinspindle-model");
pub const TOKEN_COUNT: HeaderName = HeaderName::from_static("whinspindle-token-count");
pub const PREFIX_HASH: HeaderName = HeaderName::from_static("whinspindle-prefix-hash");
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");

/// A header's value as text; none if it is absent or no text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header that holds one number.
pub fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(headers, name)?.trim().parse().ok()
}
