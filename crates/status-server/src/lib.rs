//! A small HTTP server for the status of a process: every response is made from memory at once, and request bodies are
//! not read.

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

/// A connection is closed after this time.
const CONNECTION_LIMIT: Duration = Duration::from_secs(60);
/// Delay after a failed accept, such as for want of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// The size of the buffer of a connection, which limits the head of a request.
const BUFFER_BYTES: usize = 8 * 1024;

/// Makes the response to a request.
pub type Respond = dyn Fn(&Request<Incoming>) -> Response<Full<Bytes>>;

/// Serves requests for as long as the process runs. Must be called inside a `LocalSet`.
pub async fn serve(listener: TcpListener, respond: Rc<Respond>) -> Infallible {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => _ = spawn_local(serve_connection(socket, Rc::clone(&respond))),
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Serves one connection.
async fn serve_connection(socket: TcpStream, respond: Rc<Respond>) {
    let service = service_fn(move |request| std::future::ready(Ok::<_, Infallible>(respond(&request))));
    let connection =
        Builder::new().max_buf_size(BUFFER_BYTES).serve_connection(TokioIo::new(socket), service);
    // The client sees on its own side how the connection ends.
    let _ = timeout(CONNECTION_LIMIT, connection).await;
}
