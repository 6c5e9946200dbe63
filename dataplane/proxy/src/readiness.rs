//! The readiness endpoint. `GET /readyz` answers 200 while the proxy accepts clients, else 503.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use tokio::net::TcpListener;

use crate::node::Node;

const PATH: &str = "/readyz";

/// Serves the endpoint for the lifetime of the process.
pub async fn run(listener: TcpListener, node: Rc<Node>) -> Infallible {
    let respond = Rc::new(move |request: &Request<_>| check(&node, request.uri().path()));
    whinspindle_status_server::serve(listener, respond).await
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
