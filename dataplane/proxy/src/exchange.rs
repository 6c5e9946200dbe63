//! The exchange of one client request: attempts at upstreams and retries, until there is an answer to pass on.

mod reading;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, response};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use whinspindle_configuration::Mechanism;
use whinspindle_routing::{AttemptId, Choice, InstanceKey, InstanceTarget, Outcome};

use self::reading::Answered;
use crate::answers::RETRY_AFTER_MS;
use crate::classify::{AnswerClass, Expected, classify};
use crate::events::{EventSplitter, Position};
use crate::headers::{EXPECT_VERSION, PRIORITY};
use crate::limits::Reservation;
use crate::node::Node;
use crate::pool::{ConnectionError, Leased};
use crate::request::{ClientRequest, MatchedRoute};
use crate::request_counts::RequestEvent;
use crate::retry::{self, AttemptEnd, AttemptHistory, Decision, ProxyFailure};

/// With less time until the deadline no attempt is made.
const LEAST_TIME: Duration = Duration::from_millis(15);

/// An attempt that the router has granted.
#[derive(Clone, Copy, Debug)]
pub struct ChosenInstance {
    /// The router's id of the attempt.
    pub attempt: AttemptId,
    /// The instance to forward to.
    pub instance: InstanceKey,
}

/// The end of an exchange without an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// What is answered instead.
    pub failure: ProxyFailure,
    /// When the client may retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// An answer of an upstream that can be passed on.
pub enum Opened {
    /// An answer with its complete body.
    Complete(Response<Bytes>),
    /// A stream that has begun.
    Stream(Box<OpenStream>),
}

/// A stream whose first events have been received.
pub struct OpenStream {
    /// The head of the answer, as it goes to the client.
    pub head: response::Parts,
    /// The first complete events.
    pub first: Bytes,
    /// The rest of the stream; none if it has ended.
    pub run: Option<StreamRun>,
}

/// A stream in progress at an upstream.
pub struct StreamRun {
    /// The connection on which it arrives.
    pub leased: Leased,
    /// The rest of the body.
    pub body: Incoming,
    /// Splits the body into events.
    pub splitter: EventSplitter,
    /// The attempt, which the end of the stream ends.
    pub attempt: OpenAttempt,
}

impl StreamRun {
    /// Ends a complete stream and returns its connection to the pool.
    pub fn complete(mut self, node: &Node, cx: &mut std::task::Context<'_>) {
        self.attempt.finish(Outcome::Served);
        if self.leased.connection.is_reusable(cx) {
            node.pool.release(self.leased);
        }
    }
}

/// An attempt in progress. Its end is reported to the router, as cancelled if this is dropped.
pub struct OpenAttempt {
    node: Rc<Node>,
    id: Option<AttemptId>,
}

impl OpenAttempt {
    fn new(node: &Rc<Node>, id: AttemptId) -> Self {
        OpenAttempt { node: Rc::clone(node), id: Some(id) }
    }

    /// Tells the router that the head of the answer or the first event has arrived.
    fn first_event(&self) {
        if let Some(id) = self.id {
            self.node.router.borrow_mut().record_first_event(self.node.clock.now_ms(), id);
        }
    }

    /// Reports how the attempt ended.
    pub fn finish(&mut self, outcome: Outcome) {
        if let Some(id) = self.id.take() {
            self.node.router.borrow_mut().finish_attempt(self.node.clock.now_ms(), id, outcome);
        }
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.finish(Outcome::Cancelled);
    }
}

/// An attempt that ended without an answer: for the retry policy, and for the router.
struct FailedAttempt {
    end: AttemptEnd,
    outcome: Outcome,
}

impl FailedAttempt {
    fn not_sent(outcome: Outcome) -> Self {
        FailedAttempt { end: AttemptEnd::NotSent, outcome }
    }

    fn broken() -> Self {
        FailedAttempt { end: AttemptEnd::Broken, outcome: Outcome::ConnectionBroken }
    }
}

