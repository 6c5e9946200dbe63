//! The responses to calls.

use std::fmt::{self, Display, Formatter};

use bytes::Bytes;
use http::StatusCode;

use super::json::push_json_string;
use super::request::{RequestError, evacuation_confirmation};

/// The maximum length of a reason in a response. A reason may quote parts of the request, so a longer one is
/// truncated.
const MAX_REASON_BYTES: usize = 1024;

/// The response to a call, with a JSON body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The JSON body.
    pub body: Bytes,
    /// The path and query to which the caller is redirected on this controller.
    pub redirect_path: Option<String>,
}

impl Response {
    /// Creates a response with status 200 and a body.
    pub fn ok(body: Bytes) -> Response {
        Response { status: StatusCode::OK, body, redirect_path: None }
    }

    /// Creates a response with status 200 and an empty JSON object.
    pub fn accepted() -> Response {
        Response::ok(Bytes::from_static(b"{}"))
    }

    /// Creates an error response with its reason.
    pub fn failure(status: StatusCode, reason: &str) -> Response {
        let mut body = String::from("{\"error\":");
        push_json_string(&mut body, &reason[..reason.floor_char_boundary(MAX_REASON_BYTES)]);
        body.push('}');
        Response { status, body: Bytes::from(body), redirect_path: None }
    }

    /// Creates a response with status 307, with which the caller of an evacuation command is asked to confirm
    /// it for the zone's record with this sequence.
    pub fn evacuation_confirmation(zone: &str, evacuated: bool, sequence: u64) -> Response {
        let reason = "the evacuation of this zone changed shortly before; confirm this order at Location";
        let redirect_path = Some(evacuation_confirmation(zone, evacuated, sequence));
        Response { redirect_path, ..Response::failure(StatusCode::TEMPORARY_REDIRECT, reason) }
    }

    /// Creates a response with status 503, for an unknown outcome or a missing quorum. The caller retries at
    /// another controller.
    pub fn unavailable(reason: &str) -> Response {
        Response::failure(StatusCode::SERVICE_UNAVAILABLE, reason)
    }
}

/// Formats the response for the log, as the status and the body of an error.
impl Display for Response {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        if self.status.is_success() {
            return write!(formatter, "{}", self.status);
        }
        write!(formatter, "{} {}", self.status, String::from_utf8_lossy(&self.body))
    }
}

impl From<RequestError> for Response {
    fn from(refusal: RequestError) -> Response {
        Response::failure(refusal.status(), &refusal.to_string())
    }
}
