//! Classifies an upstream's answer by its head: whether it belongs to the request, and whether the request
//! has run.

use http::header::CONTENT_ENCODING;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::headers::{INSTANCE_ID, NOT_RUN, REQUEST_ID, SERVER_STAMP};

/// The class of an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerClass {
    /// A success, once its body is complete.
    Success,
    /// A client or server error, which is passed back unchanged.
    Failure,
    /// The request did not run, because the upstream is full, the deadline passed in its queue, or its model
    /// has another version of the weights than the requested one.
    Rejected,
    /// The address belongs to another instance; the request did not run.
    Misdirected,
    /// The answer belongs to another request or must not be passed on.
    Unusable,
}

/// Properties of the attempt that the answer is checked against.
#[derive(Clone, Copy, Debug)]
pub struct Expected<'a> {
    /// The request's id, if it has one.
    pub id: Option<&'a HeaderValue>,
    /// The id of the instance that the attempt was meant for.
    pub instance: &'a str,
    /// Whether the request asks for a specific version of the weights.
    pub has_expected_version: bool,
    /// Whether this is the first answer on the connection, so that it cannot belong to another request.
    pub is_fresh: bool,
}

/// Classifies an answer by its status and headers.
pub fn classify(expected: &Expected, status: StatusCode, headers: &HeaderMap) -> AnswerClass {
    let not_run = headers.contains_key(NOT_RUN);
    let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    let may_lack_id = expected.is_fresh && (not_run || misdirected);
    if !matches_request(expected.id, headers, may_lack_id) {
        return AnswerClass::Unusable;
    }
    if misdirected {
        return if is_other_version(expected, headers) {
            AnswerClass::Rejected
        } else {
            AnswerClass::Misdirected
        };
    }
    if not_run && promises_not_run(status) {
        return AnswerClass::Rejected;
    }
    let encoded = headers.contains_key(CONTENT_ENCODING);
    if encoded || (promises_not_run(status) && !not_run) {
        return AnswerClass::Unusable;
    }
    if status.is_success() {
        let stamped = headers.contains_key(SERVER_STAMP);
        return if stamped { AnswerClass::Success } else { AnswerClass::Unusable };
    }
    let failure = status.is_client_error() || status.is_server_error();
    if failure { AnswerClass::Failure } else { AnswerClass::Unusable }
}

fn matches_request(id: Option<&HeaderValue>, headers: &HeaderMap, may_lack_id: bool) -> bool {
    match headers.get(REQUEST_ID) {
        Some(answer_id) => Some(answer_id) == id,
        None => id.is_none() || may_lack_id,
    }
}

/// Whether a 421 comes from the intended instance, which then has another version of the weights than
/// requested.
fn is_other_version(expected: &Expected, headers: &HeaderMap) -> bool {
    let answer_id = headers.get(INSTANCE_ID);
    answer_id.map_or(expected.has_expected_version, |id| id.as_bytes() == expected.instance.as_bytes())
}

/// Whether the status tells a client that its request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