/// A request, and the history of its attempts.
pub struct Exchange {
    /// The state of the process.
    pub node: Rc<Node>,
    request: ClientRequest,
    matched: MatchedRoute,
    deadline: Instant,
    tried: Vec<InstanceKey>,
    history: AttemptHistory,
    /// An attempt is in progress of which bytes may have been written.
    in_flight: bool,
    retry_after_ms: u64,
    resume: Option<Position>,
    /// The last failure answered by an upstream, to be passed back if no other one serves the request.
    failure: Option<Response<Bytes>>,
    /// Memory reserved for the request's body, and for the answer while it is read.
    _request_memory: Reservation,
    _answer_memory: Option<Reservation>,
}

impl Exchange {
    /// An exchange without attempts so far; `request_memory` is reserved for the request's body.
    pub fn new(
        node: Rc<Node>,
        request: ClientRequest,
        request_memory: Reservation,
        matched: MatchedRoute,
    ) -> Self {
        let deadline = request.deadline(Duration::from_millis(matched.route().timeout_ms));
        Exchange {
            node,
            request,
            matched,
            deadline,
            tried: Vec::new(),
            history: AttemptHistory::default(),
            in_flight: false,
            retry_after_ms: RETRY_AFTER_MS,
            resume: None,
            failure: None,
            _request_memory: request_memory,
            _answer_memory: None,
        }
    }

    /// The deadline of the answer.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// The route of the request.
    pub fn matched(&self) -> &MatchedRoute {
        &self.matched
    }

    /// Whether the stream may be resumed at another upstream.
    pub fn may_resume(&self) -> bool {
        let route = self.matched.route();
        let mechanisms = self.node.settings.mechanisms;
        route.resumable
            && mechanisms.has(Mechanism::Resumption)
            && retry::may_run_again(self.matched.retry_policy(), self.history)
    }

    /// Makes further attempts resume the stream after this position.
    pub fn resume_after(&mut self, position: Position) {
        self.resume = Some(position);
        self.failure = None;
    }

    /// Releases what only another attempt would need, if there will be none.
    pub fn release(&mut self) {
        if !self.may_resume() {
            self.request.release();
            self._request_memory = self.node.bodies.reserve();
        }
    }

    /// Has the router choose an upstream for the next attempt.
    pub fn choose(&mut self) -> Result<ChosenInstance, GivenUp> {
        self.follow_configuration()?;
        let facts = &mut self.request.facts;
        facts.generation = self.matched.configuration.generation;
        facts.route = self.matched.route;
        facts.service = self.matched.service;
        facts.unsent_attempts = self.history.unsent as usize;
        facts.time_left_ms = self.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        let now = self.node.clock.now_ms();
        let choice = self.node.router.borrow_mut().choose(now, facts, &self.tried);
        match choice {
            Choice::Forward { attempt, instance } => Ok(ChosenInstance { attempt, instance }),
            Choice::Reject(refusal) => {
                self.retry_after_ms = refusal.retry_after_ms;
                Err(self.given_up(retry::give_up(self.history)))
            }
        }
    }

    /// Makes attempts until there is an answer to pass on. `first` is an attempt that was granted already.
    pub async fn open(&mut self, first: Option<ChosenInstance>) -> Result<Opened, GivenUp> {
        let deadline = self.deadline;
        match timeout_at(deadline, self.open_untimed(first)).await {
            Ok(end) => end,
            Err(_) => Err(self.time_is_over()),
        }
    }

    async fn open_untimed(&mut self, mut granted: Option<ChosenInstance>) -> Result<Opened, GivenUp> {
        loop {
            if self.time_left() < LEAST_TIME {
                return self.failure_or(retry::time_is_over(self.history));
            }
            let chosen = match granted.take().map_or_else(|| self.choose(), Ok) {
                Ok(chosen) => chosen,
                Err(given_up) => return self.failure_or(given_up.failure),
            };
            self.in_flight = false;
            let mut attempt = OpenAttempt::new(&self.node, chosen.attempt);
            let failed = match self.send(chosen.instance).await {
                Ok(answer) => match self.read(answer, attempt).await {
                    Ok(opened) => {
                        self.tried.push(chosen.instance);
                        self.history.record_run();
                        return Ok(opened);
                    }
                    Err(end) => end,
                },
                Err(failed) => {
                    attempt.finish(failed.outcome);
                    failed.end
                }
            };
            self.in_flight = false;
            self.tried.push(chosen.instance);
            self.history.record(failed);
            self.node.request_counts.record(event_of(failed));
            match retry::next(self.matched.retry_policy(), self.history, failed) {
                Decision::Retry => {}
                Decision::PassBack => return self.failure_or(ProxyFailure::BadGateway),
                Decision::GiveUp(failure) => return Err(self.given_up(failure)),
            }
        }
    }

