//! Forwards a client's request to upstreams, with retries, until there is an answer to pass on.

mod reading;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, response};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use whinspindle_configuration::Mechanism;
use whinspindle_routing::{AttemptId, Choice, InstanceKey, InstanceTarget, Outcome};

use self::reading::ClassifiedAnswer;
use crate::answers::RETRY_AFTER_MS;
use crate::classify::{AnswerClass, Expected, classify};
use crate::events::{EventSplitter, StreamPosition};
use crate::headers::{EXPECT_VERSION, PRIORITY};
use crate::limits::Reservation;
use crate::merged_head::contains_second_status_line;
use crate::node::Node;
use crate::pool::{ConnectionError, LeasedConnection};
use crate::request::{ClientRequest, MatchedRoute};
use crate::request_counts::RequestEvent;
use crate::retry::{self, AttemptEnd, AttemptHistory, Decision, ProxyFailure};

/// Minimum time until the deadline that is needed to start an attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(15);

/// An instance that the router has chosen for an attempt.
#[derive(Clone, Copy, Debug)]
pub struct ChosenInstance {
    /// The id that the router has assigned to the attempt.
    pub attempt: AttemptId,
    /// The instance to forward to.
    pub instance: InstanceKey,
}

/// An exchange that ended without an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeFailure {
    /// The failure to answer with.
    pub failure: ProxyFailure,
    /// When the client may retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// An upstream's answer that can be passed on.
pub enum UpstreamAnswer {
    /// An answer with its complete body.
    Complete(Response<Bytes>),
    /// A stream with its first events.
    Stream(Box<OpenStream>),
}

/// A stream whose first events have been received.
pub struct OpenStream {
    /// The head of the answer for the client.
    pub head: response::Parts,
    /// The first complete events.
    pub first_events: Bytes,
    /// The remaining stream, or `None` if the stream has ended.
    pub run: Option<UpstreamStream>,
}

/// A stream that an upstream is sending.
pub struct UpstreamStream {
    /// The connection that carries the stream.
    pub leased: LeasedConnection,
    /// The remaining body.
    pub body: Incoming,
    /// Splits the body into events.
    pub splitter: EventSplitter,
    /// The attempt, which finishes with the stream.
    pub attempt: OpenAttempt,
}

impl UpstreamStream {
    /// Finishes a complete stream and returns its connection to the pool.
    pub fn complete(mut self, node: &Node, cx: &mut std::task::Context<'_>) {
        self.attempt.finish(Outcome::Served);
        if self.leased.connection.is_reusable(cx) {
            node.pool.release(self.leased);
        }
    }
}

/// An attempt in progress. The outcome is reported to the router, as cancelled if the attempt is dropped
/// unfinished.
pub struct OpenAttempt {
    node: Rc<Node>,
    id: Option<AttemptId>,
}

impl OpenAttempt {
    fn new(node: &Rc<Node>, id: AttemptId) -> Self {
        OpenAttempt { node: Rc::clone(node), id: Some(id) }
    }

    /// Reports to the router that the answer's head or the first event has arrived.
    fn record_first_event(&self) {
        if let Some(id) = self.id {
            self.node.router.borrow_mut().record_first_event(self.node.clock.now_ms(), id);
        }
    }

    /// Reports the outcome of the attempt to the router.
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

/// An attempt without an answer: `end` is for the retry policy, `outcome` for the router.
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

/// A client's request and the history of its attempts.
pub struct Exchange {
    /// The state of the process.
    pub node: Rc<Node>,
    request: ClientRequest,
    matched_route: MatchedRoute,
    deadline: Instant,
    tried_instances: Vec<InstanceKey>,
    history: AttemptHistory,
    /// Whether bytes of the request may have been written in the current attempt.
    in_flight: bool,
    retry_after_ms: u64,
    resume: Option<StreamPosition>,
    /// The last failure answered by an upstream, which is passed back if no other upstream serves the
    /// request.
    failure: Option<Response<Bytes>>,
    /// Memory reserved for the request's body.
    _request_memory: Reservation,
    /// Memory reserved for the answer.
    _answer_memory: Option<Reservation>,
}

impl Exchange {
    /// Creates an exchange without attempts; `request_memory` is reserved for the request's body.
    pub fn new(
        node: Rc<Node>,
        request: ClientRequest,
        request_memory: Reservation,
        matched_route: MatchedRoute,
    ) -> Self {
        let deadline = request.deadline(Duration::from_millis(matched_route.route().timeout_ms));
        Exchange {
            node,
            request,
            matched_route,
            deadline,
            tried_instances: Vec::new(),
            history: AttemptHistory::default(),
            in_flight: false,
            retry_after_ms: RETRY_AFTER_MS,
            resume: None,
            failure: None,
            _request_memory: request_memory,
            _answer_memory: None,
        }
    }

