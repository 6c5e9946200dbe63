//! The body of a streaming answer.
//!
//! Complete events are passed on as they arrive. A resumable stream whose connection breaks is resumed at
//! another upstream within the same answer.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::response;
use tokio::time::{Instant, Sleep, sleep_until};
use whinspindle_configuration::{Mechanism, Route};
use whinspindle_routing::Outcome;

use crate::answers::StreamTruncated;
use crate::events::StreamPosition;
use crate::exchange::{
    ChosenInstance, Exchange, ExchangeFailure, OpenStream, UpstreamAnswer, UpstreamStream,
};
use crate::node::Node;
use crate::request_counts::RequestEvent;

/// Size at which a batch of events is passed on, in bytes.
const MAX_EVENT_BATCH_BYTES: usize = 64 * 1024;
/// Clients abort a silent stream after the maximum of this time, [`CLIENT_LATENCY_TARGETS`] times the latency
/// target, and [`CLIENT_EVENT_GAPS`] times the target gap between events.
const MIN_CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
const CLIENT_LATENCY_TARGETS: u64 = 4;
const CLIENT_EVENT_GAPS: u64 = 8;
/// Fraction of the clients' time-out after which a silent stream is resumed at another upstream.
const SILENCE_FRACTION: f64 = 0.6;

/// Returns the time after which a silent stream is resumed at another upstream.
pub fn silence_limit(route: &Route) -> Duration {
    let latency_timeout = Duration::from_millis(route.target_ms.saturating_mul(CLIENT_LATENCY_TARGETS));
    let gap_timeout = Duration::from_millis(route.gap_aim_ms.unwrap_or(0).saturating_mul(CLIENT_EVENT_GAPS));
    MIN_CLIENT_TIMEOUT.max(latency_timeout).max(gap_timeout).mul_f64(SILENCE_FRACTION)
}

type ResumeResult = (Exchange, Result<UpstreamAnswer, ExchangeFailure>);

enum StreamState {
    Running(Box<ActiveRun>),
    Resuming(Pin<Box<dyn Future<Output = ResumeResult>>>),
    /// The resumption of a silent stream failed. The stream stays open until its deadline, since silence is
    /// not an error.
    Abandoned,
    /// Hyper writes its buffered data before the client's connection is closed without the last chunk.
    Flushing,
    Truncated,
    Ended,
}

/// An upstream's stream in progress, and the exchange of its request.
struct ActiveRun {
    exchange: Exchange,
    run: UpstreamStream,
}

/// A streaming answer in progress.
pub struct StreamAnswer {
    node: Rc<Node>,
    state: StreamState,
    /// Complete events to pass on next.
    pending_events: Bytes,
    /// The position after the events passed on so far.
    position: StreamPosition,
    deadline: Pin<Box<Sleep>>,
    /// Expires when the stream exceeds the silence limit. Set only if the stream may be resumed.
    silence_timer: Option<SilenceTimer>,
    /// Whether the resumption in progress was caused by silence rather than a broken connection.
    is_resuming_after_silence: bool,
}

struct SilenceTimer {
    limit: Duration,
    last_event: Instant,
    timer: Pin<Box<Sleep>>,
}

impl SilenceTimer {
    fn new(limit: Duration) -> Self {
        let now = Instant::now();
        SilenceTimer { limit, last_event: now, timer: Box::pin(sleep_until(now + limit)) }
    }

    /// Ready once the stream has been silent for the limit. The timer is reset lazily rather than at each
    /// event.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.timer.as_mut().poll(cx));
            let end = self.last_event + self.limit;
            if end <= Instant::now() {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(end);
        }
    }

    fn restart(&mut self) {
        self.last_event = Instant::now();
        self.timer.as_mut().reset(self.last_event + self.limit);
    }
}

