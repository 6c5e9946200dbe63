//! The HTTP service for clients: tower layers and the handler that turns one request into one answer.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};
use tower::limit::GlobalConcurrencyLimitLayer;
use tower::{BoxError, Service, ServiceBuilder, ServiceExt};
use tower_http::catch_panic::CatchPanicLayer;
use tower_http::limit::RequestBodyLimitLayer;
use whinspindle::host::Arrival;
use whinspindle_balancer_core::Ticket;
use whinspindle_protocol::answer::{AbortReason, Answer, plain};
use whinspindle_protocol::query::{DUPLICATE_TRACE, MAX_BODY_BYTES, QueryHead};
use whinspindle_rate_limited_log::log_line;
use whinspindle_routes::Lookup;

use crate::fleet::Fleet;
use crate::node::Node;
use crate::resource_limits::ResourceLimits;

/// Microseconds after which a client should retry a request that was rejected unread.
const SHED_RETRY_AFTER: u64 = 250_000;

/// Body of an answer to a client.
pub type ReplyBody = UnsyncBoxBody<Bytes, BoxError>;
/// Answer to a client.
pub type Reply = Response<ReplyBody>;

/// Request extension: the time by which the body must have been read completely.
#[derive(Clone, Copy)]
pub struct BodyDeadline(pub Instant);

/// Builds the service. From the outside in: a panic ends only its own request, requests beyond the concurrency
/// limit are shed, and the size of a body is limited.
pub fn services(
    node: &Rc<Node>,
    resource_limits: ResourceLimits,
) -> impl Service<Request<Incoming>, Response = Reply, Error = Infallible> + Clone + use<> {
    let (query_node, node) = (Rc::clone(node), Rc::clone(node));
    let queries = ServiceBuilder::new()
        .layer(CatchPanicLayer::custom(panicked))
        .load_shed()
        .layer(GlobalConcurrencyLimitLayer::new(resource_limits.queries))
        .layer(RequestBodyLimitLayer::new(MAX_BODY_BYTES))
        .service_fn(move |request| handle_query(Rc::clone(&query_node), request));
    tower::service_fn(move |request: Request<Incoming>| {
        let (node, queries) = (Rc::clone(&node), queries.clone());
        async move {
            Ok(if request.uri().path() == "/healthz" {
                node.wait_for_endpoints().await;
                health(&node).map(boxed)
            } else {
                queries.oneshot(request).await.map_or_else(shed, |reply| reply.map(boxed))
            })
        }
    })
}

fn boxed<B>(body: B) -> UnsyncBoxBody<Bytes, BoxError>
where
    B: Body<Data = Bytes, Error: Into<BoxError>> + Send + 'static,
{
    body.map_err(Into::into).boxed_unsync()
}

fn panicked(_: Box<dyn std::any::Any + Send>) -> Response<Full<Bytes>> {
    log_line!("fault", "a panic ended a query");
    Answer::Aborted(AbortReason::Failed).encode()
}

/// Rejects a request at the concurrency limit. Nothing of it has been processed, so a retry is always safe.
fn shed(_: BoxError) -> Reply {
    log_line!("brim", "the budget for bodies is full: a query is rejected unseen");
    rejected_unseen()
}

/// A rejection that also closes the connection, for a request that was not read.
pub fn rejected_unseen() -> Reply {
    let mut reply = Answer::Rejected(SHED_RETRY_AFTER).encode().map(boxed);
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// Answers `/healthz`: whether this process can serve requests.
fn health(node: &Node) -> Response<Full<Bytes>> {
    let has_policy = node.fleet.as_ref().is_none_or(Fleet::has_decided);
    if node.fleet.as_ref().is_some_and(Fleet::is_taken_out) {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "let out by the fleet".to_string());
    }
    if has_policy && node.core.borrow().has_list() && !node.shutdown.is_requested() {
        return plain(StatusCode::OK, "ok".to_string());
    }
    plain(StatusCode::SERVICE_UNAVAILABLE, "no list or no policy yet, or stopping".to_string())
}

/// Guard of an open request. When it is dropped, the core learns that the client is gone; this has no effect after
/// the answer.
struct OpenQuery<'a> {
    node: &'a Node,
    ticket: Ticket,
}

impl Drop for OpenQuery<'_> {
    fn drop(&mut self) {
        self.node.open_queries.set(self.node.open_queries.get().saturating_sub(1));
        self.node.core.borrow_mut().client_disconnected(self.node.clock.now(), self.ticket);
    }
}

