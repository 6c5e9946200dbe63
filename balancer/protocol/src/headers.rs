//! Header names of the protocol, and which headers go on from one side to the other.

use http::header::{self, HeaderMap, HeaderName};

pub const TRACE: &str = "x-trace-id";
pub const PRODUCT: &str = "x-qos";
pub const TENANT: &str = "x-customer";
pub const EXPIRES: &str = "x-expires-in-ms";
pub const KEY: &str = "idempotency-key";
pub const NEVER_RAN: &str = "x-never-ran";
pub const LOAD: &str = "endpoint-load-metrics";

/// Headers that belong to one connection or to the framing of one message, which is whole here already.
const HOP_BY_HOP: [HeaderName; 11] = [
    header::CONNECTION,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::HOST,
];

/// The headers that go on: all but those of the connection, those that it names itself, and `replaced`.
pub fn end_to_end(from: &HeaderMap, replaced: &str) -> HeaderMap {
    let named: Vec<&str> = from
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    let mut kept = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        let connection = named.iter().any(|other| other.eq_ignore_ascii_case(name.as_str()));
        if !connection && name.as_str() != replaced && !HOP_BY_HOP.contains(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// The value of a header that must be there at most once, in visible ASCII.
pub fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, &'static str> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err("is there twice");
    }
    first.to_str().map(|value| Some(value.trim())).map_err(|_| "is not plain text")
}
