//! The request handler: reads a request completely, matches it with a route, and answers with the result of its exchange.

use std::rc::Rc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, Request, Response, Version};
use hyper::body::Incoming;
use whinspindle_configuration::{Mechanism, RouteKind};

use crate::answers::{Answer, AnswerBody, ProxyAnswer, RETRY_AFTER_MS, close_after};
use crate::clients::connection::RequestInProgress;
use crate::exchange::{Exchange, Opened};
use crate::headers::{DEADLINE, number};
use crate::node::Node;
use crate::request::{ClientRequest, MatchedRoute, host_of};
use crate::request_body::read_body;
use crate::request_counts::RequestEvent;
use crate::stream::StreamAnswer;

/// Time for the body of a request whose client gives no deadline.
const BODY_LIMIT: Duration = Duration::from_secs(30);
/// A process that has just started receives its configuration within this time; requests wait for it meanwhile.
const START_WAIT: Duration = Duration::from_millis(1_000);
/// They wait for at most one part in so many of their time.
const START_DIVISOR: u32 = 4;
/// Bytes of a header line besides name and value.
const HEADER_OVERHEAD: usize = ": \r\n".len();

/// Answers a request.
pub async fn answer(node: &Rc<Node>, request: Request<Incoming>, busy: &RequestInProgress) -> Answer {
    let taken = handle(node, request, busy).await;
    node.request_counts.record(match &taken {
        Ok(_) => RequestEvent::Answered,
        Err(own) => own.event(),
    });
    let mut answer = taken.unwrap_or_else(ProxyAnswer::into_answer);
    if node.shutdown.is_requested() || busy.is_last() {
        close_after(&mut answer);
    }
    answer
}

async fn handle(
    node: &Rc<Node>,
    request: Request<Incoming>,
    busy: &RequestInProgress,
) -> Result<Answer, ProxyAnswer> {
    let received = busy.received();
    let (parts, body) = request.into_parts();
    let head_bytes = header_bytes(&parts.headers);
    check_head(node, head_bytes)?;
    if busy.is_ambiguous() {
        return Err(ProxyAnswer::AmbiguousLength);
    }
    let client_timeout = number(&parts.headers, &DEADLINE).map_or(BODY_LIMIT, Duration::from_millis);
    busy.set_answer_deadline(received + client_timeout);
    let body_deadline =
        received + route_timeout(node, &parts).map_or(client_timeout, |timeout| client_timeout.min(timeout));
    let mut memory = node.bodies.reserve();
    let most = node.limits.borrow().longest_body();
    let body = read_body(body, most, &mut memory, body_deadline).await?;
    let version = parts.version;
    let request = ClientRequest::new(parts, body, received);
    if node.settings.mechanisms.has(Mechanism::StartWait) {
        node.informed((node.clock.start() + START_WAIT).min(received + client_timeout / START_DIVISOR)).await;
    }
    let matched = match_route(node, &request)?;
    // The limits may have been received meanwhile.
    check_head(node, head_bytes)?;
    check_body(node, request.body.len())?;
    // HTTP/1.0 can't tell the end of a stream from its break.
    if version == Version::HTTP_10 && matched.route().kind == RouteKind::Streaming {
        return Err(ProxyAnswer::OldVersion);
    }
    let mut exchange = Exchange::new(Rc::clone(node), request, memory, matched);
    busy.set_answer_deadline(exchange.deadline());
    match exchange.open(None).await {
        Ok(Opened::Complete(whole)) => Ok(whole.map(AnswerBody::complete)),
        Ok(Opened::Stream(_)) if version == Version::HTTP_10 => Err(ProxyAnswer::BadGateway),
        Ok(Opened::Stream(open)) => {
            let (head, stream) = StreamAnswer::begin(exchange, *open);
            Ok(Response::from_parts(head, AnswerBody::stream(stream)))
        }
        Err(given_up) => Err(ProxyAnswer::of(given_up.failure, given_up.retry_after_ms)),
    }
}

fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD).sum()
}

fn check_head(node: &Node, bytes: usize) -> Result<(), ProxyAnswer> {
    if bytes > node.limits.borrow().longest_head() { Err(ProxyAnswer::HeadTooLong) } else { Ok(()) }
}

fn check_body(node: &Node, bytes: usize) -> Result<(), ProxyAnswer> {
    if bytes > node.limits.borrow().longest_body() { Err(ProxyAnswer::BodyTooLong) } else { Ok(()) }
}

/// The time-out of the route that matches a head, if a configuration is known.
fn route_timeout(node: &Node, parts: &Parts) -> Option<Duration> {
    let configuration = node.configuration()?;
    let route = configuration.find_route(&host_of(&parts.uri, &parts.headers), parts.uri.path())?;
    Some(Duration::from_millis(configuration.routes[route].timeout_ms))
}

fn match_route(node: &Node, request: &ClientRequest) -> Result<MatchedRoute, ProxyAnswer> {
    let configuration =
        node.configuration().ok_or(ProxyAnswer::Rejected { retry_after_ms: RETRY_AFTER_MS })?;
    let route = configuration.find_route(&request.host, request.target.path());
    let route = route.ok_or(ProxyAnswer::NoRoute)?;
    let service = node.router.borrow_mut().draw_service(route);
    Ok(MatchedRoute { configuration, route, service })
}
