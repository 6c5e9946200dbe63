//! HTTP server for the metrics: `GET PATH` returns a snapshot.

use std::net::IpAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use tokio::net::TcpListener;

use crate::MetricsEndpoint;

/// The media type of OpenMetrics text.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves the text that `snapshot` returns, for the lifetime of the process. If the port cannot be bound, the process
/// runs without metrics. Must be called inside a `LocalSet`.
pub async fn serve(ip: IpAddr, endpoint: MetricsEndpoint, snapshot: Rc<dyn Fn() -> String>) {
    let listener = match TcpListener::bind((ip, endpoint.port)).await {
        Ok(listener) => listener,
        Err(error) => {
            spdlog::warn!("cannot serve metrics on {ip}:{}: {error}", endpoint.port);
            return;
        }
    };
    let respond = Rc::new(move |request: &Request<_>| respond(request, &endpoint.path, snapshot.as_ref()));
    whinspindle_status_server::serve(listener, respond).await;
}

fn respond<B>(request: &Request<B>, path: &str, snapshot: &dyn Fn() -> String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if request.uri().path() != path {
        *response.status_mut() = StatusCode::NOT_FOUND;
    } else if request.method() != Method::GET {
        *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    } else {
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(OPEN_METRICS));
        *response.body_mut() = Full::from(snapshot());
    }
    response
}
