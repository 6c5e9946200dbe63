//! Opening of connections between processes.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::{OptionExt, ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio::time::timeout;

#[derive(Debug, Snafu)]
pub enum ConnectError {
    #[snafu(display("no connection to {address} within {} ms", limit.as_millis()))]
    Silent { address: SocketAddr, limit: Duration },
    #[snafu(display("cannot connect to {address}"))]
    Refused { address: SocketAddr, source: std::io::Error },
}

/// A connection without delayed sends; an address that says nothing for `limit` is given up.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, ConnectError> {
    let attempt = timeout(limit, TcpStream::connect(address)).await;
    let stream = attempt.ok().context(SilentSnafu { address, limit })?.context(RefusedSnafu { address })?;
    stream.set_nodelay(true).context(RefusedSnafu { address })?;
    Ok(stream)
}
