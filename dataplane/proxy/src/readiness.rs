//! The endpoint of the platform's checks: `GET /readyz`.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use tokio::net::TcpListener;

use crate::node::Node;

const PATH: &str = "/readyz";

/// Answers checks for as long as the process lives.
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
