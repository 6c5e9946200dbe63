//! One request of a client and the sends it leads to, up to an answer that can be passed on.

use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Response, StatusCode, response};
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout, timeout_at};
use whinspindle_configuration::Mechanism;
use whinspindle_routing::{Attempt, Choice, InstanceKey, InstanceTarget, Outcome};

use crate::answers::RETRY_AFTER_MS;
use crate::events::{EventSplitter, Position};
use crate::headers::{
    EXPECT_VERSION, PRIORITY, VERSIONS, keep_alive_ms, number, retry_after_ms, strip_hop_by_hop,
};
use crate::limits::BudgetShare;
use crate::node::Node;
use crate::pool::{Leased, NoLane};
use crate::request::{ClientRequest, MatchedRoute};
use crate::retry::{self, History, Next, OwnFailure, SendEnd};
use crate::tally::Event;
use crate::verdict::{Asked, Verdict, judge};

/// With less time left nothing is sent any more.
const LEAST_TIME: Duration = Duration::from_millis(15);
/// The body of a refusal is waited for so long, for the sake of the connection.
const REFUSAL_BODY: Duration = Duration::from_millis(20);
/// The longest answer that is read whole.
const MOST_ANSWER_BYTES: usize = 16 * 1024 * 1024;
const CHUNKED: &[u8] = b"chunked";
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// A send that the router has granted.
#[derive(Clone, Copy, Debug)]
pub struct Chosen {
    pub attempt: Attempt,
    pub instance: InstanceKey,
}

/// Why a request has no answer of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    pub failure: OwnFailure,
    pub retry_after_ms: u64,
}

/// An answer of an upstream that can be passed on.
pub enum Opened {
    Whole(Response<Bytes>),
    Stream(Box<OpenStream>),
}

/// A stream whose first events are here.
pub struct OpenStream {
    pub head: response::Parts,
    pub first: Bytes,
    /// What follows; nothing if the stream has ended.
    pub run: Option<Run>,
}

/// A stream under way at an upstream.
pub struct Run {
    pub leased: Leased,
    pub body: Incoming,
    pub splitter: EventSplitter,
    pub sent: Sent,
}

impl Run {
    /// The stream is complete: its connection may serve again.
    pub fn complete(mut self, node: &Node, cx: &mut std::task::Context<'_>) {
        self.sent.finish(Outcome::Served);
        if self.leased.lane.is_reusable(cx) {
            node.pool.give_back(self.leased);
        }
    }
}

/// A send under way; the router is told how it ends, also when it is dropped.
pub struct Sent {
    node: Rc<Node>,
    attempt: Option<Attempt>,
}

impl Sent {
    fn new(node: &Rc<Node>, attempt: Attempt) -> Self {
        Sent { node: Rc::clone(node), attempt: Some(attempt) }
    }

    fn first_event(&self) {
        if let Some(attempt) = self.attempt {
            self.node.router.borrow_mut().first_event(self.node.clock.now_ms(), attempt);
        }
    }

    /// Tells the router how the send ended.
    pub fn finish(&mut self, outcome: Outcome) {
        if let Some(attempt) = self.attempt.take() {
            self.node.router.borrow_mut().finished(self.node.clock.now_ms(), attempt, outcome);
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        self.finish(Outcome::Cancelled);
    }
}

/// How a send ended without an answer, and what else is known of it.
struct Missed {
    end: SendEnd,
    outcome: Outcome,
}

impl Missed {
    fn not_sent(outcome: Outcome) -> Self {
        Missed { end: SendEnd::NotSent, outcome }
    }

    fn broken() -> Self {
        Missed { end: SendEnd::Broken, outcome: Outcome::Broken }
    }
}

/// A request and what has become of it so far.
pub struct Exchange {
    pub node: Rc<Node>,
    request: ClientRequest,
    matched: MatchedRoute,
    due: Instant,
    tried: Vec<InstanceKey>,
    history: History,
    /// A send is under way, of which bytes may have been written.
    in_flight: bool,
    retry_after_ms: u64,
    resume: Option<Position>,
    /// The last failure of an upstream, to be passed back if no other serves.
    failure: Option<Response<Bytes>>,
    /// Room for the request's body, and for the answer while it is read.
    _request_room: BudgetShare,
    _answer_room: Option<BudgetShare>,
}

impl Exchange {
    pub fn new(
        node: Rc<Node>,
        request: ClientRequest,
        request_room: BudgetShare,
        matched: MatchedRoute,
    ) -> Self {
        let due = request.due(Duration::from_millis(matched.route().timeout_ms));
        Exchange {
            node,
            request,
            matched,
            due,
            tried: Vec::new(),
            history: History::default(),
            in_flight: false,
            retry_after_ms: RETRY_AFTER_MS,
            resume: None,
            failure: None,
            _request_room: request_room,
            _answer_room: None,
        }
    }

