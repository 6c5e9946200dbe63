//! The answers of an upstream and their bodies.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body::{Body, Frame};
use http_body_util::{Either, Full};
use snafu::Snafu;

use super::engine_host::{Ticket, Update};
use crate::headers::{INSTANCE_ID, NOT_RUN, REQUEST_ID, SERVER_STAMP};
use crate::traffic::event_text;

pub type AnswerBody = Either<Full<Bytes>, EventBody>;
pub type Answer = Response<AnswerBody>;

/// Why a stream is broken off.
#[derive(Debug, Snafu)]
#[snafu(display("the deadline of the request passed"))]
pub struct DeadlinePassed;

/// The body of a stream: an event for each that the engine has written.
pub struct EventBody {
    ticket: Ticket,
    session: u64,
    total: u64,
    /// An event that came before the head was sent.
    first: Option<Update>,
    done: bool,
}

impl EventBody {
    pub fn new(ticket: Ticket, session: u64, total: u64, first: Update) -> Self {
        EventBody { ticket, session, total, first: Some(first), done: false }
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = DeadlinePassed;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, DeadlinePassed>>> {
        let this = self.get_mut();
        if this.done {
            return Poll::Ready(None);
        }
        let update = match this.first.take() {
            Some(first) => Some(first),
            None => ready!(this.ticket.poll_next(context)),
        };
        let Some(Update::Event { id, last }) = update else {
            this.done = true;
            return Poll::Ready(Some(Err(DeadlinePassed)));
        };
        this.done = last;
        let text = event_text(this.session, id, this.total);
        let event = format!("id: {id}\ndata: {text}\n\n");
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(event)))))
    }

    fn is_end_stream(&self) -> bool {
        self.done
    }
}

/// An answer without a stream.
pub fn whole(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Either::Left(Full::new(body.into())));
    *answer.status_mut() = status;
    answer
}

/// The request was not run.
pub fn not_run(status: StatusCode, request: Option<&str>) -> Answer {
    let mut answer = whole(status, Bytes::new());
    answer.headers_mut().insert(NOT_RUN, http::HeaderValue::from_static("1"));
    set_header(&mut answer, REQUEST_ID, request);
    answer
}

/// The address belongs to another instance than the one that was expected.
pub fn misdirected(instance: &str, request: Option<&str>) -> Answer {
    let mut answer = not_run(StatusCode::MISDIRECTED_REQUEST, request);
    set_header(&mut answer, INSTANCE_ID, Some(instance));
    answer
}

/// Marks an answer as one of this upstream to this request.
pub fn sign(mut answer: Answer, request: &str, stamp: &str) -> Answer {
    set_header(&mut answer, REQUEST_ID, Some(request));
    set_header(&mut answer, SERVER_STAMP, Some(stamp));
    answer
}

/// Sets a header if there is a value that can be one.
pub fn set_header(answer: &mut Answer, name: http::HeaderName, value: Option<&str>) {
    if let Some(value) = value.and_then(|value| value.parse().ok()) {
        answer.headers_mut().insert(name, value);
    }
}
