//! Calls to controllers, as upstreams, operators and clients make them: on to the next one after a failure.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{error::Elapsed, timeout};

use crate::headers::BASE_VERSION;

/// How long a caller waits for a controller.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How many redirections a caller follows.
const MOST_REDIRECTIONS: usize = 2;

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: Method,
    pub path: String,
    pub base_version: Option<u64>,
    pub body: Bytes,
}

impl Call {
    pub fn get(path: impl Into<String>) -> Self {
        Call { method: Method::GET, path: path.into(), base_version: None, body: Bytes::new() }
    }

    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Call { method: Method::POST, path: path.into(), base_version: None, body: body.into() }
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub body: Bytes,
    location: Option<SocketAddr>,
}

/// Why a call got no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    #[snafu(display("no controller is known"))]
    NobodyKnown,
    #[snafu(display("no answer in time"))]
    Silent { source: Elapsed },
    #[snafu(display("no connection: {source}"))]
    Connect { source: std::io::Error },
    #[snafu(display("the exchange failed: {source}"))]
    Exchange { source: hyper::Error },
    #[snafu(display("the call can't be written: {source}"))]
    Write { source: http::Error },
    #[snafu(display("answered with {status}"))]
    Unavailable { status: StatusCode },
}

/// Calls the controllers of a list, and stays with one that answers.
#[derive(Debug)]
pub struct ControlClient {
    contacts: Vec<SocketAddr>,
    current: Cell<usize>,
}

impl ControlClient {
    /// A client that begins with one of these contacts.
    pub fn new(contacts: Vec<SocketAddr>, first: usize) -> Self {
        ControlClient { contacts, current: Cell::new(first) }
    }

    /// Makes a call to the current contact; after a failure the next one is current.
    pub async fn call(&self, call: &Call) -> Result<Answer, CallError> {
        let result = self.call_current(call).await;
        if result.is_err() {
            self.current.set(self.current.get() + 1);
        }
        result
    }

    async fn call_current(&self, call: &Call) -> Result<Answer, CallError> {
        if self.contacts.is_empty() {
            return NobodyKnownSnafu.fail();
        }
        let mut address = self.contacts[self.current.get() % self.contacts.len()];
        let mut redirections = 0;
        loop {
            let answer = call_one(address, call).await?;
            match answer.location {
                Some(location) if redirections < MOST_REDIRECTIONS => address = location,
                _ if is_unavailable(answer.status) => {
                    return UnavailableSnafu { status: answer.status }.fail();
                }
                _ => return Ok(answer),
            }
            redirections += 1;
        }
    }
}

/// Makes a call to one address.
pub async fn call_one(address: SocketAddr, call: &Call) -> Result<Answer, CallError> {
    timeout(ANSWER_TIMEOUT, exchange(address, call)).await.context(SilentSnafu)?
}

async fn exchange(address: SocketAddr, call: &Call) -> Result<Answer, CallError> {
    let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.context(ExchangeSnafu)?;
    spawn_local(async move {
        let _ = connection.await;
    });
    let response = sender.send_request(request(address, call)?).await.context(ExchangeSnafu)?;
    let status = response.status();
    let location = response.headers().get(http::header::LOCATION).and_then(|value| value.to_str().ok());
    let location = location.and_then(parse_location).filter(|_| status == StatusCode::TEMPORARY_REDIRECT);
    let body = response.into_body().collect().await.context(ExchangeSnafu)?.to_bytes();
    Ok(Answer { status, body, location })
}

fn request(address: SocketAddr, call: &Call) -> Result<Request<Full<Bytes>>, CallError> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONNECTION, "close");
    if !call.body.is_empty() {
        builder = builder.header(http::header::CONTENT_TYPE, "application/json");
    }
    if let Some(base) = call.base_version {
        builder = builder.header(BASE_VERSION, base);
    }
    builder.body(Full::new(call.body.clone())).context(WriteSnafu)
}

fn parse_location(location: &str) -> Option<SocketAddr> {
    let authority = location.strip_prefix("http://")?;
    authority.split('/').next()?.parse().ok()
}

fn is_unavailable(status: StatusCode) -> bool {
    status.is_server_error() || matches!(status, StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS)
}