    /// Writes the request to a connection and waits for the head of its answer.
    async fn send(&mut self, instance: InstanceKey) -> Result<Answered, FailedAttempt> {
        let target = self.node.router.borrow().target(instance).cloned();
        let Some(target) = target else { return Err(FailedAttempt::not_sent(Outcome::Cancelled)) };
        let most = self.node.most_connections(self.matched.service().max_conns);
        let trusts_idle = !self.node.router.borrow().may_be_unreachable(instance);
        let leased = self.node.pool.lease(instance, target.address, most, trusts_idle).await;
        let mut leased = leased.map_err(|fault| {
            spdlog::debug!("{}: {fault}", target.id);
            FailedAttempt::not_sent(match fault {
                ConnectionError::Full => Outcome::Cancelled,
                ConnectionError::Silent => Outcome::ConnectTimedOut,
                ConnectionError::Refused { .. } | ConnectionError::Handshake { .. } => Outcome::ConnectFailed,
            })
        })?;
        if leased.connection.is_fresh() {
            self.node.router.borrow_mut().record_received(instance);
        }
        // Connecting may have taken a while.
        let wanted = self.node.router.borrow().can_send(instance);
        if !wanted || self.time_left() < LEAST_TIME {
            self.node.pool.release(leased);
            return Err(FailedAttempt::not_sent(Outcome::Cancelled));
        }
        let answer = self.write(&mut leased, &target).await?;
        let (head, body) = answer.into_parts();
        let names_version = self.request.headers.contains_key(EXPECT_VERSION)
            || self.resume.is_some_and(|position| position.versions.is_some());
        let expected = Expected {
            id: self.request.id.as_ref(),
            instance: &target.id,
            names_version,
            fresh: leased.connection.is_fresh(),
        };
        match classify(&expected, head.status, &head.headers) {
            AnswerClass::Unusable => {
                spdlog::debug!("{}: {} is no answer to {:?}", target.id, head.status, expected.id);
                Err(FailedAttempt::broken())
            }
            class => Ok(Answered { class, head, body, leased }),
        }
    }

    async fn write(
        &mut self,
        leased: &mut Leased,
        target: &InstanceTarget,
    ) -> Result<Response<Incoming>, FailedAttempt> {
        let mut request = self.request.to_upstream(target, &self.matched, self.deadline, self.resume);
        if !self.node.settings.mechanisms.has(Mechanism::Priority) {
            request.headers_mut().remove(PRIORITY);
        }
        let before = leased.connection.written();
        self.in_flight = true;
        let answer = leased.connection.send(request).await;
        answer.map_err(|fault| {
            let written = leased.connection.written() - before;
            spdlog::debug!("{}: {fault}, {written} bytes written", target.id);
            if written > 0 {
                FailedAttempt::broken()
            } else {
                FailedAttempt::not_sent(Outcome::ConnectFailed)
            }
        })
    }

    /// Matches the request again under a newer configuration, which may have moved or dropped the route.
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
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn time_is_over(&mut self) -> GivenUp {
        if std::mem::take(&mut self.in_flight) {
            self.history.record_run();
        }
        self.given_up(retry::time_is_over(self.history))
    }

    fn given_up(&self, failure: ProxyFailure) -> GivenUp {
        GivenUp { failure, retry_after_ms: self.retry_after_ms }
    }

    /// Passes back the last failure of an upstream, if there is one.
    fn failure_or(&mut self, failure: ProxyFailure) -> Result<Opened, GivenUp> {
        match self.failure.take() {
            Some(answer) => Ok(Opened::Complete(answer)),
            None => Err(self.given_up(failure)),
        }
    }
}

/// How an attempt without an answer is counted.
fn event_of(end: AttemptEnd) -> RequestEvent {
    match end {
        AttemptEnd::NotSent => RequestEvent::AttemptUnsent,
        AttemptEnd::Misdirected => RequestEvent::AttemptMisdirected,
        AttemptEnd::Rejected => RequestEvent::AttemptRejected,
        AttemptEnd::Failed | AttemptEnd::Broken => RequestEvent::AttemptBroken,
    }
}
