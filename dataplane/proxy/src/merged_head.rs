//! Detects a head of an upstream's answer that begins with bytes of another answer.
//!
//! An upstream in trouble may send the beginning of a surplus answer and then the answer that is due. The HTTP
//! library reads both as one head, with the status and the first headers of the surplus. What separates them
//! is gone, but the status line of the answer that is due is still in there. A line that ends in the surplus'
//! status line has it in the reason phrase, one that ends in a header in that header's value. Anywhere else the
//! head is no longer valid HTTP.

use http::response;
use hyper::ext::ReasonPhrase;

/// The beginning of a status line of HTTP/1.0 or HTTP/1.1, without the minor version.
const VERSION_PREFIX: &[u8] = b"HTTP/1.";
/// The length of the minor version and the space behind it.
const MINOR_VERSION_LENGTH: usize = 2;
const STATUS_CODE_LENGTH: usize = 3;

/// Whether a head contains a second status line, so that its status and headers belong to several answers.
///
/// ```
/// use http::Response;
/// use whinspindle_proxy::merged_head::contains_second_status_line;
///
/// let head = |value: &str| Response::builder().header("server", value).body(()).unwrap().into_parts().0;
/// assert!(!contains_second_status_line(&head("engine/2 (HTTP/1.1)")));
/// assert!(contains_second_status_line(&head("engHTTP/1.1 200 OK")));
/// ```
pub fn contains_second_status_line(head: &response::Parts) -> bool {
    let reason = head.extensions.get::<ReasonPhrase>().map(ReasonPhrase::as_bytes);
    let values = head.headers.values().map(|value| value.as_bytes());
    values.chain(reason).any(contains_status_line)
}

fn contains_status_line(text: &[u8]) -> bool {
    text.windows(VERSION_PREFIX.len() + MINOR_VERSION_LENGTH + STATUS_CODE_LENGTH).any(begins_status_line)
}

fn begins_status_line(text: &[u8]) -> bool {
    let Some([minor_version, b' ', code @ ..]) = text.strip_prefix(VERSION_PREFIX) else { return false };
    minor_version.is_ascii_digit() && code.iter().all(u8::is_ascii_digit)
}