    /// When the request is to be answered at the latest.
    pub fn due(&self) -> Instant {
        self.due
    }

    pub fn matched(&self) -> &MatchedRoute {
        &self.matched
    }

    /// Whether the stream may go on at one more upstream.
    pub fn may_resume(&self) -> bool {
        let route = self.matched.route();
        let mechanisms = self.node.settings.mechanisms;
        route.resumable
            && mechanisms.has(Mechanism::Resumption)
            && retry::may_run_again(self.matched.permission(), self.history)
    }

    /// From now on sends ask for what follows the events that were passed on.
    pub fn resume_after(&mut self, position: Position) {
        self.resume = Some(position);
        self.failure = None;
    }

    /// Gives up what only another send would need, where there won't be any.
    pub fn release(&mut self) {
        if !self.may_resume() {
            self.request.release();
            self._request_room = self.node.bodies.share();
        }
    }

    /// Asks the router for another upstream.
    pub fn choose(&mut self) -> Result<Chosen, GivenUp> {
        self.follow_configuration()?;
        let facts = &mut self.request.facts;
        facts.generation = self.matched.configuration.generation;
        facts.route = self.matched.route;
        facts.service = self.matched.service;
        facts.unreached = self.history.unsent as usize;
        facts.time_left_ms = self.due.saturating_duration_since(Instant::now()).as_millis() as u64;
        let now = self.node.clock.now_ms();
        let choice = self.node.router.borrow_mut().choose(now, facts, &self.tried);
        match choice {
            Choice::Send { attempt, instance } => Ok(Chosen { attempt, instance }),
            Choice::Refuse(refusal) => {
                self.retry_after_ms = refusal.retry_after_ms;
                Err(self.given_up(retry::give_up(self.history)))
            }
        }
    }

    /// Sends the request until an answer has come that can be passed on. `first` is a send that was granted already.
    pub async fn open(&mut self, first: Option<Chosen>) -> Result<Opened, GivenUp> {
        let due = self.due;
        match timeout_at(due, self.open_untimed(first)).await {
            Ok(end) => end,
            Err(_) => Err(self.time_is_over()),
        }
    }

    async fn open_untimed(&mut self, mut granted: Option<Chosen>) -> Result<Opened, GivenUp> {
        loop {
            if self.time_left() < LEAST_TIME {
                return self.failure_or(retry::time_is_over(self.history));
            }
            let chosen = match granted.take().map_or_else(|| self.choose(), Ok) {
                Ok(chosen) => chosen,
                Err(given_up) => return self.failure_or(given_up.failure),
            };
            self.in_flight = false;
            let mut sent = Sent::new(&self.node, chosen.attempt);
            let missed = match self.send(chosen.instance).await {
                Ok(answer) => match self.read(answer, sent).await {
                    Ok(opened) => {
                        self.tried.push(chosen.instance);
                        self.history.note_run();
                        return Ok(opened);
                    }
                    Err(end) => end,
                },
                Err(missed) => {
                    sent.finish(missed.outcome);
                    missed.end
                }
            };
            self.in_flight = false;
            self.tried.push(chosen.instance);
            self.history.note(missed);
            self.node.tally.note(event_of(missed));
            match retry::next(self.matched.permission(), self.history, missed) {
                Next::SendAgain => {}
                Next::PassBack => return self.failure_or(OwnFailure::BadGateway),
                Next::GiveUp(failure) => return Err(self.given_up(failure)),
            }
        }
    }

