//! Answers of the proxy's own, and the body of every answer to a client.

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

/// When to come back if nothing tells more.
pub const RETRY_AFTER_MS: u64 = 250;

/// A stream ended before it was complete; the client's connection is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StreamTruncated {
    #[snafu(display("the upstream broke the stream off"))]
    Broken,
    #[snafu(display("the time of the request is over"))]
    TimeOver,
}

/// The body of an answer.
pub struct AnswerBody {
    kind: BodyKind,
    /// The client's connection is busy for as long as the body is.
    _busy: Option<RequestInProgress>,
}

enum BodyKind {
    Complete(Bytes),
    Stream(Box<StreamAnswer>),
}

impl AnswerBody {
    pub fn complete(bytes: Bytes) -> Self {
        AnswerBody { kind: BodyKind::Complete(bytes), _busy: None }
    }

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

pub type Answer = Response<AnswerBody>;

/// An answer that no upstream gave. None carries an upstream's stamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ProxyAnswer {
    #[snafu(display("the request has not run and never will; it may come again"))]
    Rejected { retry_after_ms: u64 },
    #[snafu(display("the request may have run, but there is no answer"))]
    BadGateway,
    #[snafu(display("the time of the request is over, and it may have run"))]
    TimedOut,
    #[snafu(display("no route matches"))]
    NoRoute,
    #[snafu(display("the head is too long"))]
    HeadTooLong,
    #[snafu(display("the body is too long"))]
    BodyTooLong,
    #[snafu(display("the head names two kinds of length"))]
    AmbiguousLength,
    #[snafu(display("the body broke off"))]
    BrokenBody,
    #[snafu(display("the body was not whole in time"))]
    LateBody,
    #[snafu(display("this version of the protocol can't carry a stream"))]
    OldVersion,
}

impl ProxyAnswer {
    /// The answer for a failure that ended a request's sends.
    pub fn of(failure: ProxyFailure, retry_after_ms: u64) -> Self {
        match failure {
            ProxyFailure::Rejected => ProxyAnswer::Rejected { retry_after_ms },
            ProxyFailure::BadGateway => ProxyAnswer::BadGateway,
            ProxyFailure::TimedOut => ProxyAnswer::TimedOut,
        }
    }

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

/// Asks the client to take its next request elsewhere.
pub fn close_after(answer: &mut Answer) {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
