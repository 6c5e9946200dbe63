//! Creation of listening sockets.

use std::net::SocketAddr;

use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpSocket};

/// The maximum number of connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 1024;

/// An error while listening on an address.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}"))]
pub struct ListenError {
    address: SocketAddr,
    source: std::io::Error,
}

/// Listens on an address. Sets SO_REUSEADDR, so that a restarted process can bind the address again
/// immediately.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    let open_socket = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open_socket().context(ListenSnafu { address })
}
