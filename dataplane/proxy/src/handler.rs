//! The request handler reads a request, matches it with a route, and answers with the result of its exchange.

use std::rc::Rc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, Request, Response, Version};
use hyper::body::Incoming;
use whinspindle_configuration::{Mechanism, RouteKind};

use crate::answers::{Answer, AnswerBody, ProxyAnswer, RETRY_AFTER_MS, close_after};
use crate::clients::connection::RequestInProgress;
use crate::exchange::{Exchange, UpstreamAnswer};
use crate::headers::{DEADLINE, number_header};
use crate::node::Node;
use crate::request::{ClientRequest, MatchedRoute, host_of};
use crate::request_body::read_body;
use crate::request_counts::RequestEvent;
use crate::stream::StreamAnswer;

/// Time-out for the body of a request without a client deadline.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after the start of the process during which requests wait for the first configuration.
const STARTUP_WAIT: Duration = Duration::from_millis(1_000);
/// A request waits for the first configuration for at most this fraction (1/n) of the client's time-out.
const STARTUP_WAIT_DIVISOR: u32 = 4;
/// Bytes of a header line in addition to name and value.
const HEADER_OVERHEAD: usize = ": \r\n".len();

/// Answers a request.
pub async fn answer(node: &Rc<Node>, request: Request<Incoming>, in_progress: &RequestInProgress) -> Answer {
    let result = handle(node, request, in_progress).await;
    node.request_counts.record(match &result {
        Ok(_) => RequestEvent::Answered,
        Err(proxy_answer) => proxy_answer.event(),
    });
    let mut answer = result.unwrap_or_else(ProxyAnswer::into_answer);
    if node.shutdown.is_requested() || in_progress.is_last() {
        close_after(&mut answer);
    }
    answer
}

async fn handle(
    node: &Rc<Node>,
    request: Request<Incoming>,
    in_progress: &RequestInProgress,
) -> Result<Answer, ProxyAnswer> {
    let received_at = in_progress.received();
    let (parts, body) = request.into_parts();
    let head_bytes = header_bytes(&parts.headers);
    check_head(node, head_bytes)?;
    if in_progress.is_ambiguous() {
        return Err(ProxyAnswer::AmbiguousLength);
    }
    let client_timeout =
        number_header(&parts.headers, &DEADLINE).map_or(DEFAULT_BODY_TIMEOUT, Duration::from_millis);
    in_progress.set_answer_deadline(received_at + client_timeout);
    let body_deadline = received_at
        + route_timeout(node, &parts).map_or(client_timeout, |timeout| client_timeout.min(timeout));
    let mut memory = node.body_memory.reserve();
    let max_bytes = node.limits.borrow().max_accepted_body_bytes();
    let body = read_body(body, max_bytes, &mut memory, body_deadline).await?;
    let version = parts.version;
    let request = ClientRequest::new(parts, body, received_at);
    if node.settings.mechanisms.has(Mechanism::StartWait) {
        node.wait_until_informed(
            (node.clock.start() + STARTUP_WAIT).min(received_at + client_timeout / STARTUP_WAIT_DIVISOR),
        )
        .await;
    }
    let matched_route = match_route(node, &request)?;
    // The first limits may have been received since the head and body were read.
    check_head(node, head_bytes)?;
    check_body(node, request.body.len())?;
    // An HTTP/1.0 client cannot distinguish the end of a stream from a broken connection.
    if version == Version::HTTP_10 && matched_route.route().kind == RouteKind::Streaming {
        return Err(ProxyAnswer::UnsupportedVersion);
    }
    let mut exchange = Exchange::new(Rc::clone(node), request, memory, matched_route);
    in_progress.set_answer_deadline(exchange.deadline());
    match exchange.open(None).await {
        Ok(UpstreamAnswer::Complete(response)) => Ok(response.map(AnswerBody::complete)),
        Ok(UpstreamAnswer::Stream(_)) if version == Version::HTTP_10 => Err(ProxyAnswer::BadGateway),
        Ok(UpstreamAnswer::Stream(open)) => {
            let (head, stream) = StreamAnswer::begin(exchange, *open);
            Ok(Response::from_parts(head, AnswerBody::stream(stream)))
        }
        Err(exchange_failure) => {
            Err(ProxyAnswer::from_failure(exchange_failure.failure, exchange_failure.retry_after_ms))
        }
    }
}

fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD).sum()
}

fn check_head(node: &Node, bytes: usize) -> Result<(), ProxyAnswer> {
    if bytes > node.limits.borrow().max_accepted_head_bytes() {
        Err(ProxyAnswer::HeadTooLong)
    } else {
        Ok(())
    }
}

fn check_body(node: &Node, bytes: usize) -> Result<(), ProxyAnswer> {
    if bytes > node.limits.borrow().max_accepted_body_bytes() {
        Err(ProxyAnswer::BodyTooLong)
    } else {
        Ok(())
    }
}

/// Returns the time-out of the route that matches a head, if a configuration is known.
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
