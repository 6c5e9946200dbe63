//! The one final answer to a query.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::Full;

use crate::query::QueryError;

/// The final answer to a query.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// A server has answered.
    Completed(ServerResponse),
    /// Nothing has happened; best tried again after so many microseconds (0: no advice).
    Rejected(u64),
    /// It may have happened.
    Aborted(AbortReason),
}

/// Why a query was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
    /// The last execution came to an end that allows no other.
    Failed,
    /// It has no time left.
    OutOfTime,
    /// Its server was silent and was given up, and no other could have it then.
    ServerUnresponsive,
}

/// What a server made of a query.
#[derive(Debug, PartialEq, Eq)]
pub struct ServerResponse {
    /// Its headers, less those of the connection.
    pub headers: HeaderMap,
    /// Its complete body.
    pub body: Bytes,
}

impl Answer {
    /// The answer as an HTTP response.
    pub fn encode(self) -> Response<Full<Bytes>> {
        match self {
            Answer::Completed(served) => {
                let mut response = Response::new(Full::new(served.body));
                *response.headers_mut() = served.headers;
                response
            }
            Answer::Rejected(retry_after) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "rejected".to_string());
                if retry_after > 0 {
                    let seconds = format!("{:.3}", retry_after as f64 / 1e6);
                    let seconds = HeaderValue::from_str(&seconds).unwrap_or(HeaderValue::from_static("1"));
                    response.headers_mut().insert(RETRY_AFTER, seconds);
                }
                response
            }
            Answer::Aborted(because) => {
                let (status, text) = match because {
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
    /// The refusal as an HTTP response that names the field.
    pub fn encode(&self) -> Response<Full<Bytes>> {
        plain(self.status, self.to_string())
    }
}

/// A response with one line of text.
pub fn plain(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text + "\n")));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