    /// Puts the request on a connection and waits for the head of a fitting answer.
    async fn send(&mut self, instance: InstanceKey) -> Result<Answered, Missed> {
        let target = self.node.router.borrow().target(instance).cloned();
        let Some(target) = target else { return Err(Missed::not_sent(Outcome::Cancelled)) };
        let most = self.node.most_connections(self.matched.service().max_conns);
        let trusts_idle = !self.node.router.borrow().is_in_doubt(instance);
        let leased = self.node.pool.lease(instance, target.address, most, trusts_idle).await;
        let mut leased = leased.map_err(|fault| {
            spdlog::debug!("{}: {fault}", target.id);
            Missed::not_sent(match fault {
                NoLane::Full => Outcome::Cancelled,
                NoLane::Silent => Outcome::Silent,
                NoLane::Refused { .. } | NoLane::Handshake { .. } => Outcome::Unreachable,
            })
        })?;
        if leased.lane.is_fresh() {
            self.node.router.borrow_mut().heard(instance);
        }
        // The connect may have taken a while.
        let wanted = self.node.router.borrow().may_still_send(instance);
        if !wanted || self.time_left() < LEAST_TIME {
            self.node.pool.give_back(leased);
            return Err(Missed::not_sent(Outcome::Cancelled));
        }
        let answer = self.write(&mut leased, &target).await?;
        let (head, body) = answer.into_parts();
        let names_version = self.request.headers.contains_key(EXPECT_VERSION)
            || self.resume.is_some_and(|position| position.versions.is_some());
        let asked = Asked {
            id: self.request.id.as_ref(),
            instance: &target.id,
            names_version,
            fresh: leased.lane.is_fresh(),
        };
        match judge(&asked, head.status, &head.headers) {
            Verdict::Unusable => {
                spdlog::debug!("{}: {} is no answer to {:?}", target.id, head.status, asked.id);
                Err(Missed::broken())
            }
            verdict => Ok(Answered { verdict, head, body, leased }),
        }
    }

    async fn write(
        &mut self,
        leased: &mut Leased,
        target: &InstanceTarget,
    ) -> Result<Response<Incoming>, Missed> {
        let mut request = self.request.to_upstream(target, &self.matched, self.due, self.resume);
        if !self.node.settings.mechanisms.has(Mechanism::Priority) {
            request.headers_mut().remove(PRIORITY);
        }
        let before = leased.lane.written();
        self.in_flight = true;
        let answer = leased.lane.send(request).await;
        answer.map_err(|fault| {
            let written = leased.lane.written() - before;
            spdlog::debug!("{}: {fault}, {written} bytes written", target.id);
            if written > 0 { Missed::broken() } else { Missed::not_sent(Outcome::Unreachable) }
        })
    }

    /// Reads an answer as far as it has to be known before it is passed on.
    async fn read(&mut self, answered: Answered, mut sent: Sent) -> Result<Opened, SendEnd> {
        let Answered { verdict, head, body, mut leased } = answered;
        // Where the head alone says that the request did not run, the body does not count.
        let counts = !matches!(verdict, Verdict::Rejected | Verdict::Misdirected);
        self.in_flight = counts;
        if counts && !is_framed(&self.request.method, &head, &body) {
            sent.finish(Outcome::Broken);
            return Err(SendEnd::Broken);
        }
        let keeps = keep_alive_ms(&head.headers).map(Duration::from_millis);
        leased.keeps = keeps.or(leased.keeps);
        if verdict == Verdict::Success && is_event_stream(&head.headers) {
            return self.read_first_events(head, body, leased, sent).await;
        }
        if verdict == Verdict::Success {
            sent.first_event();
        }
        let framed = is_framed(&self.request.method, &head, &body);
        let whole = match (framed, counts) {
            (false, _) => None,
            (true, true) => self.read_whole(body, &mut leased).await,
            (true, false) => timeout(REFUSAL_BODY, self.read_whole(body, &mut leased)).await.ok().flatten(),
        };
        let is_whole = whole.is_some();
        let end = self.conclude(verdict, head, whole, &mut sent);
        if is_whole {
            let reusable = poll_fn(|cx| leased.lane.is_reusable(cx).into()).await;
            if reusable {
                self.node.pool.give_back(leased);
            }
        }
        end
    }

    fn conclude(
        &mut self,
        verdict: Verdict,
        head: response::Parts,
        body: Option<Bytes>,
        sent: &mut Sent,
    ) -> Result<Opened, SendEnd> {
        // The head alone says that the request did not run.
        match verdict {
            Verdict::Misdirected => {
                sent.finish(Outcome::Misdirected);
                return Err(SendEnd::Misdirected);
            }
            Verdict::Rejected => {
                self.retry_after_ms = retry_after_ms(&head.headers).unwrap_or(self.retry_after_ms);
                sent.finish(Outcome::Rejected);
                return Err(SendEnd::Rejected);
            }
            _ => {}
        }
        let Some(body) = body else {
            sent.finish(Outcome::Broken);
            return Err(SendEnd::Broken);
        };
        let failed = head.status.is_server_error();
        sent.finish(if failed { Outcome::Failed } else { Outcome::Served });
        let answer = Response::from_parts(passed_on(head), body);
        if !failed {
            return Ok(Opened::Whole(answer));
        }
        self.failure = Some(answer);
        Err(SendEnd::Failed)
    }

