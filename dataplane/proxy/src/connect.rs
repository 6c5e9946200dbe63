//! Sockets, and how they are opened and set up.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Written bytes that an upstream has not confirmed for so long end the connection.
const UPSTREAM_UNCONFIRMED: Duration = Duration::from_millis(1800);
/// The same for clients, whose ways are longer.
const CLIENT_UNCONFIRMED: Duration = Duration::from_secs(6);
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
            set_up(&socket, UPSTREAM_UNCONFIRMED);
            Ok(Box::new(socket) as BoxedSocket)
        })
    }
}

/// Makes an accepted connection ready to serve.
pub fn accepted(socket: TcpStream) -> BoxedSocket {
    set_up(&socket, CLIENT_UNCONFIRMED);
    Box::new(socket)
}

/// Sends small pieces at once, and finds out when the other side is gone without a word. A system that lacks one of
/// the options still carries the connection.
fn set_up(socket: &TcpStream, unconfirmed: Duration) {
    let _ = socket.set_nodelay(true);
    let options = SockRef::from(socket);
    let _ = options.set_tcp_user_timeout(Some(unconfirmed));
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_INTERVAL);
    let _ = options.set_tcp_keepalive(&probes);
}
