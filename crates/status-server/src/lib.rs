//! A small HTTP server for what a process tells of itself. Each answer is made from memory at once; request bodies are
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

/// A connection ends after so long.
const CONNECTION_LIMIT: Duration = Duration::from_secs(60);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const BUFFER_BYTES: usize = 8 * 1024;

/// Makes the answer to a request.
pub type Respond = dyn Fn(&Request<Incoming>) -> Response<Full<Bytes>>;

/// Answers requests for as long as the process lives. To be called inside a `LocalSet`.
pub async fn serve(listener: TcpListener, respond: Rc<Respond>) -> Infallible {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => _ = spawn_local(converse(socket, Rc::clone(&respond))),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn converse(socket: TcpStream, respond: Rc<Respond>) {
    let service = service_fn(move |request| std::future::ready(Ok::<_, Infallible>(respond(&request))));
    let connection =
        Builder::new().max_buf_size(BUFFER_BYTES).serve_connection(TokioIo::new(socket), service);
    // Whoever asks sees on its own side how a connection ends.
    let _ = timeout(CONNECTION_LIMIT, connection).await;
}
