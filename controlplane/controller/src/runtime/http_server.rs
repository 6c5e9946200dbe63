//! The HTTP server: calls of operators, upstreams and clients.
//!
//! Connections, buffered bodies and the time to read a request are bounded; a call that its caller abandons is withdrawn
//! from the state machine.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use spdlog::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::node::SharedNode;
use crate::api::{self, BASE_VERSION_HEADER, RequestError, Response};
use crate::pending_commands::CallId;

/// The largest body that is accepted.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Bodies of all requests together.
const MAX_BUFFERED_BYTES: usize = 48 * 1024 * 1024;
const MAX_CONNECTIONS: usize = 1024;
/// Also the time for which a connection may be idle: longer than the time between two heartbeats.
const HEADER_TIMEOUT: Duration = Duration::from_secs(8);
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// What all HTTP connections of the process share.
pub struct HttpServer {
    node: SharedNode,
    connections: Cell<usize>,
    buffered_bytes: Cell<usize>,
    /// Turns true when the process is about to end.
    stopping: watch::Receiver<bool>,
}

impl HttpServer {
    pub fn new(node: SharedNode, stopping: watch::Receiver<bool>) -> Rc<HttpServer> {
        Rc::new(HttpServer { node, connections: Cell::new(0), buffered_bytes: Cell::new(0), stopping })
    }

    /// Whether no connection is open.
    pub fn is_idle(&self) -> bool {
        self.connections.get() == 0
    }

    fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }
}

/// Accepts connections until the process is about to end.
pub async fn accept(listener: TcpListener, server: Rc<HttpServer>) {
    let mut stopping = server.stopping.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => return,
        };
        match accepted {
            Ok((stream, _)) if server.connections.get() < MAX_CONNECTIONS => {
                spawn_local(serve(stream, Rc::clone(&server)));
            }
            Ok(_) => {}
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve(stream: TcpStream, server: Rc<HttpServer>) {
    let _counted = ScopedCount::new(&server.connections, 1);
    // Without it the connection works, only slower.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| answer(request, &server));
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut stopping = server.stopping.clone();
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stopping.wait_for(|stopping| *stopping) => connection.as_mut().graceful_shutdown(),
    }
    // A broken connection concerns its caller alone.
    let _ = connection.await;
}

async fn answer(
    request: http::Request<Incoming>,
    server: &HttpServer,
) -> Result<http::Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    let response = respond(request, server).await.unwrap_or_else(|refusal| refused(&path, refusal));
    let mut answer = http::Response::new(Full::new(response.body));
    *answer.status_mut() = response.status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(answer)
}

async fn respond(request: http::Request<Incoming>, server: &HttpServer) -> Result<Response, RequestError> {
    if server.is_stopping() {
        return Err(RequestError::ShuttingDown);
    }
    let (head, body) = request.into_parts();
    let mut buffered = ScopedCount::new(&server.buffered_bytes, 0);
    let body =
        if api::has_body(head.uri.path()) { read_body(body, &mut buffered).await? } else { Bytes::new() };
    let call = api::parse(&api::Request {
        method: &head.method,
        path: head.uri.path(),
        query: head.uri.query().unwrap_or(""),
        base_version: only_value(&head.headers, BASE_VERSION_HEADER),
        body,
    })?;
    let (id, receiver) = server.node.borrow_mut().call(call);
    let _waiting = PendingCall { id, node: &server.node };
    Ok(outcome(receiver).await)
}

/// The value of a header, unless it is missing or repeated.
fn only_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?.to_str().ok()?;
    values.next().is_none().then_some(value)
}

/// The response to a request that does not reach the state machine.
fn refused(path: &str, refusal: RequestError) -> Response {
    let response = Response::from(refusal);
    if api::is_operator_command(path) {
        warn!("command at {path}: {response}");
    }
    response
}

async fn outcome(receiver: oneshot::Receiver<Response>) -> Response {
    receiver.await.unwrap_or_else(|_| Response::unavailable("the call was dropped"))
}

async fn read_body(body: Incoming, buffered: &mut ScopedCount<'_>) -> Result<Bytes, RequestError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLarge);
    }
    timeout(BODY_TIMEOUT, collect(body, buffered)).await.unwrap_or(Err(RequestError::UnreadableBody))
}

async fn collect(mut body: Incoming, buffered: &mut ScopedCount<'_>) -> Result<Bytes, RequestError> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Err(RequestError::UnreadableBody) };
        let Ok(data) = frame.into_data() else { continue };
        if collected.len() + data.len() > MAX_BODY_BYTES {
            return Err(RequestError::BodyTooLarge);
        }
        if buffered.total() + data.len() > MAX_BUFFERED_BYTES {
            return Err(RequestError::Overloaded);
        }
        buffered.add(data.len());
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

/// Raises a counter for as long as it is in scope.
struct ScopedCount<'a> {
    counter: &'a Cell<usize>,
    amount: usize,
}

impl<'a> ScopedCount<'a> {
    fn new(counter: &'a Cell<usize>, amount: usize) -> Self {
        counter.set(counter.get() + amount);
        ScopedCount { counter, amount }
    }

    fn add(&mut self, amount: usize) {
        self.counter.set(self.counter.get() + amount);
        self.amount += amount;
    }

    fn total(&self) -> usize {
        self.counter.get()
    }
}

impl Drop for ScopedCount<'_> {
    fn drop(&mut self) {
        self.counter.set(self.counter.get() - self.amount);
    }
}

/// Withdraws the call from the node if its caller closes the connection before the answer.
struct PendingCall<'a> {
    id: CallId,
    node: &'a SharedNode,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.node.borrow_mut().end_call(self.id);
    }
}
