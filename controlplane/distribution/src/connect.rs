//! Opens TCP connections between processes.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::{OptionExt, ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The reason why a connection could not be opened.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The connection was not established within the time limit.
    #[snafu(display("no connection to {address} within {} ms", limit.as_millis()))]
    TimedOut {
        /// The remote address.
        address: SocketAddr,
        /// The time limit.
        limit: Duration,
    },
    /// The remote host or the operating system refused the connection.
    #[snafu(display("cannot connect to {address}"))]
    Refused {
        /// The remote address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Opens a connection with `TCP_NODELAY` within a time limit.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, ConnectError> {
    let attempt = timeout(limit, TcpStream::connect(address)).await;
    let stream = attempt.ok().context(TimedOutSnafu { address, limit })?.context(RefusedSnafu { address })?;
    stream.set_nodelay(true).context(RefusedSnafu { address })?;
    Ok(stream)
}
