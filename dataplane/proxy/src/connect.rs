//! Sockets, and how they are opened and set up.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Written bytes that the other side has not confirmed for so long end the connection.
const UNCONFIRMED_LIMIT: Duration = Duration::from_secs(3);
/// A connection that is silent for so long is probed.
const PROBE_AFTER: Duration = Duration::from_secs(2);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A byte stream both ways.
pub trait Socket: AsyncRead + AsyncWrite + Unpin {}

impl<S: AsyncRead + AsyncWrite + Unpin> Socket for S {}

pub type BoxedSocket = Box<dyn Socket>;
pub type Connecting = Pin<Box<dyn Future<Output = std::io::Result<BoxedSocket>>>>;

/// Opens connections to upstreams.
pub trait Connect {
    fn connect(&self, address: SocketAddr) -> Connecting;
}

/// Connects by TCP.
pub struct TcpConnect;

impl Connect for TcpConnect {
    fn connect(&self, address: SocketAddr) -> Connecting {
        Box::pin(async move {
            let socket = TcpStream::connect(address).await?;
            set_up(&socket);
            Ok(Box::new(socket) as BoxedSocket)
        })
    }
}

/// Sends small pieces at once, and finds out when the other side is gone without a word. A system that lacks one of
/// the options still carries the connection.
pub fn set_up(socket: &TcpStream) {
    let _ = socket.set_nodelay(true);
    let options = SockRef::from(socket);
    let _ = options.set_tcp_user_timeout(Some(UNCONFIRMED_LIMIT));
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_INTERVAL);
    let _ = options.set_tcp_keepalive(&probes);
}
