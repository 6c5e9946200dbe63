//! Header names of the protocol, and the selection of end-to-end headers.

use http::header::{self, HeaderMap, HeaderName};

pub const TRACE: &str = "x-trace-id";
pub const PRODUCT: &str = "x-qos";
pub const TENANT: &str = "x-customer";
pub const EXPIRES: &str = "x-expires-in-ms";
pub const KEY: &str = "idempotency-key";
pub const NEVER_RAN: &str = "x-never-ran";
pub const LOAD: &str = "endpoint-load-metrics";

/// Headers of a single connection or of the framing of a single message; messages are complete here.
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

/// The end-to-end headers: all except hop-by-hop headers, headers listed in `Connection`, and `excluded`.
pub fn end_to_end(headers: &HeaderMap, excluded: &str) -> HeaderMap {
    let listed: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    let mut end_to_end = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_listed = listed.iter().any(|other| other.eq_ignore_ascii_case(name.as_str()));
        if !is_listed && name.as_str() != excluded && !HOP_BY_HOP.contains(name) {
            end_to_end.append(name.clone(), value.clone());
        }
    }
    end_to_end
}

/// The value of a header that may occur at most once, in visible ASCII.
pub fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, &'static str> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err("is there twice");
    }
    first.to_str().map(|value| Some(value.trim())).map_err(|_| "is not plain text")
}
