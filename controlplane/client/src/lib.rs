//! A client for the HTTP interface of a controller, as operators, upstreams and clients use it: each call has a connection
//! of its own, one request and the complete answer.
//!
//! ```no_run
//! # async fn read() -> Result<(), whinspindle_client::CallError> {
//! use std::time::Duration;
//!
//! use whinspindle_client::{Call, call};
//!
//! let controller = "10.0.0.1:7700".parse().expect("a valid address");
//! let answer = call(controller, &Call::get("/status"), Duration::from_secs(1)).await?;
//! println!("{}", answer.status);
//! # Ok(())
//! # }
//! ```

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

/// The header with the generation that a configuration builds on.
pub const BASE_VERSION_HEADER: HeaderName = HeaderName::from_static("whinspindle-base-version");

/// A call to a controller.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub path: String,
    /// The generation that a configuration builds on.
    pub base_version: Option<u64>,
    /// The body, JSON or empty.
    pub body: Bytes,
}

impl Call {
    /// A read without a body.
    pub fn get(path: impl Into<String>) -> Call {
        Call { method: Method::GET, path: path.into(), base_version: None, body: Bytes::new() }
    }

    /// A command; its body may be empty.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Call {
        Call { method: Method::POST, path: path.into(), base_version: None, body: body.into() }
    }
}

/// The answer of a controller.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status of the HTTP response.
    pub status: StatusCode,
    /// Its complete body.
    pub body: Bytes,
    /// The controller that a response with status 307 redirects to.
    pub redirect: Option<SocketAddr>,
}

/// Why there is no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection could not be opened.
    #[snafu(display("{controller}: no connection: {source}"))]
    Connect {
        /// The address of the controller.
        controller: SocketAddr,
        /// What the system reports.
        source: std::io::Error,
    },
    /// The request could not be sent, or the response not received.
    #[snafu(display("{controller}: the exchange failed: {source}"))]
    Exchange {
        /// The address of the controller.
        controller: SocketAddr,
        /// What the HTTP library reports.
        source: hyper::Error,
    },
    /// The call is no valid HTTP request.
    #[snafu(display("the call can't be written: {source}"))]
    InvalidRequest {
        /// What the HTTP library reports.
        source: http::Error,
    },
    /// The time limit passed before the complete answer was received.
    #[snafu(display("{controller}: no answer in time"))]
    TimedOut {
        /// The address of the controller.
        controller: SocketAddr,
        /// The expired timer.
        source: Elapsed,
    },
}

/// Makes a call and waits for the complete answer, within a time limit. To be called inside a `LocalSet`.
pub async fn call(controller: SocketAddr, call: &Call, within: Duration) -> Result<Response, CallError> {
    timeout(within, exchange(controller, call)).await.context(TimedOutSnafu { controller })?
}

async fn exchange(controller: SocketAddr, call: &Call) -> Result<Response, CallError> {
    let request = request(controller, call)?;
    let stream = TcpStream::connect(controller).await.context(ConnectSnafu { controller })?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.context(ExchangeSnafu { controller })?;
    spawn_local(connection);
    let response = sender.send_request(request).await.context(ExchangeSnafu { controller })?;
    let status = response.status();
    let location = response.headers().get(http::header::LOCATION).and_then(|value| value.to_str().ok());
    let redirect = location.and_then(address_of).filter(|_| status == StatusCode::TEMPORARY_REDIRECT);
    let body = response.into_body().collect().await.context(ExchangeSnafu { controller })?;
    Ok(Response { status, body: body.to_bytes(), redirect })
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
        builder = builder.header(BASE_VERSION_HEADER, base);
    }
    builder.body(Full::new(call.body.clone())).context(InvalidRequestSnafu)
}

fn address_of(location: &str) -> Option<SocketAddr> {
    let authority = location.strip_prefix("http://")?;
    authority.split('/').next()?.parse().ok()
}
