//! Answers to clients: those that the proxy makes itself, and the body of every answer.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use snafu::Snafu;

use crate::clients::connection::RequestInProgress;
use crate::request_counts::RequestEvent;
use crate::retry::ProxyFailure;
use crate::stream::StreamAnswer;

/// When to retry if there is no better estimate, in milliseconds.
pub const RETRY_AFTER_MS: u64 = 250;

/// A stream ended before it was complete; the client's connection is closed without the last chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StreamTruncated {
    /// The upstream broke the stream off, and it could not be resumed.
    #[snafu(display("the upstream broke the stream off"))]
    Broken,
    /// The deadline of the request has passed.
    #[snafu(display("the time of the request is over"))]
    TimeOver,
}

/// The body of an answer.
pub struct AnswerBody {
    kind: BodyKind,
    /// Marks the client's connection as busy until the body is dropped.
    _busy: Option<RequestInProgress>,
}

enum BodyKind {
    Complete(Bytes),
    Stream(Box<StreamAnswer>),
}

impl AnswerBody {
    /// A body that is complete.
    pub fn complete(bytes: Bytes) -> Self {
        AnswerBody { kind: BodyKind::Complete(bytes), _busy: None }
    }

    /// A body that follows a stream.
    pub fn stream(stream: StreamAnswer) -> Self {
        AnswerBody { kind: BodyKind::Stream(Box::new(stream)), _busy: None }
    }

    /// Keeps the client's connection busy until the body is dropped.
    pub fn keeping_busy(self, busy: RequestInProgress) -> Self {
        AnswerBody { _busy: Some(busy), ..self }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamTruncated>>> {
        match &mut self.kind {
            BodyKind::Complete(bytes) if bytes.is_empty() => Poll::Ready(None),
            BodyKind::Complete(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            BodyKind::Stream(stream) => stream.poll_events(cx).map(|events| Some(events?.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            BodyKind::Complete(bytes) => bytes.is_empty(),
            BodyKind::Stream(stream) => stream.is_ended(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            BodyKind::Complete(bytes) => SizeHint::with_exact(bytes.len() as u64),
            BodyKind::Stream(_) => SizeHint::default(),
        }
    }
}

/// An answer to a client.
pub type Answer = Response<AnswerBody>;

/// An answer that the proxy makes itself. It carries no upstream's stamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ProxyAnswer {
    /// 503: the request has not run and never will; the client may retry.
    #[snafu(display("the request has not run and never will; it may come again"))]
    Rejected {
        /// When the client may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// 502: the request may have run.
    #[snafu(display("the request may have run, but there is no answer"))]
    BadGateway,
    /// 504: the deadline has passed, and the request may have run.
    #[snafu(display("the time of the request is over, and it may have run"))]
    TimedOut,
    /// 404: no route of the configuration matches.
    #[snafu(display("no route matches"))]
    NoRoute,
    /// 431: the head is above the limit.
    #[snafu(display("the head is too long"))]
    HeadTooLong,
    /// 413: the body is above the limit.
    #[snafu(display("the body is too long"))]
    BodyTooLong,
    /// 400: the head has both `Content-Length` and `Transfer-Encoding`.
    #[snafu(display("the head names two kinds of length"))]
    AmbiguousLength,
    /// 400: the connection ended inside the body.
    #[snafu(display("the body broke off"))]
    BrokenBody,
    /// 408: the body was not complete in time.
    #[snafu(display("the body was not whole in time"))]
    LateBody,
    /// 505: HTTP/1.0 cannot tell the end of a stream from its break.
    #[snafu(display("this version of the protocol can't carry a stream"))]
    OldVersion,
}

impl ProxyAnswer {
    /// The answer for a failure that ended a request's attempts.
    pub fn of(failure: ProxyFailure, retry_after_ms: u64) -> Self {
        match failure {
            ProxyFailure::Rejected => ProxyAnswer::Rejected { retry_after_ms },
            ProxyFailure::BadGateway => ProxyAnswer::BadGateway,
            ProxyFailure::TimedOut => ProxyAnswer::TimedOut,
        }
    }

    /// The status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            ProxyAnswer::Rejected { .. } => StatusCode::SERVICE_UNAVAILABLE,
            ProxyAnswer::BadGateway => StatusCode::BAD_GATEWAY,
            ProxyAnswer::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            ProxyAnswer::NoRoute => StatusCode::NOT_FOUND,
            ProxyAnswer::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ProxyAnswer::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            ProxyAnswer::AmbiguousLength | ProxyAnswer::BrokenBody => StatusCode::BAD_REQUEST,
            ProxyAnswer::LateBody => StatusCode::REQUEST_TIMEOUT,
            ProxyAnswer::OldVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
        }
    }

    /// How it is counted.
    pub fn event(self) -> RequestEvent {
        match self {
            ProxyAnswer::Rejected { .. } => RequestEvent::Rejected,
            ProxyAnswer::BadGateway => RequestEvent::BadGateway,
            ProxyAnswer::TimedOut => RequestEvent::TimedOut,
            _ => RequestEvent::InvalidRequest,
        }
    }

    /// The answer as it goes to the client.
    pub fn into_answer(self) -> Answer {
        let mut answer = Response::new(AnswerBody::complete(Bytes::new()));
        *answer.status_mut() = self.status();
        let headers = answer.headers_mut();
        headers.insert(CONTENT_LENGTH, HeaderValue::from_static("0"));
        if let ProxyAnswer::Rejected { retry_after_ms } = self {
            let seconds = format!("{}.{:03}", retry_after_ms / 1000, retry_after_ms % 1000);
            if let Ok(seconds) = HeaderValue::try_from(seconds) {
                headers.insert(RETRY_AFTER, seconds);
            }
        }
        answer
    }
}

/// Tells the client that the connection closes after this answer.
pub fn close_after(answer: &mut Answer) {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
