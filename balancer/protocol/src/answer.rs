//! The final answer to a query, and its HTTP response.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::Full;

use crate::query::QueryError;

/// The final answer to a query.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// A server answered the query.
    Completed(ServerResponse),
    /// The query did not run or is safe to retry, preferably after this many microseconds (0: no advice).
    Rejected(u64),
    /// The query may have run.
    Aborted(AbortReason),
}

/// Why a query was aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
    /// The outcome of the last execution allows no retry.
    Failed,
    /// The query ran out of time.
    OutOfTime,
    /// The server did not respond, and no other server could get the query.
    ServerUnresponsive,
}

/// A server's response to a query.
#[derive(Debug, PartialEq, Eq)]
pub struct ServerResponse {
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Answer {
    /// Encodes the answer as an HTTP response.
    pub fn encode(self) -> Response<Full<Bytes>> {
        match self {
            Answer::Completed(completed) => {
                let mut response = Response::new(Full::new(completed.body));
                *response.headers_mut() = completed.headers;
                response
            }
            Answer::Rejected(retry_after_us) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "rejected".to_string());
                if retry_after_us > 0 {
                    let seconds = format!("{:.3}", retry_after_us as f64 / 1e6);
                    let seconds = HeaderValue::from_str(&seconds).unwrap_or(HeaderValue::from_static("1"));
                    response.headers_mut().insert(RETRY_AFTER, seconds);
                }
                response
            }
            Answer::Aborted(reason) => {
                let (status, text) = match reason {
                    AbortReason::Failed => (StatusCode::BAD_GATEWAY, "aborted"),
                    AbortReason::OutOfTime => (StatusCode::GATEWAY_TIMEOUT, "aborted: out of time"),
                    AbortReason::ServerUnresponsive => {
                        (StatusCode::GATEWAY_TIMEOUT, "aborted: its server is silent")
                    }
                };
                plain(status, text.to_string())
            }
        }
    }
}

impl QueryError {
    /// Encodes the error as an HTTP response that names the field.
    pub fn encode(&self) -> Response<Full<Bytes>> {
        plain(self.status, self.to_string())
    }
}

/// Creates a plain-text response with one line.
pub fn plain(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text + "\n")));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
