//! Reads the complete body of an upstream's answer, or the first events of a stream.

use std::future::poll_fn;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Response, StatusCode, response};
use hyper::body::{Body, Incoming};
use tokio::time::timeout;
use whinspindle_routing::Outcome;

use super::{Exchange, OpenAttempt, OpenStream, UpstreamAnswer, UpstreamStream};
use crate::classify::AnswerClass;
use crate::events::EventSplitter;
use crate::headers::{VERSIONS, keep_alive_ms, number_header, retry_after_ms, strip_hop_by_hop};
use crate::pool::LeasedConnection;
use crate::retry::AttemptEnd;

/// Time-out for reading the body of a rejection, which is read only to reuse the connection.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum size of an answer body that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
const CHUNKED: &[u8] = b"chunked";
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// The classified head of an answer, with its body and connection.
pub(super) struct ClassifiedAnswer {
    pub(super) class: AnswerClass,
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) leased: LeasedConnection,
}

impl Exchange {
    /// Reads an answer until it can be passed on or turns out to be unusable.
    pub(super) async fn read(
        &mut self,
        answer: ClassifiedAnswer,
        mut attempt: OpenAttempt,
    ) -> Result<UpstreamAnswer, AttemptEnd> {
        let ClassifiedAnswer { class, head, body, mut leased } = answer;
        // The body of an answer whose head says that the request did not run is irrelevant.
        let may_have_run = !matches!(class, AnswerClass::Rejected | AnswerClass::Misdirected);
        self.in_flight = may_have_run;
        if may_have_run && !is_framed(&self.request.method, &head, &body) {
            attempt.finish(Outcome::ConnectionBroken);
            return Err(AttemptEnd::Broken);
        }
        let keep_alive = keep_alive_ms(&head.headers).map(Duration::from_millis);
        leased.keep_alive = keep_alive.or(leased.keep_alive);
        if class == AnswerClass::Success && is_event_stream(&head.headers) {
            return self.read_first_events(head, body, leased, attempt).await;
        }
        if class == AnswerClass::Success {
            attempt.record_first_event();
        }
        let has_framing = is_framed(&self.request.method, &head, &body);
        let body = match (has_framing, may_have_run) {
            (false, _) => None,
            (true, true) => self.read_complete(body, &mut leased).await,
            (true, false) => {
                timeout(REJECTION_BODY_TIMEOUT, self.read_complete(body, &mut leased)).await.ok().flatten()
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
    ) -> Result<UpstreamAnswer, AttemptEnd> {
        // These classes say that the request did not run, whether or not the body is complete.
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
        let answer = Response::from_parts(client_head(head), body);
        if !failed {
            return Ok(UpstreamAnswer::Complete(answer));
        }
        self.failure = Some(answer);
        Err(AttemptEnd::Failed)
    }

    /// Reads the complete body. Returns `None` if the connection breaks or the body is too long.
    async fn read_complete(&mut self, mut body: Incoming, leased: &mut LeasedConnection) -> Option<Bytes> {
        let mut memory = self.node.body_memory.reserve();
        let mut first_bytes = Bytes::new();
        let mut remaining_bytes = BytesMut::new();
        loop {
            let frame = match poll_fn(|cx| leased.connection.poll_body(&mut body, cx)).await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return None,
                None => break,
            };
            let Ok(data) = frame.into_data() else { continue };
            let total = first_bytes.len() + remaining_bytes.len() + data.len();
            if total > MAX_ANSWER_BYTES || !memory.grow_to(total) {
                return None;
            }
            if first_bytes.is_empty() {
                first_bytes = data;
            } else {
                remaining_bytes.extend_from_slice(&data);
            }
        }
        self._answer_memory = Some(memory);
        if remaining_bytes.is_empty() {
            return Some(first_bytes);
        }
        Some([first_bytes, remaining_bytes.freeze()].concat().into())
    }

    async fn read_first_events(
        &mut self,
        head: response::Parts,
        mut body: Incoming,
        mut leased: LeasedConnection,
        mut attempt: OpenAttempt,
    ) -> Result<UpstreamAnswer, AttemptEnd> {
        let mut splitter = match self.resume {
            Some(position) => EventSplitter::resuming(position),
            None => EventSplitter::new(number_header(&head.headers, &VERSIONS)),
        };
        loop {
            let frame = match poll_fn(|cx| leased.connection.poll_body(&mut body, cx)).await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => break,
                None => {
                    let run = UpstreamStream { leased, body, splitter, attempt };
                    return Ok(self.ended_stream(head, run).await);
                }
            };
            let Ok(data) = frame.into_data() else { continue };
            match splitter.push(data) {
                Ok(first_events) if first_events.is_empty() => {}
                Ok(first_events) => {
                    attempt.record_first_event();
                    let run = Some(UpstreamStream { leased, body, splitter, attempt });
                    return Ok(UpstreamAnswer::Stream(Box::new(OpenStream {
                        head: client_head(head),
                        first_events,
                        run,
                    })));
                }
                Err(_) => break,
            }
        }
        attempt.finish(Outcome::ConnectionBroken);
        Err(AttemptEnd::Broken)
    }

    async fn ended_stream(&self, head: response::Parts, mut run: UpstreamStream) -> UpstreamAnswer {
        let first_events = run.splitter.finish();
        let mut run = Some(run);
        poll_fn(|cx| {
            if let Some(run) = run.take() {
                run.complete(&self.node, cx);
            }
            ().into()
        })
        .await;
        UpstreamAnswer::Stream(Box::new(OpenStream { head: client_head(head), first_events, run: None }))
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).map_or(&[][..], |kind| kind.as_bytes());
    kind.get(..EVENT_STREAM.len()).is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
}

/// Whether the framing marks the end of the body.
///
/// A body that is delimited by the connection's close cannot be distinguished from a truncated one, a body
/// with both `Content-Length` and `Transfer-Encoding` is ambiguous, and a transfer coding other than
/// `chunked` changes its bytes.
fn is_framed(method: &Method, head: &response::Parts, body: &Incoming) -> bool {
    let length = head.headers.contains_key(CONTENT_LENGTH);
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    let transfer_coding = codings.next();
    let chunked = transfer_coding
        .is_none_or(|transfer_coding| transfer_coding.as_bytes().eq_ignore_ascii_case(CHUNKED));
    if !chunked || codings.next().is_some() {
        return false;
    }
    let transfer_coding = transfer_coding.is_some();
    let bodyless = method == Method::HEAD
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED;
    if length && transfer_coding {
        return false;
    }
    length || transfer_coding || bodyless || body.is_end_stream()
}

/// Converts an upstream's head to the head for the client.
fn client_head(mut head: response::Parts) -> response::Parts {
    strip_hop_by_hop(&mut head.headers);
    head.version = http::Version::HTTP_11;
    head.extensions = http::Extensions::new();
    head
}
