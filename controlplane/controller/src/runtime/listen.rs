//! Listening sockets.

use std::net::SocketAddr;

use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpSocket};

/// Connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 1024;

/// An address that can't be bound.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}"))]
pub struct ListenError {
    address: SocketAddr,
    source: std::io::Error,
}

/// Binds an address so that a restarted process can take it again at once.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    let open = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().context(ListenSnafu { address })
}
