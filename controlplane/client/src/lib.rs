//! A client for the HTTP API of a controller. Each call opens its own connection, sends one request and reads
//! the complete response. [`call_with_redirects`] also follows redirects.
//!
//! ```no_run
//! # async fn read() -> Result<(), whinspindle_client::CallError> {
//! use std::time::Duration;
//!
//! use whinspindle_client::{Call, call};
//!
//! let controller = "10.0.0.1:7700".parse().expect("a valid address");
//! let response = call(controller, &Call::get("/status"), Duration::from_secs(1)).await?;
//! println!("{}", response.status);
//! # Ok(())
//! # }
//! ```

use std::net::SocketAddr;
use std::time::{Duration, Instant};

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

/// The request header that holds the generation on which a new configuration is based.
pub const BASE_VERSION_HEADER: HeaderName = HeaderName::from_static("whinspindle-base-version");

/// Which redirects a caller follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RedirectLimits {
    /// The maximum number of redirects in a row.
    pub count: usize,
    /// The maximum time from a request to its redirect. A caller that has waited for longer may have sent the
    /// command, or a newer one, to another controller meanwhile.
    pub delay: Duration,
}

impl Default for RedirectLimits {
    fn default() -> RedirectLimits {
        RedirectLimits { count: 2, delay: Duration::from_secs(1) }
    }
}

/// An HTTP request to a controller.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path and the query string.
    pub path: String,
    /// The generation on which the configuration in the body is based.
    pub base_version: Option<u64>,
    /// The body: JSON, or empty.
    pub body: Bytes,
}

impl Call {
    /// Creates a GET request without a body.
    pub fn get(path: impl Into<String>) -> Call {
        Call { method: Method::GET, path: path.into(), base_version: None, body: Bytes::new() }
    }

    /// Creates a POST request; the body may be empty.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Call {
        Call { method: Method::POST, path: path.into(), base_version: None, body: body.into() }
    }
}

/// The response of a controller.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The complete body.
    pub body: Bytes,
    /// The target to which a response with status 307 redirects.
    pub redirect: Option<Redirect>,
}

/// The target of a redirect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Redirect {
    /// The controller to call.
    pub controller: SocketAddr,
    /// The path and the query string to call.
    pub path: String,
}

/// An error that prevented a complete response.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection to the controller failed.
    #[snafu(display("{controller}: could not connect: {source}"))]
    Connect {
        /// The address of the controller.
        controller: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// Sending the request or receiving the response failed.
    #[snafu(display("{controller}: HTTP exchange failed: {source}"))]
    Exchange {
        /// The address of the controller.
        controller: SocketAddr,
        /// The error of the HTTP library.
        source: hyper::Error,
    },
    /// The call does not form a valid HTTP request.
    #[snafu(display("invalid HTTP request: {source}"))]
    InvalidRequest {
        /// The error of the HTTP library.
        source: http::Error,
    },
    /// The complete response was not received within the time limit.
    #[snafu(display("{controller}: the request timed out"))]
    TimedOut {
        /// The address of the controller.
        controller: SocketAddr,
        /// The expired timer.
        source: Elapsed,
    },
}

/// Sends a call and waits for the complete response, for at most `time_limit`. Must be called inside a
/// `LocalSet`.
pub async fn call(controller: SocketAddr, call: &Call, time_limit: Duration) -> Result<Response, CallError> {
    timeout(time_limit, exchange(controller, call)).await.context(TimedOutSnafu { controller })?
}

/// Like [`call`], and follows redirects. Each response is waited for up to the time limit. A redirect beyond
/// the `redirect_limits` is returned.
pub async fn call_with_redirects(
    controller: SocketAddr,
    first_call: &Call,
    time_limit: Duration,
    redirect_limits: RedirectLimits,
) -> Result<Response, CallError> {
    let (mut controller, mut next_call) = (controller, first_call.clone());
    for _ in 0..redirect_limits.count {
        let sent_at = Instant::now();
        let response = call(controller, &next_call, time_limit).await?;
        let Some(redirect) = &response.redirect else { return Ok(response) };
        if sent_at.elapsed() > redirect_limits.delay {
            return Ok(response);
        }
        controller = redirect.controller;
        next_call.path.clone_from(&redirect.path);
    }
    call(controller, &next_call, time_limit).await
}

async fn exchange(controller: SocketAddr, call: &Call) -> Result<Response, CallError> {
    let request = build_request(controller, call)?;
    let stream = TcpStream::connect(controller).await.context(ConnectSnafu { controller })?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.context(ExchangeSnafu { controller })?;
    spawn_local(connection);
    let response = sender.send_request(request).await.context(ExchangeSnafu { controller })?;
    let status = response.status();
    let location = response.headers().get(http::header::LOCATION).and_then(|value| value.to_str().ok());
    let redirect = location.and_then(parse_location).filter(|_| status == StatusCode::TEMPORARY_REDIRECT);
    let body = response.into_body().collect().await.context(ExchangeSnafu { controller })?;
    Ok(Response { status, body: body.to_bytes(), redirect })
}

fn build_request(controller: SocketAddr, call: &Call) -> Result<Request<Full<Bytes>>, CallError> {
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

fn parse_location(location: &str) -> Option<Redirect> {
    let rest = location.strip_prefix("http://")?;
    let path_start = rest.find('/').unwrap_or(rest.len());
    let (authority, path) = rest.split_at(path_start);
    let path = if path.is_empty() { "/" } else { path };
    Some(Redirect { controller: authority.parse().ok()?, path: path.to_owned() })
}
