//! Headers: hop-by-hop headers are dropped, all others stay, and values are parsed.

use http::{HeaderMap, HeaderName, HeaderValue};
use whinspindle_proxy::headers::{
    keep_alive_ms, prompt_parts, retry_after_ms, strip_hop_by_hop, token_counts,
};
use whinspindle_routing::PromptPart;

fn map(headers: &[(&'static str, &'static str)]) -> HeaderMap {
    let pairs = headers.iter();
    pairs.map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value))).collect()
}

#[test]
fn headers_of_the_connection_are_dropped() {
    let mut headers = map(&[
        ("connection", "close, X-Hop, Whinspindle-Request-Id"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("te", "trailers"),
        ("upgrade", "h2c"),
        ("expect", "100-continue"),
        ("x-hop", "1"),
        ("x-end", "2"),
        ("whinspindle-request-id", "a1"),
        ("host", "a.example"),
    ]);
    strip_hop_by_hop(&mut headers);
    let mut names: Vec<&str> = headers.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, ["host", "whinspindle-request-id", "x-end"]);
}

#[test]
fn prompt_parts_are_parsed_up_to_the_first_invalid_one() {
    let headers = map(&[("whinspindle-prefix-hash", "5c1e07a2:800, 91bd3f06:410,zz:3,1:1")]);
    let parts = [PromptPart { id: 0x5c1e_07a2, tokens: 800 }, PromptPart { id: 0x91bd_3f06, tokens: 410 }];
    assert_eq!(prompt_parts(&headers), parts);
    assert_eq!(prompt_parts(&HeaderMap::new()), []);
}

#[test]
fn token_counts_are_parsed() {
    assert_eq!(token_counts(&map(&[("whinspindle-token-count", "1460,80")])), (1460, 80));
    assert_eq!(token_counts(&map(&[("whinspindle-token-count", "x")])), (0, 0));
    assert_eq!(token_counts(&HeaderMap::new()), (0, 0));
}

#[test]
fn times_are_parsed() {
    assert_eq!(keep_alive_ms(&map(&[("keep-alive", "max=100, timeout=5")])), Some(5000));
    assert_eq!(keep_alive_ms(&map(&[("keep-alive", "max=100")])), None);
    assert_eq!(retry_after_ms(&map(&[("retry-after", "0.25")])), Some(250));
    assert_eq!(retry_after_ms(&map(&[("retry-after", "-1")])), None);
    assert_eq!(retry_after_ms(&map(&[("retry-after", "soon")])), None);
}
