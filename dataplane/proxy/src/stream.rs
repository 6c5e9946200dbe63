//! The body of a streaming answer: complete events are passed on as they arrive, and a resumable stream that breaks off is
//! resumed at another upstream inside the same answer.

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
use crate::events::Position;
use crate::exchange::{ChosenInstance, Exchange, GivenUp, OpenStream, Opened, StreamRun};
use crate::node::Node;
use crate::request_counts::RequestEvent;

/// The most bytes of events that are passed on at once.
const MOST_AT_ONCE: usize = 64 * 1024;
/// Clients give up a silent stream after the longest of this time, a number of latency targets and a number of event gaps.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
const CLIENT_LATENCY_TARGETS: u64 = 4;
const CLIENT_EVENT_GAPS: u64 = 8;
/// Fraction of that time after which a silent stream is resumed at another upstream.
const SILENCE_FRACTION: f64 = 0.6;

/// How long a stream may be silent before it is resumed at another upstream.
pub fn silence_limit(route: &Route) -> Duration {
    let objectives = Duration::from_millis(route.target_ms.saturating_mul(CLIENT_LATENCY_TARGETS));
    let pauses = Duration::from_millis(route.gap_aim_ms.unwrap_or(0).saturating_mul(CLIENT_EVENT_GAPS));
    CLIENT_TIMEOUT.max(objectives).max(pauses).mul_f64(SILENCE_FRACTION)
}

type Resumed = (Exchange, Result<Opened, GivenUp>);

enum State {
    Flowing(Box<Flow>),
    Resuming(Pin<Box<dyn Future<Output = Resumed>>>),
    /// The resumption of a silent stream failed: it stays open until its deadline, since silence alone does not end it.
    Abandoned,
    /// Hyper writes what it has been given, then the client's connection is closed without the last chunk.
    Flushing,
    Truncated,
    Ended,
}

/// A run in progress, and the exchange of its request.
struct Flow {
    exchange: Exchange,
    run: StreamRun,
}

/// A streaming answer in progress.
pub struct StreamAnswer {
    node: Rc<Node>,
    state: State,
    /// Complete events that have not been passed on yet.
    ready: Bytes,
    /// The position after the events that have been passed on.
    position: Position,
    deadline: Pin<Box<Sleep>>,
    /// Fires when the stream exceeds the silence limit; only where it may be resumed.
    silence: Option<SilenceTimer>,
    /// The resumption in progress follows a silence, not a break.
    moved_after_silence: bool,
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

    /// Ready once nothing has been received for the limit. The timer is not reset at each event.
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
    /// The answer for a stream that has begun.
    pub fn begin(mut exchange: Exchange, open: OpenStream) -> (response::Parts, Self) {
        exchange.release();
        let node = Rc::clone(&exchange.node);
        let route = exchange.matched().route();
        let moves = exchange.may_resume() && node.settings.mechanisms.has(Mechanism::SilenceMove);
        let silence = moves.then(|| SilenceTimer::new(silence_limit(route)));
        let deadline = Box::pin(sleep_until(exchange.deadline()));
        let position = open.run.as_ref().map(|run| run.splitter.position()).unwrap_or_default();
        let state = match open.run {
            Some(run) => State::Flowing(Box::new(Flow { exchange, run })),
            None => State::Ended,
        };
        (
            open.head,
            StreamAnswer {
                node,
                state,
                ready: open.first,
                position,
                deadline,
                silence,
                moved_after_silence: false,
            },
        )
    }

    /// Whether the stream has ended.
    pub fn is_ended(&self) -> bool {
        self.ready.is_empty() && matches!(self.state, State::Ended)
    }

