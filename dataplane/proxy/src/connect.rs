//! Opens sockets and sets their TCP options.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// TCP user time-out of upstream connections, after which unacknowledged bytes close the connection.
const UPSTREAM_USER_TIMEOUT: Duration = Duration::from_millis(1800);
/// TCP user time-out of client connections, longer because clients are further away.
const CLIENT_USER_TIMEOUT: Duration = Duration::from_secs(6);
/// Idle time before the first TCP keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Interval between TCP keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// A bidirectional byte stream.
pub trait Socket: AsyncRead + AsyncWrite + Unpin {}

impl<S: AsyncRead + AsyncWrite + Unpin> Socket for S {}

/// A boxed byte stream.
pub type BoxedSocket = Box<dyn Socket>;
/// The future of a connection attempt.
pub type Connecting = Pin<Box<dyn Future<Output = std::io::Result<BoxedSocket>>>>;

/// Opens connections to upstreams.
pub trait Connect {
    /// Starts to connect to an upstream.
    fn connect(&self, address: SocketAddr) -> Connecting;
}

/// Connects over TCP.
pub struct TcpConnect;

impl Connect for TcpConnect {
    fn connect(&self, address: SocketAddr) -> Connecting {
        Box::pin(async move {
            let socket = TcpStream::connect(address).await?;
            configure_socket(&socket, UPSTREAM_USER_TIMEOUT);
            Ok(Box::new(socket) as BoxedSocket)
        })
    }
}

/// Sets the TCP options of an accepted client connection.
pub fn configure_client_socket(socket: TcpStream) -> BoxedSocket {
    configure_socket(&socket, CLIENT_USER_TIMEOUT);
    Box::new(socket)
}

/// Disables Nagle's algorithm, and enables the detection of peers that disappear without closing the
/// connection. Errors are ignored, since the connection also works without these options.
fn configure_socket(socket: &TcpStream, user_timeout: Duration) {
    let _ = socket.set_nodelay(true);
    let options = SockRef::from(socket);
    let _ = options.set_tcp_user_timeout(Some(user_timeout));
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    let _ = options.set_tcp_keepalive(&keepalive);
}
