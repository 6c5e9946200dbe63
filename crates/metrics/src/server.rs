//! The HTTP side: `GET PATH` answers the figures of that moment.

use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::MetricsEndpoint;

const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// A connection ends after so long.
const CONNECTION_LIMIT: Duration = Duration::from_secs(60);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const BUFFER_BYTES: usize = 8 * 1024;

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
    let path: Rc<str> = endpoint.path.into();
    loop {
        match listener.accept().await {
            Ok((socket, _)) => _ = spawn_local(converse(socket, Rc::clone(&path), Rc::clone(&text))),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn converse(socket: TcpStream, path: Rc<str>, text: Rc<dyn Fn() -> String>) {
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = answer(&request, &path, text.as_ref());
        std::future::ready(Ok::<_, Infallible>(answer))
    });
    let connection =
        Builder::new().max_buf_size(BUFFER_BYTES).serve_connection(TokioIo::new(socket), service);
    // Whoever asks sees on its own side how a connection ends.
    let _ = timeout(CONNECTION_LIMIT, connection).await;
}

fn answer(request: &Request<Incoming>, path: &str, text: &dyn Fn() -> String) -> Response<Full<Bytes>> {
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