    /// The next complete events; none once the stream is complete.
    pub fn poll_events(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamTruncated>>> {
        if !self.ready.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.ready))));
        }
        if !matches!(self.state, State::Ended) && self.deadline.as_mut().poll(cx).is_ready() {
            self.state = State::Ended;
            self.node.request_counts.record(RequestEvent::StreamTruncated);
            return Poll::Ready(Some(Err(StreamTruncated::TimeOver)));
        }
        loop {
            let events = match std::mem::replace(&mut self.state, State::Ended) {
                State::Ended => return Poll::Ready(None),
                State::Flushing => {
                    self.state = State::Truncated;
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
                State::Truncated => return Poll::Ready(Some(Err(StreamTruncated::Broken))),
                State::Flowing(flow) => ready!(self.poll_flow(flow, cx)),
                State::Resuming(resuming) => ready!(self.poll_resuming(resuming, cx)),
                State::Abandoned => {
                    self.state = State::Abandoned;
                    return Poll::Pending;
                }
            };
            if !events.is_empty() {
                return Poll::Ready(Some(Ok(events)));
            }
        }
    }

    /// Drives a run. Ready with complete events, or with none if the state has changed.
    fn poll_flow(&mut self, mut flow: Box<Flow>, cx: &mut Context<'_>) -> Poll<Bytes> {
        let mut events = Events::default();
        let broke = loop {
            if events.length >= MOST_AT_ONCE {
                break false;
            }
            let run = &mut flow.run;
            let data = match run.leased.connection.poll_body(&mut run.body, cx) {
                Poll::Pending => break false,
                Poll::Ready(None) => {
                    events.add(run.splitter.finish());
                    let Flow { exchange, run } = *flow;
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
                    // Of a chunk with an error, no event is passed on.
                    self.position = run.splitter.position();
                }
                Err(_) => break true,
            }
        };
        if events.length > 0 {
            self.node.router.borrow_mut().record_received(flow.run.leased.instance());
            self.record_events();
        }
        if broke {
            self.resume_or_truncate(flow);
        } else if events.length > 0 {
            self.state = State::Flowing(flow);
        } else {
            return self.wait(flow, cx);
        }
        Poll::Ready(events.take())
    }

    /// Nothing has been received. Resumes a stream beyond the silence limit, if the router grants another upstream.
    fn wait(&mut self, mut flow: Box<Flow>, cx: &mut Context<'_>) -> Poll<Bytes> {
        if let Some(silence) = &mut self.silence
            && silence.poll(cx).is_ready()
        {
            if self.position.last_id.is_some()
                && flow.exchange.may_resume()
                && let Ok(chosen) = flow.exchange.choose()
            {
                self.resume_elsewhere(flow, Some(chosen));
                return Poll::Ready(Bytes::new());
            }
            silence.restart();
            let _ = silence.poll(cx);
        }
        self.state = State::Flowing(flow);
        Poll::Pending
    }

    fn poll_resuming(
        &mut self,
        mut resuming: Pin<Box<dyn Future<Output = Resumed>>>,
        cx: &mut Context<'_>,
    ) -> Poll<Bytes> {
        let Poll::Ready((exchange, resumed)) = resuming.as_mut().poll(cx) else {
            self.state = State::Resuming(resuming);
            return Poll::Pending;
        };
        let open = match resumed {
            Ok(Opened::Stream(open)) => open,
            other => {
                spdlog::debug!(
                    "no upstream took up a stream: {:?}",
                    other.err().map(|given_up| given_up.failure)
                );
                self.give_up_resuming();
                return Poll::Ready(Bytes::new());
            }
        };
        self.moved_after_silence = false;
        self.node.request_counts.record(RequestEvent::StreamResumed);
        self.record_events();
        if let Some(run) = open.run {
            self.position = run.splitter.position();
            self.state = State::Flowing(Box::new(Flow { exchange, run }));
        }
        Poll::Ready(open.first)
    }

    /// The state after a failed resumption.
    fn give_up_resuming(&mut self) {
        if self.moved_after_silence {
            self.state = State::Abandoned;
            return;
        }
        self.node.request_counts.record(RequestEvent::StreamTruncated);
        self.state = State::Flushing;
    }

    fn record_events(&mut self) {
        if let Some(silence) = &mut self.silence {
            silence.last_event = Instant::now();
        }
    }

    /// Resumes the stream after a run that broke off, or truncates it.
    fn resume_or_truncate(&mut self, mut flow: Box<Flow>) {
        self.log_break(&flow);
        if self.position.last_id.is_some() && flow.exchange.may_resume() {
            self.resume_elsewhere(flow, None);
            return;
        }
        flow.run.attempt.finish(Outcome::ConnectionBroken);
        self.node.request_counts.record(RequestEvent::StreamTruncated);
        self.state = State::Flushing;
    }

    fn log_break(&self, flow: &Flow) {
        let router = self.node.router.borrow();
        if let Some(target) = router.target(flow.run.leased.instance()) {
            spdlog::debug!("{} broke a stream off after event {:?}", target.id, self.position.last_id);
        }
    }

    /// Ends a run and resumes the stream at another upstream.
    fn resume_elsewhere(&mut self, flow: Box<Flow>, chosen: Option<ChosenInstance>) {
        let Flow { mut exchange, mut run } = *flow;
        self.moved_after_silence = chosen.is_some();
        run.attempt.finish(Outcome::ConnectionBroken);
        // The old run must not continue beside the new one.
        drop(run);
        exchange.resume_after(self.position);
        self.state = State::Resuming(Box::pin(async move {
            let resumed = exchange.open(chosen).await;
            (exchange, resumed)
        }));
    }
}

/// Complete events that are passed on together.
#[derive(Default)]
struct Events {
    first: Bytes,
    more: BytesMut,
    length: usize,
}

impl Events {
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
