//! The body of a streaming answer: whole events go on as they come, and a resumable stream that breaks goes on at
//! another upstream inside the same answer.

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

/// So many bytes of events go on at once at most.
const MOST_AT_ONCE: usize = 64 * 1024;
/// Clients give a stream up after the longest of this silence, so many objectives and so many pauses.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
const CLIENT_LATENCY_TARGETS: u64 = 4;
const CLIENT_EVENT_GAPS: u64 = 8;
/// The part of a client's patience after which a silent stream moves to another upstream.
const SILENCE_FRACTION: f64 = 0.6;

/// For how long a stream may be silent before it moves to another upstream.
pub fn silence_limit(route: &Route) -> Duration {
    let objectives = Duration::from_millis(route.target_ms.saturating_mul(CLIENT_LATENCY_TARGETS));
    let pauses = Duration::from_millis(route.gap_aim_ms.unwrap_or(0).saturating_mul(CLIENT_EVENT_GAPS));
    CLIENT_TIMEOUT.max(objectives).max(pauses).mul_f64(SILENCE_FRACTION)
}

type Resumed = (Exchange, Result<Opened, GivenUp>);

enum State {
    Flowing(Box<Flow>),
    Resuming(Pin<Box<dyn Future<Output = Resumed>>>),
    /// No upstream has taken up a stream that moved for silence alone: silence is no reason to end it before its time.
    Abandoned,
    /// What has been handed on is to be written, and then the client's connection is to be cut.
    Flushing,
    Truncated,
    Ended,
}

/// A run under way, and the request it answers.
struct Flow {
    exchange: Exchange,
    run: StreamRun,
}

/// A streaming answer under way.
pub struct StreamAnswer {
    node: Rc<Node>,
    state: State,
    /// Whole events that have not gone on yet.
    ready: Bytes,
    /// Events have been passed on up to here.
    position: Position,
    due: Pin<Box<Sleep>>,
    /// Ends when the stream has been silent for too long; only where it may move.
    silence: Option<SilenceTimer>,
    /// The resumption under way follows a silence, not a break.
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

    /// Ready once nothing has come for the whole limit. The timer is not moved with each event.
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
        let due = Box::pin(sleep_until(exchange.due()));
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
                due,
                silence,
                moved_after_silence: false,
            },
        )
    }

    /// Nothing more follows.
    pub fn is_ended(&self) -> bool {
        self.ready.is_empty() && matches!(self.state, State::Ended)
    }

    /// The next whole events; none once the stream is complete.
    pub fn poll_events(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamTruncated>>> {
        if !self.ready.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.ready))));
        }
        if !matches!(self.state, State::Ended) && self.due.as_mut().poll(cx).is_ready() {
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

    /// Moves a run on. Ready with whole events, or with none if the state has changed.
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
                Ok(whole) => {
                    events.add(whole);
                    // Of a piece that can't be passed on, none of the events count.
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

    /// Nothing is here for now. A stream that has been silent for too long moves on, if another upstream takes it.
    fn wait(&mut self, mut flow: Box<Flow>, cx: &mut Context<'_>) -> Poll<Bytes> {
        if let Some(silence) = &mut self.silence
            && silence.poll(cx).is_ready()
        {
            if self.position.last_id.is_some()
                && flow.exchange.may_resume()
                && let Ok(chosen) = flow.exchange.choose()
            {
                self.move_on(flow, Some(chosen));
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

    /// What comes after a resumption that no upstream took.
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

    /// What comes after a run that broke.
    fn resume_or_truncate(&mut self, mut flow: Box<Flow>) {
        self.log_break(&flow);
        if self.position.last_id.is_some() && flow.exchange.may_resume() {
            self.move_on(flow, None);
            return;
        }
        flow.run.attempt.finish(Outcome::Broken);
        self.node.request_counts.record(RequestEvent::StreamTruncated);
        self.state = State::Flushing;
    }

    fn log_break(&self, flow: &Flow) {
        let router = self.node.router.borrow();
        if let Some(target) = router.target(flow.run.leased.instance()) {
            spdlog::debug!("{} broke a stream off after event {:?}", target.id, self.position.last_id);
        }
    }

    /// Ends a run and asks another upstream for what follows.
    fn move_on(&mut self, flow: Box<Flow>, chosen: Option<ChosenInstance>) {
        let Flow { mut exchange, mut run } = *flow;
        self.moved_after_silence = chosen.is_some();
        run.attempt.finish(Outcome::Broken);
        // The old run must not go on beside the new one.
        drop(run);
        exchange.resume_after(self.position);
        self.state = State::Resuming(Box::pin(async move {
            let resumed = exchange.open(chosen).await;
            (exchange, resumed)
        }));
    }
}

/// Whole events that go on together.
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
        let mut whole = BytesMut::with_capacity(first.len() + self.more.len());
        whole.extend_from_slice(&first);
        whole.extend_from_slice(&std::mem::take(&mut self.more));
        whole.freeze()
    }
}
