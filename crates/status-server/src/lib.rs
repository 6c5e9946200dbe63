//! A small HTTP server for status endpoints. Responses come from memory without delay, and request bodies are ignored.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Maximum lifetime of a connection.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(60);
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Buffer size of a connection, which also limits the size of a request head.
const BUFFER_BYTES: usize = 8 * 1024;

/// Creates the response to a request.
pub type Respond = dyn Fn(&Request<Incoming>) -> Response<Full<Bytes>>;

/// Serves requests for the lifetime of the process. Must be called inside a `LocalSet`.
pub async fn serve(listener: TcpListener, respond: Rc<Respond>) -> Infallible {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => _ = spawn_local(serve_connection(socket, Rc::clone(&respond))),
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve_connection(socket: TcpStream, respond: Rc<Respond>) {
    let service = service_fn(move |request| std::future::ready(Ok::<_, Infallible>(respond(&request))));
    let connection =
        Builder::new().max_buf_size(BUFFER_BYTES).serve_connection(TokioIo::new(socket), service);
    // Errors are ignored: the client observes them itself.
    let _ = timeout(CONNECTION_LIFETIME, connection).await;
}
