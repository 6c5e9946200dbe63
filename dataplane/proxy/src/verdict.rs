//! What the head of an upstream's answer means for the request.

use http::header::CONTENT_ENCODING;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::headers::{NOT_RUN, REQUEST_ID, SERVER_STAMP};

/// What an answer's head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A success; it counts once its body is whole.
    Success,
    /// A failure that goes back as it is.
    Failure,
    /// The request did not run: the upstream is full, or the request was late in its queue.
    Rejected,
    /// The address belongs to another instance; the request did not run.
    Misdirected,
    /// No answer to this request, or one that must not be passed on.
    Unusable,
}

/// Judges a head. `fresh` says that the connection has carried no answer before, so that this one cannot belong to
/// another request.
pub fn judge(id: Option<&HeaderValue>, status: StatusCode, headers: &HeaderMap, fresh: bool) -> Verdict {
    let not_run = headers.contains_key(NOT_RUN);
    let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    let may_lack_id = fresh && (not_run || misdirected);
    if !belongs(id, headers, may_lack_id) {
        return Verdict::Unusable;
    }
    if misdirected {
        return Verdict::Misdirected;
    }
    if not_run && promises_not_run(status) {
        return Verdict::Rejected;
    }
    let encoded = headers.contains_key(CONTENT_ENCODING);
    if encoded || (promises_not_run(status) && !not_run) {
        return Verdict::Unusable;
    }
    if status.is_success() {
        let stamped = headers.contains_key(SERVER_STAMP);
        return if stamped { Verdict::Success } else { Verdict::Unusable };
    }
    let failure = status.is_client_error() || status.is_server_error();
    if failure { Verdict::Failure } else { Verdict::Unusable }
}

fn belongs(id: Option<&HeaderValue>, headers: &HeaderMap, may_lack_id: bool) -> bool {
    match headers.get(REQUEST_ID) {
        Some(answered) => Some(answered) == id,
        None => id.is_none() || may_lack_id,
    }
}

/// Statuses by which a client knows that its request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
