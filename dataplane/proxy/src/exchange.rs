//! One request of a client and the sends it leads to, up to an answer that can be passed on.

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
use crate::events::{EventSplitter, Position};
use crate::headers::{EXPECT_VERSION, PRIORITY};
use crate::limits::BudgetShare;
use crate::node::Node;
use crate::pool::{Leased, NoLane};
use crate::request::{ClientRequest, MatchedRoute};
use crate::retry::{self, History, Next, OwnFailure, SendEnd};
use crate::tally::Event;
use crate::verdict::{Asked, Verdict, judge};

/// With less time left nothing is sent any more.
const LEAST_TIME: Duration = Duration::from_millis(15);

/// A send that the router has granted.
#[derive(Clone, Copy, Debug)]
pub struct Chosen {
    pub attempt: AttemptId,
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
    attempt: Option<AttemptId>,
}

impl Sent {
    fn new(node: &Rc<Node>, attempt: AttemptId) -> Self {
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
            Choice::Forward { attempt, instance } => Ok(Chosen { attempt, instance }),
            Choice::Reject(refusal) => {
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
            self.node.router.borrow_mut().record_received(instance);
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

/// How a send that gave no answer is counted.
fn event_of(end: SendEnd) -> Event {
    match end {
        SendEnd::NotSent => Event::SendUnsent,
        SendEnd::Misdirected => Event::SendMisdirected,
        SendEnd::Rejected => Event::SendRejected,
        SendEnd::Failed | SendEnd::Broken => Event::SendBroken,
    }
}