impl StreamAnswer {
    /// Creates the answer for a stream whose first events have been received.
    pub fn begin(mut exchange: Exchange, open: OpenStream) -> (response::Parts, Self) {
        exchange.release();
        let node = Rc::clone(&exchange.node);
        let route = exchange.matched_route().route();
        let may_resume_silent = exchange.may_resume() && node.settings.mechanisms.has(Mechanism::SilenceMove);
        let silence_timer = may_resume_silent.then(|| SilenceTimer::new(silence_limit(route)));
        let deadline = Box::pin(sleep_until(exchange.deadline()));
        let position = open.run.as_ref().map(|run| run.splitter.position()).unwrap_or_default();
        let state = match open.run {
            Some(run) => StreamState::Running(Box::new(ActiveRun { exchange, run })),
            None => StreamState::Ended,
        };
        (
            open.head,
            StreamAnswer {
                node,
                state,
                pending_events: open.first_events,
                position,
                deadline,
                silence_timer,
                is_resuming_after_silence: false,
            },
        )
    }

    /// Whether the stream has ended.
    pub fn is_ended(&self) -> bool {
        self.pending_events.is_empty() && matches!(self.state, StreamState::Ended)
    }

    /// Polls for the next complete events; `None` once the stream is complete.
    pub fn poll_events(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamTruncated>>> {
        if !self.pending_events.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.pending_events))));
        }
        if !matches!(self.state, StreamState::Ended) && self.deadline.as_mut().poll(cx).is_ready() {
            self.state = StreamState::Ended;
            self.node.request_counts.record(RequestEvent::StreamTruncated);
            return Poll::Ready(Some(Err(StreamTruncated::DeadlineExceeded)));
        }
        loop {
            let events = match std::mem::replace(&mut self.state, StreamState::Ended) {
                StreamState::Ended => return Poll::Ready(None),
                StreamState::Flushing => {
                    self.state = StreamState::Truncated;
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
                StreamState::Truncated => return Poll::Ready(Some(Err(StreamTruncated::Broken))),
                StreamState::Running(active) => ready!(self.poll_run(active, cx)),
                StreamState::Resuming(resuming) => ready!(self.poll_resuming(resuming, cx)),
                StreamState::Abandoned => {
                    self.state = StreamState::Abandoned;
                    return Poll::Pending;
                }
            };
            if !events.is_empty() {
                return Poll::Ready(Some(Ok(events)));
            }
        }
    }

    /// Polls the upstream's stream. Ready with complete events, or without events if the state has changed.
    fn poll_run(&mut self, mut active: Box<ActiveRun>, cx: &mut Context<'_>) -> Poll<Bytes> {
        let mut events = EventBatch::default();
        let is_broken = loop {
            if events.length >= MAX_EVENT_BATCH_BYTES {
                break false;
            }
            let run = &mut active.run;
            let data = match run.leased.connection.poll_body(&mut run.body, cx) {
                Poll::Pending => break false,
                Poll::Ready(None) => {
                    events.add(run.splitter.finish());
                    let ActiveRun { exchange, run } = *active;
                    self.node.request_counts.record(RequestEvent::StreamComplete);
                    run.complete(&exchange.node, cx);
                    return Poll::Ready(events.take());
                }
                Poll::Ready(Some(Err(_))) => break true,
                Poll::Ready(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            match run.splitter.push(data) {
                Ok(complete) => {
                    events.add(complete);
                    // Events of a chunk with an error are not passed on, so they do not advance the position.
                    self.position = run.splitter.position();
                }
                Err(_) => break true,
            }
        };
        if events.length > 0 {
            self.node.router.borrow_mut().record_received(active.run.leased.instance());
            self.record_events();
        }
        if is_broken {
            self.resume_or_truncate(active);
        } else if events.length > 0 {
            self.state = StreamState::Running(active);
        } else {
            return self.handle_silence(active, cx);
        }
        Poll::Ready(events.take())
    }

    /// Resumes the stream if it exceeds the silence limit and the router chooses another upstream.
    fn handle_silence(&mut self, mut active: Box<ActiveRun>, cx: &mut Context<'_>) -> Poll<Bytes> {
        if let Some(silence_timer) = &mut self.silence_timer
            && silence_timer.poll(cx).is_ready()
        {
            if self.position.last_id.is_some()
                && active.exchange.may_resume()
                && let Ok(chosen) = active.exchange.choose()
            {
                self.resume_elsewhere(active, Some(chosen));
                return Poll::Ready(Bytes::new());
            }
            silence_timer.restart();
            let _ = silence_timer.poll(cx);
        }
        self.state = StreamState::Running(active);
        Poll::Pending
    }

    fn poll_resuming(
        &mut self,
        mut resuming: Pin<Box<dyn Future<Output = ResumeResult>>>,
        cx: &mut Context<'_>,
    ) -> Poll<Bytes> {
        let Poll::Ready((exchange, resumed)) = resuming.as_mut().poll(cx) else {
            self.state = StreamState::Resuming(resuming);
            return Poll::Pending;
        };
        let open = match resumed {
            Ok(UpstreamAnswer::Stream(open)) => open,
            other => {
                spdlog::debug!(
                    "cannot resume a stream: {:?}",
                    other.err().map(|exchange_failure| exchange_failure.failure)
                );
                self.give_up_resuming();
                return Poll::Ready(Bytes::new());
            }
        };
        self.is_resuming_after_silence = false;
        self.node.request_counts.record(RequestEvent::StreamResumed);
        self.record_events();
        if let Some(run) = open.run {
            self.position = run.splitter.position();
            self.state = StreamState::Running(Box::new(ActiveRun { exchange, run }));
        }
        Poll::Ready(open.first_events)
    }

    /// Sets the state after a failed resumption.
    fn give_up_resuming(&mut self) {
        if self.is_resuming_after_silence {
            self.state = StreamState::Abandoned;
            return;
        }
        self.node.request_counts.record(RequestEvent::StreamTruncated);
        self.state = StreamState::Flushing;
    }

    fn record_events(&mut self) {
        if let Some(silence_timer) = &mut self.silence_timer {
            silence_timer.last_event = Instant::now();
        }
    }

    /// Resumes a stream whose connection broke, or truncates it.
    fn resume_or_truncate(&mut self, mut active: Box<ActiveRun>) {
        self.log_break(&active);
        if self.position.last_id.is_some() && active.exchange.may_resume() {
            self.resume_elsewhere(active, None);
            return;
        }
        active.run.attempt.finish(Outcome::ConnectionBroken);
        self.node.request_counts.record(RequestEvent::StreamTruncated);
        self.state = StreamState::Flushing;
    }

    fn log_break(&self, active: &ActiveRun) {
        let router = self.node.router.borrow();
        if let Some(target) = router.target(active.run.leased.instance()) {
            spdlog::debug!("{}: the stream broke after event {:?}", target.id, self.position.last_id);
        }
    }

    /// Ends the current upstream's stream and resumes at another upstream.
    fn resume_elsewhere(&mut self, active: Box<ActiveRun>, chosen: Option<ChosenInstance>) {
        let ActiveRun { mut exchange, mut run } = *active;
        self.is_resuming_after_silence = chosen.is_some();
        run.attempt.finish(Outcome::ConnectionBroken);
        // The old upstream must stop before the new one starts.
        drop(run);
        exchange.resume_after(self.position);
        self.state = StreamState::Resuming(Box::pin(async move {
            let resumed = exchange.open(chosen).await;
            (exchange, resumed)
        }));
    }
}

/// A batch of complete events.
#[derive(Default)]
struct EventBatch {
    first: Bytes,
    more: BytesMut,
    length: usize,
}

impl EventBatch {
    fn add(&mut self, events: Bytes) {
        self.length += events.len();
        if self.first.is_empty() {
            self.first = events;
        } else {
            self.more.extend_from_slice(&events);
        }
    }

    fn take(&mut self) -> Bytes {
        self.length = 0;
        let first = std::mem::take(&mut self.first);
        if self.more.is_empty() {
            return first;
        }
        let mut events = BytesMut::with_capacity(first.len() + self.more.len());
        events.extend_from_slice(&first);
        events.extend_from_slice(&std::mem::take(&mut self.more));
        events.freeze()
    }
}