    /// Returns the deadline of the answer.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the route of the request.
    pub fn matched_route(&self) -> &MatchedRoute {
        &self.matched_route
    }

    /// Whether the stream may be resumed at another upstream.
    pub fn may_resume(&self) -> bool {
        let route = self.matched_route.route();
        let mechanisms = self.node.settings.mechanisms;
        route.resumable
            && mechanisms.has(Mechanism::Resumption)
            && retry::may_run_again(self.matched_route.retry_policy(), self.history)
    }

    /// Makes all further attempts resume the stream after this position.
    pub fn resume_after(&mut self, position: StreamPosition) {
        self.resume = Some(position);
        self.failure = None;
    }

    /// Releases the request's data if no further attempt is allowed.
    pub fn release(&mut self) {
        if !self.may_resume() {
            self.request.release();
            self._request_memory = self.node.body_memory.reserve();
        }
    }

    /// Asks the router for an instance for the next attempt.
    pub fn choose(&mut self) -> Result<ChosenInstance, ExchangeFailure> {
        self.rematch_configuration()?;
        let request_info = &mut self.request.request_info;
        request_info.generation = self.matched_route.configuration.generation;
        request_info.route = self.matched_route.route;
        request_info.service = self.matched_route.service;
        request_info.unsent_attempts = self.history.unsent as usize;
        request_info.time_left_ms =
            self.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        let now = self.node.clock.now_ms();
        let choice = self.node.router.borrow_mut().choose(now, request_info, &self.tried_instances);
        match choice {
            Choice::Forward { attempt, instance } => Ok(ChosenInstance { attempt, instance }),
            Choice::Reject(refusal) => {
                self.retry_after_ms = refusal.retry_after_ms;
                Err(self.exchange_failure(retry::final_failure(self.history)))
            }
        }
    }

    /// Makes attempts until there is an answer to pass on. `granted` is an instance already chosen for the
    /// first attempt.
    pub async fn open(&mut self, granted: Option<ChosenInstance>) -> Result<UpstreamAnswer, ExchangeFailure> {
        let deadline = self.deadline;
        match timeout_at(deadline, self.open_untimed(granted)).await {
            Ok(end) => end,
            Err(_) => Err(self.deadline_failure()),
        }
    }

