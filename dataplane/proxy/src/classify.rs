//! Classifies an upstream's answer by its head alone: whether it belongs to the request, and whether the request has run.

use http::header::CONTENT_ENCODING;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::headers::{INSTANCE_ID, NOT_RUN, REQUEST_ID, SERVER_STAMP};

/// The class of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerClass {
    /// A success, once its body is complete.
    Success,
    /// A failure that is passed back as it is.
    Failure,
    /// The request did not run: the upstream is full, the deadline passed in its queue, or its model has another version of
    /// the weights than the one asked for.
    Rejected,
    /// The address belongs to another instance; the request did not run.
    Misdirected,
    /// No answer to this request, or one that must not be passed on.
    Unusable,
}

/// What the answer has to match.
#[derive(Clone, Copy, Debug)]
pub struct Expected<'a> {
    /// The request's id, if it has one.
    pub id: Option<&'a HeaderValue>,
    /// The id of the instance that the attempt was meant for.
    pub instance: &'a str,
    /// The request asks for one version of the weights.
    pub names_version: bool,
    /// The connection has carried no answer before, so that this one cannot belong to another request.
    pub fresh: bool,
}

/// Classifies a head.
pub fn classify(expected: &Expected, status: StatusCode, headers: &HeaderMap) -> AnswerClass {
    let not_run = headers.contains_key(NOT_RUN);
    let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    let may_lack_id = expected.fresh && (not_run || misdirected);
    if !belongs(expected.id, headers, may_lack_id) {
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

fn belongs(id: Option<&HeaderValue>, headers: &HeaderMap, may_lack_id: bool) -> bool {
    match headers.get(REQUEST_ID) {
        Some(answered) => Some(answered) == id,
        None => id.is_none() || may_lack_id,
    }
}

/// Whether a 421 comes from the instance that was meant, which has other weights than asked for.
fn is_other_version(expected: &Expected, headers: &HeaderMap) -> bool {
    let answered = headers.get(INSTANCE_ID);
    answered.map_or(expected.names_version, |id| id.as_bytes() == expected.instance.as_bytes())
}

/// Statuses that promise a client that its request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