    /// The whole body; nothing if it broke off or is too long.
    async fn read_whole(&mut self, mut body: Incoming, leased: &mut Leased) -> Option<Bytes> {
        let mut room = self.node.bodies.share();
        let mut first = Bytes::new();
        let mut rest = BytesMut::new();
        loop {
            let frame = match poll_fn(|cx| leased.lane.poll_body(&mut body, cx)).await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return None,
                None => break,
            };
            let Ok(data) = frame.into_data() else { continue };
            let total = first.len() + rest.len() + data.len();
            if total > MOST_ANSWER_BYTES || !room.grow_to(total) {
                return None;
            }
            if first.is_empty() {
                first = data;
            } else {
                rest.extend_from_slice(&data);
            }
        }
        self._answer_room = Some(room);
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
        mut sent: Sent,
    ) -> Result<Opened, SendEnd> {
        let mut splitter = match self.resume {
            Some(position) => EventSplitter::resuming(position),
            None => EventSplitter::new(number(&head.headers, &VERSIONS)),
        };
        loop {
            let frame = match poll_fn(|cx| leased.lane.poll_body(&mut body, cx)).await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => break,
                None => {
                    let run = Run { leased, body, splitter, sent };
                    return Ok(self.ended_stream(head, run).await);
                }
            };
            let Ok(data) = frame.into_data() else { continue };
            match splitter.push(data) {
                Ok(first) if first.is_empty() => {}
                Ok(first) => {
                    sent.first_event();
                    let run = Some(Run { leased, body, splitter, sent });
                    return Ok(Opened::Stream(Box::new(OpenStream { head: passed_on(head), first, run })));
                }
                Err(_) => break,
            }
        }
        sent.finish(Outcome::Broken);
        Err(SendEnd::Broken)
    }

    async fn ended_stream(&self, head: response::Parts, mut run: Run) -> Opened {
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

    /// A newer configuration may have moved or dropped the route.
    fn follow_configuration(&mut self) -> Result<(), GivenUp> {
        let newest = self.node.configuration();
        let Some(newest) = newest else { return Ok(()) };
        if std::sync::Arc::ptr_eq(&newest, &self.matched.configuration) {
            return Ok(());
        }
        let path = self.request.target.path();
        match self.matched.moved_to(&newest, &self.request.host, path) {
            Some(matched) => {
                self.matched = matched;
                Ok(())
            }
            None => Err(self.given_up(retry::give_up(self.history))),
        }
    }

    fn time_left(&self) -> Duration {
        self.due.saturating_duration_since(Instant::now())
    }

    fn time_is_over(&mut self) -> GivenUp {
        if std::mem::take(&mut self.in_flight) {
            self.history.note_run();
        }
        self.given_up(retry::time_is_over(self.history))
    }

    fn given_up(&self, failure: OwnFailure) -> GivenUp {
        GivenUp { failure, retry_after_ms: self.retry_after_ms }
    }

    /// The upstream's failure goes back, where there is one.
    fn failure_or(&mut self, failure: OwnFailure) -> Result<Opened, GivenUp> {
        match self.failure.take() {
            Some(answer) => Ok(Opened::Whole(answer)),
            None => Err(self.given_up(failure)),
        }
    }
}

/// The head of an answer that has been judged, and the connection on which the rest comes.
struct Answered {
    verdict: Verdict,
    head: response::Parts,
    body: Incoming,
    leased: Leased,
}

/// How a send that gave no answer is counted.
fn event_of(end: SendEnd) -> Event {
    match end {
        SendEnd::NotSent => Event::SendUnsent,
        SendEnd::Misdirected => Event::SendMisdirected,
        SendEnd::Rejected => Event::SendRejected,
        SendEnd::Failed | SendEnd::Broken => Event::SendBroken,
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).map_or(&[][..], |kind| kind.as_bytes());
    kind.get(..EVENT_STREAM.len()).is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
}

/// Whether the end of the body is known from its framing: one that lasts until the connection closes can't be told
/// from one that broke off, one with two kinds of length can't be trusted, and of one with another coding than chunks
/// the bytes would not be the upstream's body.
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

/// The head as it goes to the client.
fn passed_on(mut head: response::Parts) -> response::Parts {
    strip_hop_by_hop(&mut head.headers);
    head.version = http::Version::HTTP_11;
    head.extensions = http::Extensions::new();
    head
}
