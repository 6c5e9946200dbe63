//! The HTTP server for the calls of operators, upstreams and clients.
//!
//! The number of connections, the size of buffered bodies and the time to read a request are bounded. A call
//! whose caller closes the connection is cancelled in the state machine.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, LOCATION};
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

/// The maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The maximum total size of the buffered bodies of all requests.
const MAX_BUFFERED_BYTES: usize = 48 * 1024 * 1024;
const MAX_CONNECTIONS: usize = 1024;
/// The timeout for reading the headers of a request. It also limits the time for which a connection may be
/// idle, so it is longer than the time between two heartbeats.
const HEADER_TIMEOUT: Duration = Duration::from_secs(8);
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The state that all HTTP connections of the process share.
pub struct HttpServer {
    node: SharedNode,
    connection_count: Cell<usize>,
    buffered_bytes: Cell<usize>,
    /// Becomes true when the process is about to end.
    shutdown_receiver: watch::Receiver<bool>,
}

impl HttpServer {
    pub fn new(node: SharedNode, shutdown_receiver: watch::Receiver<bool>) -> Rc<HttpServer> {
        Rc::new(HttpServer {
            node,
            connection_count: Cell::new(0),
            buffered_bytes: Cell::new(0),
            shutdown_receiver,
        })
    }

    /// Whether no connection is open.
    pub fn is_idle(&self) -> bool {
        self.connection_count.get() == 0
    }

    fn is_shutting_down(&self) -> bool {
        *self.shutdown_receiver.borrow()
    }
}

/// Accepts connections until the process is about to end.
pub async fn accept(listener: TcpListener, server: Rc<HttpServer>) {
    let mut shutdown_receiver = server.shutdown_receiver.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = shutdown_receiver.wait_for(|is_shutting_down| *is_shutting_down) => return,
        };
        match accepted {
            Ok((stream, _)) if server.connection_count.get() < MAX_CONNECTIONS => {
                spawn_local(serve(stream, Rc::clone(&server)));
            }
            Ok(_) => {}
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve(stream: TcpStream, server: Rc<HttpServer>) {
    let _connection_count = ScopedCount::new(&server.connection_count, 1);
    // The connection also works without TCP_NODELAY, but with a higher latency.
    let _ = stream.set_nodelay(true);
    let Ok(own_address) = stream.local_addr() else { return };
    let service = service_fn(|request| answer(request, &server, own_address));
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut shutdown_receiver = server.shutdown_receiver.clone();
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = shutdown_receiver.wait_for(|is_shutting_down| *is_shutting_down) =>
            connection.as_mut().graceful_shutdown(),
    }
    // An error of the connection only affects its caller.
    let _ = connection.await;
}

async fn answer(
    request: http::Request<Incoming>,
    server: &HttpServer,
    own_address: SocketAddr,
) -> Result<http::Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    let response = respond(request, server).await.unwrap_or_else(|error| error_response(&path, error));
    let location = response.redirect_path.and_then(|path| location(own_address, &path));
    let mut http_response = http::Response::new(Full::new(response.body));
    *http_response.status_mut() = response.status;
    let headers = http_response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.extend(location.map(|location| (LOCATION, location)));
    Ok(http_response)
}

/// The absolute URL of a path on the address that the caller has reached.
fn location(own_address: SocketAddr, path: &str) -> Option<HeaderValue> {
    HeaderValue::try_from(format!("http://{own_address}{path}")).ok()
}

async fn respond(request: http::Request<Incoming>, server: &HttpServer) -> Result<Response, RequestError> {
    if server.is_shutting_down() {
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
        base_version: single_value(&head.headers, BASE_VERSION_HEADER),
        body,
    })?;
    let (id, receiver) = server.node.borrow_mut().start_call(call);
    let _cancel_guard = CancelGuard { id, node: &server.node };
    Ok(receive_response(receiver).await)
}

/// The value of a header; none if the header is missing or repeated.
fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?.to_str().ok()?;
    values.next().is_none().then_some(value)
}

/// The response to a request that is refused before it reaches the state machine.
fn error_response(path: &str, error: RequestError) -> Response {
    let response = Response::from(error);
    if api::is_operator_command(path) {
        warn!("command {path} was refused: {response}");
    }
    response
}

async fn receive_response(receiver: oneshot::Receiver<Response>) -> Response {
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

/// Increases a counter until it is dropped.
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

/// Cancels a call when it is dropped, which happens when the caller closes the connection before the answer.
/// Cancelling an answered call has no effect.
struct CancelGuard<'a> {
    id: CallId,
    node: &'a SharedNode,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        self.node.borrow_mut().cancel_call(self.id);
    }
}
