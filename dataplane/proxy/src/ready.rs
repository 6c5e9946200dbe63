//! The endpoint of the platform's checks: `GET /readyz`.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::node::Node;

const PATH: &str = "/readyz";
/// A connection of the platform ends after so long.
const CONNECTION_LIMIT: Duration = Duration::from_secs(60);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const BUFFER_BYTES: usize = 8 * 1024;

/// Answers checks for as long as the process lives.
pub async fn run(listener: TcpListener, node: Rc<Node>) -> Infallible {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                spawn_local(serve(socket, Rc::clone(&node)));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve(socket: TcpStream, node: Rc<Node>) {
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = check(&node, request.uri().path());
        std::future::ready(Ok::<_, Infallible>(answer))
    });
    let connection =
        Builder::new().max_buf_size(BUFFER_BYTES).serve_connection(TokioIo::new(socket), service);
    // Whoever asks sees on its own side how a connection ends.
    let _ = timeout(CONNECTION_LIMIT, connection).await;
}

fn check(node: &Node, path: &str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = match path {
        PATH if node.is_ready() => StatusCode::OK,
        PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    answer
}
