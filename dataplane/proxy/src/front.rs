//! What clients meet: a request is read whole, matched with a route and sent on.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::request::Parts;
use http::{HeaderMap, Request, Response, Version};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};
use whinspindle_configuration::{Mechanism, RouteKind};

use crate::answers::{Answer, AnswerBody, OwnAnswer, RETRY_AFTER_MS, close_after};
use crate::clients::Busy;
use crate::exchange::{Exchange, Opened};
use crate::headers::{DEADLINE, number};
use crate::limits::BudgetShare;
use crate::node::Node;
use crate::request::{ClientRequest, MatchedRoute, host_of};
use crate::stream::StreamAnswer;
use crate::tally::Event;

/// A body must be whole after so long if the client gives no time.
const BODY_LIMIT: Duration = Duration::from_secs(30);
/// A process that has just started is told what it needs within this time; requests wait for it meanwhile.
const START: Duration = Duration::from_millis(1_000);
/// They wait for this part of the time that the client gives at most.
const START_PART: u32 = 4;
/// Bytes of a header beside its name and value.
const HEADER_OVERHEAD: usize = ": \r\n".len();

/// Answers a request.
pub async fn answer(node: &Rc<Node>, request: Request<Incoming>, busy: &Busy) -> Answer {
    let taken = take(node, request, busy).await;
    node.tally.note(match &taken {
        Ok(_) => Event::Answered,
        Err(own) => own.event(),
    });
    let mut answer = taken.unwrap_or_else(OwnAnswer::into_answer);
    if node.stop.is_ordered() || busy.is_last() {
        close_after(&mut answer);
    }
    answer
}

async fn take(node: &Rc<Node>, request: Request<Incoming>, busy: &Busy) -> Result<Answer, OwnAnswer> {
    let received = busy.received();
    let (parts, body) = request.into_parts();
    let head_bytes = header_bytes(&parts.headers);
    check_head(node, head_bytes)?;
    if busy.is_ambiguous() {
        return Err(OwnAnswer::TwoLengths);
    }
    let patience = number(&parts.headers, &DEADLINE).map_or(BODY_LIMIT, Duration::from_millis);
    busy.set_answer_due(received + patience);
    let body_due = received + route_timeout(node, &parts).map_or(patience, |timeout| patience.min(timeout));
    let mut room = node.bodies.share();
    let most = node.limits.borrow().longest_body();
    let body = read_body(body, most, &mut room, body_due).await?;
    let version = parts.version;
    let request = ClientRequest::new(parts, body, received);
    if node.settings.mechanisms.has(Mechanism::StartWait) {
        node.informed((node.clock.start() + START).min(received + patience / START_PART)).await;
    }
    let matched = match_route(node, &request)?;
    // The limits may have become known meanwhile.
    check_head(node, head_bytes)?;
    check_body(node, request.body.len())?;
    // The end of a stream can't be told from its break there.
    if version == Version::HTTP_10 && matched.route().kind == RouteKind::Streaming {
        return Err(OwnAnswer::OldVersion);
    }
    let mut exchange = Exchange::new(Rc::clone(node), request, room, matched);
    busy.set_answer_due(exchange.due());
    match exchange.open(None).await {
        Ok(Opened::Whole(whole)) => Ok(whole.map(AnswerBody::whole)),
        Ok(Opened::Stream(_)) if version == Version::HTTP_10 => Err(OwnAnswer::BadGateway),
        Ok(Opened::Stream(open)) => {
            let (head, stream) = StreamAnswer::begin(exchange, *open);
            Ok(Response::from_parts(head, AnswerBody::stream(stream)))
        }
        Err(given_up) => Err(OwnAnswer::of(given_up.failure, given_up.retry_after_ms)),
    }
}

fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD).sum()
}

fn check_head(node: &Node, bytes: usize) -> Result<(), OwnAnswer> {
    if bytes > node.limits.borrow().longest_head() { Err(OwnAnswer::HeadTooLong) } else { Ok(()) }
}

fn check_body(node: &Node, bytes: usize) -> Result<(), OwnAnswer> {
    if bytes > node.limits.borrow().longest_body() { Err(OwnAnswer::BodyTooLong) } else { Ok(()) }
}

/// The time-out of the route to which a head leads, as far as that is known by now.
fn route_timeout(node: &Node, parts: &Parts) -> Option<Duration> {
    let configuration = node.configuration()?;
    let route = configuration.find_route(&host_of(&parts.uri, &parts.headers), parts.uri.path())?;
    Some(Duration::from_millis(configuration.routes[route].timeout_ms))
}

fn match_route(node: &Node, request: &ClientRequest) -> Result<MatchedRoute, OwnAnswer> {
    let configuration = node.configuration().ok_or(OwnAnswer::Refused { retry_after_ms: RETRY_AFTER_MS })?;
    let route = configuration.find_route(&request.host, request.target.path());
    let route = route.ok_or(OwnAnswer::NoRoute)?;
    let service = node.router.borrow_mut().draw_service(route);
    Ok(MatchedRoute { configuration, route, service })
}

/// The whole body of a request, for which room is taken.
async fn read_body(
    body: Incoming,
    most: usize,
    room: &mut BudgetShare,
    due: Instant,
) -> Result<Bytes, OwnAnswer> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let told = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if told > most {
        return Err(OwnAnswer::BodyTooLong);
    }
    if !room.grow_to(told) {
        return Err(OwnAnswer::Refused { retry_after_ms: RETRY_AFTER_MS });
    }
    let collecting = collect(body, told, most, room);
    timeout_at(due, collecting).await.unwrap_or_else(|_| Err(OwnAnswer::LateBody))
}

async fn collect(
    mut body: Incoming,
    told: usize,
    most: usize,
    room: &mut BudgetShare,
) -> Result<Bytes, OwnAnswer> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| OwnAnswer::BrokenBody)?;
        let Ok(data) = frame.into_data() else { continue };
        if whole.is_empty() && data.len() == told {
            return end_of(body, data).await;
        }
        let total = whole.len() + data.len();
        if total > most {
            return Err(OwnAnswer::BodyTooLong);
        }
        if !room.grow_to(total) {
            return Err(OwnAnswer::Refused { retry_after_ms: RETRY_AFTER_MS });
        }
        whole.reserve(told.saturating_sub(whole.len()));
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

/// A body that came in one piece.
async fn end_of(mut body: Incoming, data: Bytes) -> Result<Bytes, OwnAnswer> {
    match body.frame().await {
        Some(Err(_)) => Err(OwnAnswer::BrokenBody),
        _ => Ok(data),
    }
}
