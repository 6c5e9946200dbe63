//! One HTTP call to a controller.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{error::Elapsed, timeout};

/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Names the generation on which a configuration builds.
const BASE_VERSION: &str = "Whinspindle-Base-Version";

/// What a controller is asked.
pub struct Call {
    pub method: Method,
    pub path: String,
    pub base_version: Option<u64>,
    pub body: Bytes,
}

impl Call {
    /// A question without a body.
    pub fn get(path: &str) -> Call {
        Call { method: Method::GET, path: path.to_owned(), base_version: None, body: Bytes::new() }
    }

    /// An order without a body.
    pub fn post(path: String) -> Call {
        Call { method: Method::POST, path, base_version: None, body: Bytes::new() }
    }
}

/// What a controller answered.
pub struct Answer {
    pub status: StatusCode,
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    #[snafu(display("the runtime: {source}"))]
    Runtime { source: std::io::Error },
    #[snafu(display("{control}: {source}"))]
    Connect { control: SocketAddr, source: std::io::Error },
    #[snafu(display("{control}: {source}"))]
    Exchange { control: SocketAddr, source: hyper::Error },
    #[snafu(display("the request: {source}"))]
    Build { source: http::Error },
    #[snafu(display("{control}: no answer in time"))]
    Silent { control: SocketAddr, source: Elapsed },
}

/// Makes one call and waits for the whole answer.
pub fn call(control: SocketAddr, call: Call) -> Result<Answer, CallError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    LocalSet::new().block_on(&runtime, async {
        timeout(CALL_TIMEOUT, exchange(control, call)).await.context(SilentSnafu { control })?
    })
}

async fn exchange(control: SocketAddr, call: Call) -> Result<Answer, CallError> {
    let socket = TcpStream::connect(control).await.context(ConnectSnafu { control })?;
    let handshake = http1::handshake(TokioIo::new(socket)).await;
    let (mut sender, connection) = handshake.context(ExchangeSnafu { control })?;
    tokio::task::spawn_local(connection);
    let mut request =
        Request::builder().method(call.method).uri(call.path).header("Host", control.to_string());
    if let Some(version) = call.base_version {
        request = request.header(BASE_VERSION, version);
    }
    let request = request.header("Content-Type", "application/json").body(Full::new(call.body));
    let request = request.context(BuildSnafu)?;
    let response = sender.send_request(request).await.context(ExchangeSnafu { control })?;
    let status = response.status();
    let body = response.into_body().collect().await.context(ExchangeSnafu { control })?;
    Ok(Answer { status, body: body.to_bytes() })
}
