//! Opening of TCP connections between processes.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::{OptionExt, ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Why a connection could not be opened.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The other side did not answer in time.
    #[snafu(display("no connection to {address} within {} ms", limit.as_millis()))]
    TimedOut {
        /// The address that was tried.
        address: SocketAddr,
        /// How long it was tried.
        limit: Duration,
    },
    /// The other side or the system refused the connection.
    #[snafu(display("cannot connect to {address}"))]
    Refused {
        /// The address that was tried.
        address: SocketAddr,
        /// What the system reports.
        source: std::io::Error,
    },
}

/// Opens a connection without delayed sends, within a time limit.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, ConnectError> {
    let attempt = timeout(limit, TcpStream::connect(address)).await;
    let stream = attempt.ok().context(TimedOutSnafu { address, limit })?.context(RefusedSnafu { address })?;
    stream.set_nodelay(true).context(RefusedSnafu { address })?;
    Ok(stream)
}
