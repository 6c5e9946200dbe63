//! Reads an upstream's answer before it is passed on: the complete body, or the first events of a stream.

use std::future::poll_fn;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Response, StatusCode, response};
use hyper::body::{Body, Incoming};
use tokio::time::timeout;
use whinspindle_routing::Outcome;

use super::{Exchange, OpenAttempt, OpenStream, Opened, StreamRun};
use crate::classify::AnswerClass;
use crate::events::EventSplitter;
use crate::headers::{VERSIONS, keep_alive_ms, number, retry_after_ms, strip_hop_by_hop};
use crate::pool::Leased;
use crate::retry::AttemptEnd;

/// Time-out of reading the body of a rejection, which only serves to reuse the connection.
const REJECTION_BODY_LIMIT: Duration = Duration::from_millis(20);
/// The longest answer that is read completely, in bytes.
const MOST_ANSWER_BYTES: usize = 16 * 1024 * 1024;
const CHUNKED: &[u8] = b"chunked";
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// The classified head of an answer, and the connection on which the body arrives.
pub(super) struct Answered {
    pub(super) class: AnswerClass,
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) leased: Leased,
}

impl Exchange {
    /// Reads an answer until it can be passed on, or is known to be unusable.
    pub(super) async fn read(
        &mut self,
        answered: Answered,
        mut attempt: OpenAttempt,
    ) -> Result<Opened, AttemptEnd> {
        let Answered { class, head, body, mut leased } = answered;
        // If the head alone says that the request did not run, the body does not matter.
        let counts = !matches!(class, AnswerClass::Rejected | AnswerClass::Misdirected);
        self.in_flight = counts;
        if counts && !is_framed(&self.request.method, &head, &body) {
            attempt.finish(Outcome::ConnectionBroken);
            return Err(AttemptEnd::Broken);
        }
        let keep_alive = keep_alive_ms(&head.headers).map(Duration::from_millis);
        leased.keep_alive = keep_alive.or(leased.keep_alive);
        if class == AnswerClass::Success && is_event_stream(&head.headers) {
            return self.read_first_events(head, body, leased, attempt).await;
        }
        if class == AnswerClass::Success {
            attempt.first_event();
        }
        let framed = is_framed(&self.request.method, &head, &body);
        let body = match (framed, counts) {
            (false, _) => None,
            (true, true) => self.read_complete(body, &mut leased).await,
            (true, false) => {
                timeout(REJECTION_BODY_LIMIT, self.read_complete(body, &mut leased)).await.ok().flatten()
            }
        };
        let is_complete = body.is_some();
        let end = self.conclude(class, head, body, &mut attempt);
        if is_complete {
            let reusable = poll_fn(|cx| leased.connection.is_reusable(cx).into()).await;
            if reusable {
                self.node.pool.release(leased);
            }
        }
        end
    }

    fn conclude(
        &mut self,
        class: AnswerClass,
        head: response::Parts,
        body: Option<Bytes>,
        attempt: &mut OpenAttempt,
    ) -> Result<Opened, AttemptEnd> {
        // The head alone says that the request did not run.
        match class {
            AnswerClass::Misdirected => {
                attempt.finish(Outcome::Misdirected);
                return Err(AttemptEnd::Misdirected);
            }
            AnswerClass::Rejected => {
                self.retry_after_ms = retry_after_ms(&head.headers).unwrap_or(self.retry_after_ms);
                attempt.finish(Outcome::Rejected);
                return Err(AttemptEnd::Rejected);
            }
            _ => {}
        }
        let Some(body) = body else {
            attempt.finish(Outcome::ConnectionBroken);
            return Err(AttemptEnd::Broken);
        };
        let failed = head.status.is_server_error();
        attempt.finish(if failed { Outcome::Failed } else { Outcome::Served });
        let answer = Response::from_parts(passed_on(head), body);
        if !failed {
            return Ok(Opened::Complete(answer));
        }
        self.failure = Some(answer);
        Err(AttemptEnd::Failed)
    }

    /// The complete body; none if it broke off or is too long.
    async fn read_complete(&mut self, mut body: Incoming, leased: &mut Leased) -> Option<Bytes> {
        let mut memory = self.node.bodies.reserve();
        let mut first = Bytes::new();
        let mut rest = BytesMut::new();
        loop {
            let frame = match poll_fn(|cx| leased.connection.poll_body(&mut body, cx)).await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return None,
                None => break,
            };
            let Ok(data) = frame.into_data() else { continue };
            let total = first.len() + rest.len() + data.len();
            if total > MOST_ANSWER_BYTES || !memory.grow_to(total) {
                return None;
            }
            if first.is_empty() {
                first = data;
            } else {
                rest.extend_from_slice(&data);
            }
        }
        self._answer_memory = Some(memory);
        if rest.is_empty() {
            return Some(first);
        }
        Some([first, rest.freeze()].concat().into())
    }

    async fn read_first_events(
        &mut self,
        head: response::Parts,
        mut body: Incoming,
        mut leased: Leased,
        mut attempt: OpenAttempt,
    ) -> Result<Opened, AttemptEnd> {
        let mut splitter = match self.resume {
            Some(position) => EventSplitter::resuming(position),
            None => EventSplitter::new(number(&head.headers, &VERSIONS)),
        };
        loop {
            let frame = match poll_fn(|cx| leased.connection.poll_body(&mut body, cx)).await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => break,
                None => {
                    let run = StreamRun { leased, body, splitter, attempt };
                    return Ok(self.ended_stream(head, run).await);
                }
            };
            let Ok(data) = frame.into_data() else { continue };
            match splitter.push(data) {
                Ok(first) if first.is_empty() => {}
                Ok(first) => {
                    attempt.first_event();
                    let run = Some(StreamRun { leased, body, splitter, attempt });
                    return Ok(Opened::Stream(Box::new(OpenStream { head: passed_on(head), first, run })));
                }
                Err(_) => break,
            }
        }
        attempt.finish(Outcome::ConnectionBroken);
        Err(AttemptEnd::Broken)
    }

    async fn ended_stream(&self, head: response::Parts, mut run: StreamRun) -> Opened {
        let first = run.splitter.finish();
        let mut run = Some(run);
        poll_fn(|cx| {
            if let Some(run) = run.take() {
                run.complete(&self.node, cx);
            }
            ().into()
        })
        .await;
        Opened::Stream(Box::new(OpenStream { head: passed_on(head), first, run: None }))
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).map_or(&[][..], |kind| kind.as_bytes());
    kind.get(..EVENT_STREAM.len()).is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
}

/// Whether the framing marks the end of the body. A body that lasts until the connection closes can't be told from one
/// that broke off, one with both `Content-Length` and `Transfer-Encoding` is ambiguous, and another transfer coding than
/// `chunked` would change its bytes.
fn is_framed(method: &Method, head: &response::Parts, body: &Incoming) -> bool {
    let length = head.headers.contains_key(CONTENT_LENGTH);
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    let coding = codings.next();
    let chunked = coding.is_none_or(|coding| coding.as_bytes().eq_ignore_ascii_case(CHUNKED));
    if !chunked || codings.next().is_some() {
        return false;
    }
    let coding = coding.is_some();
    let bodyless = method == Method::HEAD
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED;
    if length && coding {
        return false;
    }
    length || coding || bodyless || body.is_end_stream()
}

/// The head as it is passed to the client.
fn passed_on(mut head: response::Parts) -> response::Parts {
    strip_hop_by_hop(&mut head.headers);
    head.version = http::Version::HTTP_11;
    head.extensions = http::Extensions::new();
    head
}
