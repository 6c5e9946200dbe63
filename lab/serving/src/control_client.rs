//! Calls to controllers, as upstreams, operators and clients make them: on to the next one after a failure.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use snafu::{ResultExt, Snafu};
pub use whinspindle_client::Call;
use whinspindle_client::{RedirectLimits, Response};

/// How long a caller waits for a controller.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call got no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    #[snafu(display("no controller is known"))]
    NobodyKnown,
    #[snafu(display("{source}"))]
    Failed { source: whinspindle_client::CallError },
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
    pub async fn call(&self, call: &Call) -> Result<Response, CallError> {
        let result = self.call_current(call).await;
        if result.is_err() {
            self.current.set(self.current.get() + 1);
        }
        result
    }

    async fn call_current(&self, call: &Call) -> Result<Response, CallError> {
        if self.contacts.is_empty() {
            return NobodyKnownSnafu.fail();
        }
        let address = self.contacts[self.current.get() % self.contacts.len()];
        let response = call_one(address, call).await?;
        if is_unavailable(response.status) {
            return UnavailableSnafu { status: response.status }.fail();
        }
        Ok(response)
    }
}

/// Makes a call to one address, and follows its redirects.
pub async fn call_one(address: SocketAddr, call: &Call) -> Result<Response, CallError> {
    let limits = RedirectLimits::default();
    whinspindle_client::call_with_redirects(address, call, ANSWER_TIMEOUT, limits).await.context(FailedSnafu)
}

fn is_unavailable(status: StatusCode) -> bool {
    status.is_server_error() || matches!(status, StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS)
}
