//! One HTTP call to a controller, as operators, upstreams and clients make it: a connection of its own, one request,
//! the whole answer.

#![allow(missing_docs, reason = "not every public item is documented yet")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderName;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{error::Elapsed, timeout};

/// Names the generation on which a configuration builds.
pub const BASE_VERSION: HeaderName = HeaderName::from_static("whinspindle-base-version");

/// What a controller is asked.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: Method,
    pub path: String,
    /// The generation on which a configuration builds.
    pub base_version: Option<u64>,
    pub body: Bytes,
}

impl Call {
    /// A question without a body.
    pub fn get(path: impl Into<String>) -> Call {
        Call { method: Method::GET, path: path.into(), base_version: None, body: Bytes::new() }
    }

    /// An order; its body may be empty.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Call {
        Call { method: Method::POST, path: path.into(), base_version: None, body: body.into() }
    }
}

/// What a controller answered.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub body: Bytes,
    /// Where the controller sends the caller with a 307.
    pub redirection: Option<SocketAddr>,
}

/// Why there is no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    #[snafu(display("{controller}: no connection: {source}"))]
    Connect { controller: SocketAddr, source: std::io::Error },
    #[snafu(display("{controller}: the exchange failed: {source}"))]
    Exchange { controller: SocketAddr, source: hyper::Error },
    #[snafu(display("the call can't be written: {source}"))]
    Build { source: http::Error },
    #[snafu(display("{controller}: no answer in time"))]
    Silent { controller: SocketAddr, source: Elapsed },
}

/// Makes one call and waits for the whole answer. Wants a `LocalSet` around it.
pub async fn call(controller: SocketAddr, call: &Call, within: Duration) -> Result<Answer, CallError> {
    timeout(within, exchange(controller, call)).await.context(SilentSnafu { controller })?
}

async fn exchange(controller: SocketAddr, call: &Call) -> Result<Answer, CallError> {
    let request = request(controller, call)?;
    let stream = TcpStream::connect(controller).await.context(ConnectSnafu { controller })?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.context(ExchangeSnafu { controller })?;
    spawn_local(connection);
    let response = sender.send_request(request).await.context(ExchangeSnafu { controller })?;
    let status = response.status();
    let location = response.headers().get(http::header::LOCATION).and_then(|value| value.to_str().ok());
    let redirection = location.and_then(address_of).filter(|_| status == StatusCode::TEMPORARY_REDIRECT);
    let body = response.into_body().collect().await.context(ExchangeSnafu { controller })?;
    Ok(Answer { status, body: body.to_bytes(), redirection })
}

fn request(controller: SocketAddr, call: &Call) -> Result<Request<Full<Bytes>>, CallError> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(http::header::HOST, controller.to_string())
        .header(http::header::CONNECTION, "close");
    if !call.body.is_empty() {
        builder = builder.header(http::header::CONTENT_TYPE, "application/json");
    }
    if let Some(base) = call.base_version {
        builder = builder.header(BASE_VERSION, base);
    }
    builder.body(Full::new(call.body.clone())).context(BuildSnafu)
}

fn address_of(location: &str) -> Option<SocketAddr> {
    let authority = location.strip_prefix("http://")?;
    authority.split('/').next()?.parse().ok()
}
