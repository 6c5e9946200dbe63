//! The HTTP side: `GET PATH` answers the figures of that moment.

use std::net::IpAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use tokio::net::TcpListener;

use crate::MetricsEndpoint;

const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves what `text` answers for as long as the process lives. The process does its work without figures where the port
/// can't be had. To be called inside a `LocalSet`.
pub async fn serve(ip: IpAddr, endpoint: MetricsEndpoint, text: Rc<dyn Fn() -> String>) {
    let listener = match TcpListener::bind((ip, endpoint.port)).await {
        Ok(listener) => listener,
        Err(fault) => {
            spdlog::warn!("no figures on {ip}:{}: {fault}", endpoint.port);
            return;
        }
    };
    let respond = Rc::new(move |request: &Request<_>| answer(request, &endpoint.path, text.as_ref()));
    whinspindle_status_server::serve(listener, respond).await;
}

fn answer<B>(request: &Request<B>, path: &str, text: &dyn Fn() -> String) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    if request.uri().path() != path {
        *answer.status_mut() = StatusCode::NOT_FOUND;
    } else if request.method() != Method::GET {
        *answer.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    } else {
        answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(OPEN_METRICS));
        *answer.body_mut() = Full::from(text());
    }
    answer
}