/// The index of the request's route, and the maximum body size in bytes that it allows.
fn route_of(node: &Node, parts: &Parts, head: &QueryHead) -> (Option<usize>, u64) {
    let operator = node.operator.borrow();
    let found = operator.as_ref().and_then(|operator| {
        let target = parts.uri.path();
        let lookup =
            Lookup { method: parts.method.as_str(), target, product: head.product, tenant: head.tenant };
        let number = operator.routes.find(&lookup)?;
        Some((number, operator.routes.routes()[number].conditions[head.product].largest_body))
    });
    found.map_or((None, u64::MAX), |(number, largest)| (Some(number), largest))
}

/// Decodes a request, admits it, passes it to the core and waits for its answer.
async fn handle_query(
    node: Rc<Node>,
    request: Request<impl Body<Error = BoxError>>,
) -> Result<Response<Full<Bytes>>, BoxError> {
    let (parts, body) = request.into_parts();
    let body_deadline = parts.extensions.get().map_or_else(Instant::now, |BodyDeadline(at)| *at);
    let head = match QueryHead::decode(&parts, &node.deployment) {
        Ok(head) => head,
        Err(fault) => {
            log_line!("query", "turned down: {fault}");
            return Ok(fault.encode());
        }
    };
    if !node.apply_active_policy() {
        log_line!("query", "rejected: the process is cut off from its fleet");
        return Ok(Answer::Rejected(SHED_RETRY_AFTER).encode());
    }
    if let Err(wait) = node.admit() {
        log_line!("query", "rejected: the process has just started");
        return Ok(Answer::Rejected(wait).encode());
    }
    let (route, largest) = route_of(&node, &parts, &head);
    if body.size_hint().lower() > largest {
        log_line!("query", "turned down: body: over the {largest} bytes of its route");
        let text = format!("body: over the {largest} bytes of its route");
        return Ok(plain(StatusCode::PAYLOAD_TOO_LARGE, text));
    }
    // Bounds the time for reading the body; the client's own deadline counts from the last byte.
    let body = match timeout_at(body_deadline, body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(fault)) if fault.is::<http_body_util::LengthLimitError>() => {
            log_line!("query", "turned down: body: over {MAX_BODY_BYTES} bytes");
            return Ok(plain(StatusCode::PAYLOAD_TOO_LARGE, format!("body: over {MAX_BODY_BYTES} bytes")));
        }
        Ok(Err(fault)) => return Ok(plain(StatusCode::BAD_REQUEST, format!("body: {fault}"))),
        Err(_) => return Ok(plain(StatusCode::REQUEST_TIMEOUT, "body: not whole in time".to_string())),
    };
    let mut now = node.clock.now();
    let deadline = now + node.shutdown.limit_patience(head.client_timeout_us);
    node.wait_for_endpoints().await;
    now = node.clock.now().max(now);
    let arrival = Arrival { product: head.product, tenant: head.tenant, deadline, route };
    let (caller, answer) = oneshot::channel();
    let Some(ticket) = node.core.borrow_mut().submit_query(now, arrival, head.with_body(body), caller) else {
        log_line!("query", "turned down: {DUPLICATE_TRACE}");
        return Ok(DUPLICATE_TRACE.encode());
    };
    node.open_queries.set(node.open_queries.get() + 1);
    let _open_query = OpenQuery { node: &node, ticket };
    let answer = answer.await.unwrap_or(Answer::Aborted(AbortReason::Failed));
    if let Some(startup_limit) =
        node.startup_limit.borrow_mut().as_mut().filter(|_| matches!(answer, Answer::Completed(_)))
    {
        startup_limit.completed(node.clock.now() - now);
    }
    count_for_fleet(&node, arrival.product, &answer, node.clock.now() - now);
    Ok(answer.encode())
}

/// Counts an answer, which took `spent` microseconds, for the comparison of builds during a release.
fn count_for_fleet(node: &Node, product: usize, answer: &Answer, spent: u64) {
    if node.fleet.is_none() {
        return;
    }
    let late =
        node.deployment.balancer_settings.products.get(product).is_some_and(|row| spent > row.slo_time_us);
    let (aborted, rejected) = (matches!(answer, Answer::Aborted(_)), matches!(answer, Answer::Rejected(_)));
    node.fleet_counts.borrow_mut().query(aborted, late, rejected);
}