    async fn open_untimed(
        &mut self,
        mut granted: Option<ChosenInstance>,
    ) -> Result<UpstreamAnswer, ExchangeFailure> {
        loop {
            if self.time_left() < MIN_ATTEMPT_TIME {
                return self.failure_or(retry::deadline_failure(self.history));
            }
            let chosen = match granted.take().map_or_else(|| self.choose(), Ok) {
                Ok(chosen) => chosen,
                Err(exchange_failure) => return self.failure_or(exchange_failure.failure),
            };
            self.in_flight = false;
            let mut attempt = OpenAttempt::new(&self.node, chosen.attempt);
            let failed = match self.send(chosen.instance).await {
                Ok(answer) => match self.read(answer, attempt).await {
                    Ok(opened) => {
                        self.tried_instances.push(chosen.instance);
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
            self.tried_instances.push(chosen.instance);
            self.history.record(failed);
            self.node.request_counts.record(attempt_event(failed));
            match retry::decide(self.matched_route.retry_policy(), self.history, failed) {
                Decision::Retry => {}
                Decision::PassBack => return self.failure_or(ProxyFailure::BadGateway),
                Decision::GiveUp(failure) => return Err(self.exchange_failure(failure)),
            }
        }
    }

    /// Sends the request to an instance and waits for the answer's head.
    async fn send(&mut self, instance: InstanceKey) -> Result<ClassifiedAnswer, FailedAttempt> {
        let target = self.node.router.borrow().target(instance).cloned();
        let Some(target) = target else { return Err(FailedAttempt::not_sent(Outcome::Cancelled)) };
        let max_connections = self.node.max_connections(self.matched_route.service().max_conns);
        let may_use_idle = !self.node.router.borrow().may_be_unreachable(instance);
        let leased = self.node.pool.lease(instance, target.address, max_connections, may_use_idle).await;
        let mut leased = leased.map_err(|error| {
            spdlog::debug!("{}: {error}", target.id);
            FailedAttempt::not_sent(match error {
                ConnectionError::Full => Outcome::Cancelled,
                ConnectionError::TimedOut => Outcome::ConnectTimedOut,
                ConnectionError::ConnectFailed { .. } | ConnectionError::Handshake { .. } => {
                    Outcome::ConnectFailed
                }
            })
        })?;
        if leased.connection.is_fresh() {
            self.node.router.borrow_mut().record_received(instance);
        }
        // The instance's state or the remaining time may have changed while connecting.
        let is_allowed = self.node.router.borrow().can_send(instance);
        if !is_allowed || self.time_left() < MIN_ATTEMPT_TIME {
            self.node.pool.release(leased);
            return Err(FailedAttempt::not_sent(Outcome::Cancelled));
        }
        let answer = self.write(&mut leased, &target).await?;
        let (head, body) = answer.into_parts();
        let has_expected_version = self.request.headers.contains_key(EXPECT_VERSION)
            || self.resume.is_some_and(|position| position.versions.is_some());
        let expected = Expected {
            id: self.request.id.as_ref(),
            instance: &target.id,
            has_expected_version,
            is_fresh: leased.connection.is_fresh(),
        };
        let class = if contains_second_status_line(&head) {
            AnswerClass::Unusable
        } else {
            classify(&expected, head.status, &head.headers)
        };
        match class {
            AnswerClass::Unusable => {
                spdlog::debug!(
                    "{}: unusable answer with status {} to request {:?}",
                    target.id,
                    head.status,
                    expected.id
                );
                Err(FailedAttempt::broken())
            }
            class => Ok(ClassifiedAnswer { class, head, body, leased }),
        }
    }

    async fn write(
        &mut self,
        leased: &mut LeasedConnection,
        target: &InstanceTarget,
    ) -> Result<Response<Incoming>, FailedAttempt> {
        let mut request = self.request.to_upstream(target, &self.matched_route, self.deadline, self.resume);
        if !self.node.settings.mechanisms.has(Mechanism::Priority) {
            request.headers_mut().remove(PRIORITY);
        }
        let bytes_before = leased.connection.bytes_written();
        self.in_flight = true;
        let answer = leased.connection.send(request).await;
        answer.map_err(|error| {
            let bytes_written = leased.connection.bytes_written() - bytes_before;
            spdlog::debug!("{}: {error}, {bytes_written} bytes written", target.id);
            if bytes_written > 0 {
                FailedAttempt::broken()
            } else {
                FailedAttempt::not_sent(Outcome::ConnectFailed)
            }
        })
    }

    /// Matches the request again if there is a newer configuration, which may have changed or removed the
    /// route.
    fn rematch_configuration(&mut self) -> Result<(), ExchangeFailure> {
        let newest = self.node.configuration();
        let Some(newest) = newest else { return Ok(()) };
        if std::sync::Arc::ptr_eq(&newest, &self.matched_route.configuration) {
            return Ok(());
        }
        let path = self.request.target.path();
        match self.matched_route.rematch(&newest, &self.request.host, path) {
            Some(matched_route) => {
                self.matched_route = matched_route;
                Ok(())
            }
            None => Err(self.exchange_failure(retry::final_failure(self.history))),
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn deadline_failure(&mut self) -> ExchangeFailure {
        if std::mem::take(&mut self.in_flight) {
            self.history.record_run();
        }
        self.exchange_failure(retry::deadline_failure(self.history))
    }

    fn exchange_failure(&self, failure: ProxyFailure) -> ExchangeFailure {
        ExchangeFailure { failure, retry_after_ms: self.retry_after_ms }
    }

    /// Passes back the last failure answered by an upstream, or fails with `failure` if there is none.
    fn failure_or(&mut self, failure: ProxyFailure) -> Result<UpstreamAnswer, ExchangeFailure> {
        match self.failure.take() {
            Some(answer) => Ok(UpstreamAnswer::Complete(answer)),
            None => Err(self.exchange_failure(failure)),
        }
    }
}

/// Returns the event under which an attempt without an answer is counted.
fn attempt_event(end: AttemptEnd) -> RequestEvent {
    match end {
        AttemptEnd::NotSent => RequestEvent::AttemptUnsent,
        AttemptEnd::Misdirected => RequestEvent::AttemptMisdirected,
        AttemptEnd::Rejected => RequestEvent::AttemptRejected,
        AttemptEnd::Failed | AttemptEnd::Broken => RequestEvent::AttemptBroken,
    }
}
